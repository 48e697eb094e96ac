#ifndef SOAK_CALL_CHECKER_H_
#define SOAK_CALL_CHECKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/http_client.h"

// Records the calls of a soak with their responses, and checks invariants.
namespace comfreystand::soak {

struct Call {
  std::string id;
  bool idempotent = true;
  // Expected size of the response body, if the call is served; negative when
  // unknown.
  int64_t body_bytes = -1;
  size_t gateway = 0;
  TimePoint sent_at;
  TimePoint completed_at{};
  http::Outcome outcome = http::Outcome::kNotSent;
  int status = 0;
};

class CallChecker {
 public:
  void RecordCall(const Call& call) { pending_calls_[call.id] = call; }
  // Records a response and checks that it belongs to the call and is in time.
  // `gateway_disrupted`: the gateway was killed, stopped or paused during the
  // call, so that a late response is not a violation.
  void RecordResponse(const std::string& id,
                      const http::Response& response,
                      TimePoint now,
                      bool gateway_disrupted);
  void AddViolation(std::string violation) {
    violations_.push_back(std::move(violation));
  }

  // Checks how often each request was executed. `run_count` returns the number
  // of executions of a request id.
  void CheckRunCounts(
      const std::function<int(const std::string& id)>& run_count);

  size_t completed_calls() const { return completed_calls_.size(); }
  size_t served() const { return served_; }
  size_t refused() const { return refused_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::map<std::string, Call> pending_calls_;
  std::vector<Call> completed_calls_;
  size_t served_ = 0;
  size_t refused_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace comfreystand::soak

#endif  // SOAK_CALL_CHECKER_H_
