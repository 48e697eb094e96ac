#ifndef COMFREYSTAND_RELAY_PROTOCOL_H_
#define COMFREYSTAND_RELAY_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

// What a relayed request and its answer say, apart from how they are framed.
// The relay reads and writes HTTP messages; a RelayProtocol gives their headers
// a meaning. Another set of header names is another RelayProtocol.
namespace comfreystand::edge {

struct HeaderField {
  std::string name;
  std::string value;
};

// Whether two header names are the same, without regard to case.
bool EqualNames(std::string_view a, std::string_view b);

// Without the spaces and tabs around it.
std::string_view TrimSpace(std::string_view text);

// Value of a header by its name without regard to case, or nothing.
const std::string* FindHeader(const std::vector<HeaderField>& headers,
                              std::string_view name);

// Request line and headers as they arrived.
struct RequestHead {
  std::string method;
  // Path and query as they arrived.
  std::string target;
  // Path without its query.
  std::string path;
  // Query without its question mark.
  std::string query;
  // A question mark stands in the target, with or without a query behind it.
  bool has_query = false;
  std::vector<HeaderField> headers;
  bool http11 = true;
  // Bytes of the body, or -1 when it comes in chunks.
  int64_t content_length = 0;
  // IPv4 address of the caller, in network order.
  uint32_t caller_address = 0;
};

// Status line and headers of an answer.
struct AnswerHead {
  int status = 0;
  std::vector<HeaderField> headers;
  // Bytes of the body, or -1 when the head does not tell.
  int64_t content_length = -1;
  // The answer to this request carries no body, whatever its headers say.
  bool no_body = false;

  const std::string* Find(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

// Why a request was answered without being handed to the dispatcher, or was
// cut off. Index of Stats::faults.
enum class Fault : uint8_t {
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
  kUnknownService,
  kUnknownPath,
  kBadHeaderValue,
  kDeadlineAlreadyPassed,
  kTicketMissing,
  kTicketRefused,
  kTooManyCallers,
  kCallerTimeout,
  kCallerReset,
  kAnswerTruncated,
  kAnswerTooLarge,
  kCount,
};

// Name of a fault for metrics: "headers_too_large" and so on.
std::string_view ToString(Fault fault);

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
  // Value of the Host header at the backend server; its address when empty.
  std::string host;
  // Header lines to forward, each with its line end.
  std::string header_lines;
  std::string class_name;
  std::string ticket;
  // The caller's own name of this attempt; empty when it gave none.
  std::string request_id;
  // Name of the route that the request matched; empty when there are none.
  std::string route;
  // Version of the configuration that the route was found in; zero without.
  uint64_t config_version = 0;
  // Length of the body, or -1 when it comes in chunks.
  int64_t content_length = 0;
  bool head_request = false;
};

// One try of a request, as the headers of the attempt name it.
struct AttemptFacts {
  // Name that the attempt is cancelled by.
  std::string name;
  // Name by which the backend server knows itself; empty when unknown.
  std::string backend_name;
  // The caller's name of the request, which answers repeat.
  std::string request_id;
  // Until the deadline of the attempt.
  Duration time_left{0};
};

// What the head of a backend server's answer means.
struct AnswerFacts {
  enum class Kind : uint8_t {
    // An answer of the request, good or bad.
    kAnswer,
    // The backend server did not start the request and never will.
    kNotRun,
    // Another backend server has the address; it did not start the request.
    kOtherBackend,
    // Belongs to an earlier request of the connection.
    kForeign,
    // Can't be what the backend server answers; the connection is given up.
    kInvalid,
  };
  Kind kind = Kind::kAnswer;
  bool leaving = false;
  // An error of the backend server itself; another one may do better.
  bool failed = false;
  // Free slots, or -1 when not told.
  int free_slots = -1;
  std::optional<steer::LoadHeader> load;
  // Time for which the backend server stays cold, when told.
  std::optional<Duration> cold_left;
};

// Gives headers their meaning, towards callers and towards backend servers.
// Implementations keep no state of requests.
class RelayProtocol {
 public:
  virtual ~RelayProtocol() = default;

  // Reads a request. Returns false and sets `refusal` when it can't be
  // relayed.
  virtual bool ReadRequest(const RequestHead& head,
                           TimePoint now,
                           RelayRequest* out,
                           Refusal* refusal) const = 0;

  // Writes a whole answer of the entry VM. `request` is null when none was
  // read.
  virtual std::string FormatRefusal(const Refusal& refusal,
                                    const RelayRequest* request,
                                    bool keep_alive) const = 0;

  // Answer to a request that the dispatcher rejected.
  virtual Refusal RefusalFor(const steer::Action& action) const = 0;

  // Whether a header of a backend server's answer is passed on.
  virtual bool ForwardsAnswerHeader(std::string_view name) const = 0;

  // Adds lines to the head of an answer that is passed on.
  virtual void AppendAnswerLines(RunVerdict verdict,
                                 std::string* head) const = 0;

  // Adds the lines that belong to one attempt to the head of its request.
  virtual void AppendAttemptLines(const RelayRequest& request,
                                  const AttemptFacts& attempt,
                                  std::string* head) const = 0;

  virtual AnswerFacts ReadAnswer(const AnswerHead& head,
                                 const AttemptFacts& attempt) const = 0;

  // Whether a backend server is told of a cancellation by a call of its own;
  // if not, closing the connection tells it.
  virtual bool CancelsByCall() const = 0;

  // Bytes of an answer that are held before its head is passed on, so that a
  // broken answer can still be replaced by that of another attempt.
  virtual size_t HeldAnswerBytes() const = 0;
};

// Reason phrase of a status.
const char* ReasonPhrase(int status);

// Whether a header concerns one connection only and is not relayed.
bool IsHopByHop(std::string_view name);

// Collects the header lines of a request that are forwarded: those that
// concern more than one connection and that `forwards` lets pass. Returns
// false when a value holds control bytes.
bool CollectHeaderLines(const RequestHead& head,
                        bool (*forwards)(std::string_view name),
                        std::string* lines);

// Parses a whole decimal number. Returns false for anything else.
bool ParseInteger(std::string_view text, int64_t* value);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_RELAY_PROTOCOL_H_
