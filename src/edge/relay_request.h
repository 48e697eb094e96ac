#ifndef COMFREYSTAND_SRC_EDGE_RELAY_REQUEST_H_
#define COMFREYSTAND_SRC_EDGE_RELAY_REQUEST_H_

#include <evhtp/evhtp.h>

#include <cstdint>
#include <string>

#include "comfreystand/edge.h"

namespace comfreystand::edge {

// An answer that the entry VM gives by itself.
struct Refusal {
  int status = 0;
  RunVerdict verdict = RunVerdict::kNotRun;
  // Short machine-readable cause.
  const char* error = "";
  // Set unless the dispatcher rejected the request.
  Fault fault = Fault::kCount;
  Duration retry_after{0};
  // The connection can't carry another request.
  bool close = false;
};

// What a caller asked to relay, after checks.
struct RelayRequest {
  steer::RequestTraits traits;
  std::string method;
  // Path and query at the backend server.
  std::string target;
  // Header lines to forward, each with its line end.
  std::string header_lines;
  std::string class_name;
  std::string ticket;
  // Length of the body, or -1 when it comes in chunks.
  int64_t content_length = 0;
  bool head_request = false;
};

// Names that requests are checked against.
struct RequestTables {
  std::vector<ServiceName> services;
  std::vector<ClassName> classes;
  Duration max_deadline = limits::kMaxDeadline;
  size_t max_body_bytes = limits::kMaxRequestBodyBytes;
};

// Checks the head of a request to "/v1/s/SERVICE/PATH". Returns false and sets
// `refusal` when it can't be relayed.
bool ParseRelayRequest(const evhtp_request_t* request,
                       const RequestTables& tables,
                       TimePoint now,
                       RelayRequest* out,
                       Refusal* refusal);

// Answer to a request that the dispatcher rejected.
Refusal RefusalFor(const steer::Action& action);

// Writes the whole answer, as sent over the wire.
std::string FormatRefusal(const Refusal& refusal,
                          bool keep_alive,
                          bool head_request);

// Reason phrase of a status.
const char* ReasonPhrase(int status);

// Whether a header concerns one connection only and is not relayed.
bool IsHopByHop(const std::string& name);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_RELAY_REQUEST_H_
