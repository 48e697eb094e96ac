#include "soak/call_checker.h"

#include "platform/names.h"

namespace comfreystand::soak {
namespace {

constexpr int kOk = 200;
// The longest time limit of a route, plus a margin for a busy machine.
constexpr std::chrono::seconds kMaxResponseTime{10};
// `max_attempts` of the soak's routes.
constexpr int kMaxRuns = 2;

// Whether the status guarantees that the request was not and will not be
// executed.
bool GuaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void CallChecker::RecordResponse(const std::string& id,
                                 const http::Response& response,
                                 TimePoint now,
                                 bool gateway_disrupted) {
  Call call = pending_calls_.extract(id).mapped();
  call.completed_at = now;
  call.outcome = response.outcome;
  call.status = response.status;
  const auto echoed = response.headers.find(platform::names::kRequestId);
  if (echoed != response.headers.end() && echoed->second != id) {
    AddViolation("call " + id + " received the response of call " +
                 echoed->second);
  }
  const bool served = call.status == kOk;
  if (served && call.body_bytes >= 0 &&
      static_cast<int64_t>(response.body.size()) != call.body_bytes) {
    AddViolation("response body of " + std::to_string(response.body.size()) +
                 " bytes for call " + id + ", expected " +
                 std::to_string(call.body_bytes));
  }
  if (!gateway_disrupted && now - call.sent_at > kMaxResponseTime) {
    AddViolation("response too late for call " + id + " from gateway " +
                 std::to_string(call.gateway));
  }
  served_ += served ? 1 : 0;
  refused_ += GuaranteesNotRun(call.status) ? 1 : 0;
  completed_calls_.push_back(call);
}

void CallChecker::CheckRunCounts(
    const std::function<int(const std::string& id)>& run_count) {
  for (const Call& call : completed_calls_) {
    const int count = run_count(call.id);
    if (count > (call.idempotent ? kMaxRuns : 1)) {
      AddViolation("call " + call.id + " was executed " +
                   std::to_string(count) + " times");
    }
    if (!call.idempotent && GuaranteesNotRun(call.status) && count > 0) {
      AddViolation("call " + call.id + " was executed, but its status " +
                   std::to_string(call.status) + " means not executed");
    }
    if (call.status == kOk && count == 0) {
      AddViolation("call " + call.id +
                   " has a successful response, but was not executed");
    }
  }
}

}  // namespace comfreystand::soak
