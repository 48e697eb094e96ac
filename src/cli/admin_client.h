#ifndef COMFREYSTAND_CLI_ADMIN_CLIENT_H_
#define COMFREYSTAND_CLI_ADMIN_CLIENT_H_

#include <array>
#include <string>

#include <nlohmann/json.hpp>

#include "comfreystand/cli.h"
#include "comfreystand/http_client.h"

// Calls of the command line to the administration API of a node.
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

struct AdminAnswer {
  // kOk only for an answer that reports success.
  ExitCode code = ExitCode::kUnavailable;
  int status = 0;
  nlohmann::ordered_json json;
};

// Sends one request and waits for its answer. Prints what went wrong.
AdminAnswer CallAdmin(const Invocation& invocation,
                      http::Method method,
                      const std::string& target,
                      const nlohmann::ordered_json& body = nullptr);

// An identifier for a change, unique with overwhelming probability.
std::string NewChangeId();

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_ADMIN_CLIENT_H_
