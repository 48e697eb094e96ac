#ifndef COMFREYSTAND_CLI_ADMIN_CLIENT_H_
#define COMFREYSTAND_CLI_ADMIN_CLIENT_H_

#include <array>
#include <string>

#include <nlohmann/json.hpp>

#include "comfreystand/cli.h"
#include "comfreystand/http_client.h"

// Client of the administration API of a node, for the verbs that call it.
namespace comfreystand::cli {

// Options of every verb that calls the API.
constexpr Option kAdminOption = {"admin", "ADDRESS", "127.0.0.1:8091",
                                 "address of a node's administration API"};
constexpr Option kTokenOption = {
    "token-file", "FILE", "",
    "file with the bearer token; otherwise COMFREYSTAND_TOKEN"};
constexpr Option kTimeoutOption = {"timeout", "TIME", "40s",
                                   "time to wait for the answer"};
constexpr Option kRequestedByOption = {"by", "NAME", "",
                                       "who asked for the change"};

struct AdminResponse {
  // kOk only if the API reported success.
  ExitCode exit_code = ExitCode::kUnavailable;
  // HTTP status, or 0 if no response was received.
  int http_status = 0;
  // Response body; an empty object if it was not a JSON object.
  nlohmann::ordered_json json;
};

// Sends one request and waits for the response. Prints an error if the call
// fails.
AdminResponse CallAdmin(const Invocation& invocation,
                        http::Method method,
                        const std::string& target,
                        const nlohmann::ordered_json& body = nullptr);

// Returns a random identifier for a change. Collisions are negligible.
std::string GenerateChangeId();

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_ADMIN_CLIENT_H_
