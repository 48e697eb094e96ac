#include "soak/ledger.h"

#include "platform/names.h"

namespace comfreystand::soak {
namespace {

constexpr int kOk = 200;
// The longest route's time and what a busy machine may add to it.
constexpr std::chrono::seconds kLongestAnswer{10};
// As the configuration of the soak says.
constexpr int kMostRuns = 2;

// Statuses that promise that a request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void Ledger::Ended(const std::string& id,
                   const http::Response& response,
                   TimePoint now,
                   bool excused) {
  Call call = open_.extract(id).mapped();
  call.ended = now;
  call.outcome = response.outcome;
  call.status = response.status;
  const auto echoed = response.headers.find(platform::names::kRequestId);
  if (echoed != response.headers.end() && echoed->second != id) {
    Broken("mixed answers: " + id + " got that of " + echoed->second);
  }
  const bool served = call.status == kOk;
  if (served && call.body_bytes >= 0 &&
      static_cast<int64_t>(response.body.size()) != call.body_bytes) {
    Broken("a body of " + std::to_string(response.body.size()) + " bytes for " +
           id + ", which asked for " + std::to_string(call.body_bytes));
  }
  if (!excused && now - call.sent > kLongestAnswer) {
    Broken("no answer in time for " + id + " from gateway " +
           std::to_string(call.gateway));
  }
  served_ += served ? 1 : 0;
  refused_ += PromisesNotRun(call.status) ? 1 : 0;
  ended_.push_back(call);
}

void Ledger::CheckRuns(const std::function<int(const std::string& id)>& runs) {
  for (const Call& call : ended_) {
    const int count = runs(call.id);
    if (count > (call.idempotent ? kMostRuns : 1)) {
      Broken(call.id + " ran " + std::to_string(count) + " times");
    }
    if (!call.idempotent && PromisesNotRun(call.status) && count > 0) {
      Broken(call.id + " was told that it did not run, but it ran");
    }
    if (call.status == kOk && count == 0) {
      Broken(call.id + " was answered without a run");
    }
  }
}

}  // namespace comfreystand::soak
