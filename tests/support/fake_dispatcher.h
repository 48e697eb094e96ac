#ifndef COMFREYSTAND_TESTS_SUPPORT_FAKE_DISPATCHER_H_
#define COMFREYSTAND_TESTS_SUPPORT_FAKE_DISPATCHER_H_

#include <deque>
#include <map>
#include <vector>

#include "comfreystand/steer/dispatch.h"

namespace comfreystand::testing {

// Dispatcher without rules or queues: starts each request at the backend server
// with the fewest attempts in flight, and retries it when it certainly did not
// run or is idempotent. Records every report.
class FakeDispatcher final : public steer::Dispatcher {
 public:
  // Requests are rejected when this is empty.
  std::vector<BackendId> backends;
  // Maximum number of attempts of a request.
  int max_attempts = 3;
  // Starts two attempts at once for idempotent requests.
  bool hedge = false;
  // Rejects every request as overloaded.
  bool overloaded = false;
  // Returns no actions while set, as when no slot is free.
  bool held = false;
  std::vector<steer::AttemptReport> reports;
  std::vector<steer::LoadReport> load_reports;
  // Backend server of each finished probe, and whether it answered.
  std::vector<std::pair<BackendId, bool>> probe_results;
  std::vector<steer::RequestTraits> submitted;
  int unknown_attempts = 0;
  int cancelled_requests = 0;

  // Number of reports of `event`.
  int ReportCount(steer::AttemptEvent event) const;
  void StartProbe(BackendId backend);

  void SetRules(TimePoint now, const RuleSet& rules) override {}
  void UpdateBackend(TimePoint now,
                     const steer::BackendUpdate& update) override {}
  void SetPeersInDomain(uint32_t rank, uint32_t count) override {}
  void SetSlotLimit(ServiceId service, DomainId domain, Slots limit) override {}
  void StopAdmitting() override {}
  steer::DispatcherStats Stats() const override { return {}; }
  steer::BackendStatus StatusOf(BackendId backend) const override { return {}; }
  RequestHandle Submit(TimePoint now,
                       const steer::RequestTraits& traits) override;
  void CancelRequest(TimePoint now, RequestHandle request) override;
  void OnAttempt(TimePoint now,
                 AttemptHandle attempt,
                 const steer::AttemptReport& report) override;
  void OnLoadReport(TimePoint now, const steer::LoadReport& report) override;
  void OnProbe(TimePoint now,
               BackendId backend,
               const steer::ProbeReport& report) override;
  bool NextAction(TimePoint now, steer::Action* action) override;
  TimePoint NextWakeup() const override;

 private:
  struct Attempt {
    RequestHandle request;
    BackendId backend;
  };
  struct Request {
    steer::RequestTraits traits;
    int attempt_count = 0;
    // An attempt may have run.
    bool may_have_run = false;
    bool delivered = false;
    std::vector<AttemptHandle> in_flight;
  };

  void Start(RequestHandle handle, Request* request);
  void Reject(RequestHandle handle, steer::RejectReason reason);
  void CancelAttempts(const Request& request, AttemptHandle except);
  void OnAttemptFailed(RequestHandle handle, bool not_run);

  std::deque<steer::Action> actions_;
  std::map<RequestHandle, Request> requests_;
  std::map<AttemptHandle, Attempt> attempts_;
  std::map<BackendId, int> in_flight_;
  uint64_t next_handle_ = 1;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FAKE_DISPATCHER_H_
