#include "src/cli/admin_client.h"

#include <cmath>
#include <cstdlib>
#include <optional>
#include <ostream>
#include <random>

#include "comfreystand/event_loop.h"
#include "src/cli/files.h"

namespace comfreystand::cli {
namespace {

using Json = nlohmann::ordered_json;

constexpr size_t kMaxTokenBytes = 1'024;

std::optional<std::string> ReadBearerToken(const Invocation& invocation) {
  const std::string path = invocation.GetOption("token-file");
  if (path.empty()) {
    const char* token = std::getenv("COMFREYSTAND_TOKEN");
    return token == nullptr ? "" : token;
  }
  auto token = ReadFile(path, kMaxTokenBytes, invocation);
  while (token.has_value() && !token->empty() && token->back() == '\n') {
    token->pop_back();
  }
  return token;
}

ExitCode ToExitCode(int status) {
  switch (status) {
    case 200:
      return ExitCode::kOk;
    case 401:
      return ExitCode::kDenied;
    case 409:
      return ExitCode::kConflict;
    case 413:
    case 422:
      return ExitCode::kInvalidInput;
    case 503:
    case 504:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kFailed;
  }
}

void PrintErrorResponse(const AdminResponse& response, std::ostream& err) {
  err << "the node answered " << response.http_status;
  if (response.json.contains("error") && response.json["error"].is_string()) {
    err << ": " << response.json["error"].get<std::string>();
  } else if (response.json.contains("status") &&
             response.json["status"].is_string()) {
    err << ": " << response.json["status"].get<std::string>();
  }
  err << '\n';
}

}  // namespace

AdminResponse CallAdmin(const Invocation& invocation,
                        http::Method method,
                        const std::string& target,
                        const Json& body) {
  const auto timeout = invocation.GetQuantity("timeout", Quantity::kDuration);
  const auto token = ReadBearerToken(invocation);
  if (!timeout.has_value() || !token.has_value()) {
    return {ExitCode::kUsage, 0, Json::object()};
  }
  http::Request request;
  request.method = method;
  request.target = target;
  request.headers["Authorization"] = "Bearer " + *token;
  request.body = body.is_null() ? "" : body.dump();
  request.timeout = Duration(std::llround(*timeout));
  EventLoop loop;
  http::Client client(loop.base(), invocation.GetOption("admin"));
  http::Response http_response;
  client.Call(std::move(request), [&](const http::Response& received) {
    http_response = received;
    loop.Stop();
  });
  loop.Run();
  AdminResponse response = {ExitCode::kUnavailable, 0, Json::object()};
  if (http_response.outcome != http::Outcome::kAnswered) {
    invocation.Err() << "no answer from " << invocation.GetOption("admin")
                     << (http_response.outcome == http::Outcome::kNotSent
                             ? "; nothing was sent\n"
                             : "; the request may have taken effect\n");
    return response;
  }
  response.http_status = http_response.status;
  response.exit_code = ToExitCode(http_response.status);
  Json json =
      Json::parse(http_response.body, nullptr, /*allow_exceptions=*/false);
  if (json.is_object()) {
    response.json = std::move(json);
  } else if (response.exit_code == ExitCode::kOk) {
    response.exit_code = ExitCode::kFailed;
  }
  if (response.exit_code != ExitCode::kOk) {
    PrintErrorResponse(response, invocation.Err());
  }
  return response;
}

std::string GenerateChangeId() {
  std::random_device source;
  std::string id = "cli";
  for (int i = 0; i < 4; ++i) {
    id += '-' + std::to_string(source());
  }
  return id;
}

}  // namespace comfreystand::cli
