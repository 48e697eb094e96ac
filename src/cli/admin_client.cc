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

std::optional<std::string> ReadToken(const Invocation& invocation) {
  const std::string path = invocation.Get("token-file");
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

void PrintFault(const AdminAnswer& answer, std::ostream& err) {
  err << "the node answered " << answer.status;
  if (answer.json.contains("error") && answer.json["error"].is_string()) {
    err << ": " << answer.json["error"].get<std::string>();
  } else if (answer.json.contains("status") &&
             answer.json["status"].is_string()) {
    err << ": " << answer.json["status"].get<std::string>();
  }
  err << '\n';
}

}  // namespace

AdminAnswer CallAdmin(const Invocation& invocation,
                      http::Method method,
                      const std::string& target,
                      const Json& body) {
  const auto timeout = invocation.GetQuantity("timeout", Quantity::kDuration);
  const auto token = ReadToken(invocation);
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
  http::Client client(loop.base(), invocation.Get("admin"));
  http::Response response;
  client.Call(std::move(request), [&](const http::Response& answer) {
    response = answer;
    loop.Stop();
  });
  loop.Run();
  AdminAnswer answer = {ExitCode::kUnavailable, 0, Json::object()};
  if (response.outcome != http::Outcome::kAnswered) {
    invocation.Err() << "no answer from " << invocation.Get("admin")
                     << (response.outcome == http::Outcome::kNotSent
                             ? "; nothing was sent\n"
                             : "; the request may have taken effect\n");
    return answer;
  }
  answer.status = response.status;
  answer.code = ToExitCode(response.status);
  Json json = Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (json.is_object()) {
    answer.json = std::move(json);
  } else if (answer.code == ExitCode::kOk) {
    answer.code = ExitCode::kFailed;
  }
  if (answer.code != ExitCode::kOk) {
    PrintFault(answer, invocation.Err());
  }
  return answer;
}

std::string NewChangeId() {
  std::random_device source;
  std::string id = "cli";
  for (int i = 0; i < 4; ++i) {
    id += '-' + std::to_string(source());
  }
  return id;
}

}  // namespace comfreystand::cli
