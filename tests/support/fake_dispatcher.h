#ifndef COMFREYSTAND_TESTS_SUPPORT_FAKE_DISPATCHER_H_
#define COMFREYSTAND_TESTS_SUPPORT_FAKE_DISPATCHER_H_

#include <deque>
#include <map>
#include <vector>

#include "comfreystand/steer/dispatch.h"

namespace comfreystand::testing {

// Sends each request to the backend server with the least in flight, and again
// elsewhere when it is certain not to have run. Records every report.
class FakeDispatcher final : public steer::Dispatcher {
 public:
  std::vector<BackendId> backends;
  // Requests to a service without backend servers are rejected.
  int max_attempts = 3;
  // Starts a second attempt at once for idempotent requests.
  bool hedge = false;
  // Rejects everything as overloaded.
  bool overloaded = false;
  std::vector<steer::AttemptReport> reports;
  std::vector<steer::LoadReport> loads;
  std::vector<std::pair<BackendId, bool>> probes;
  std::vector<steer::RequestTraits> submitted;
  int unknown_attempts = 0;
  int cancelled_requests = 0;

  // How often `event` was reported.
  int Count(steer::AttemptEvent event) const;
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
  void OnProbe(TimePoint now, BackendId backend, bool answered) override;
  bool NextAction(TimePoint now, steer::Action* action) override;
  TimePoint NextWakeup() const override;

 private:
  struct Attempt {
    RequestHandle request;
    BackendId backend;
  };
  struct Request {
    steer::RequestTraits traits;
    int tries = 0;
    // A try may have run.
    bool exposed = false;
    bool delivered = false;
    std::vector<AttemptHandle> live;
  };

  void Start(RequestHandle handle, Request* request);
  void Reject(RequestHandle handle, steer::RejectReason reason);
  void CancelAttempts(const Request& request, AttemptHandle except);
  void OnLost(RequestHandle handle, bool not_run);

  std::deque<steer::Action> actions_;
  std::map<RequestHandle, Request> requests_;
  std::map<AttemptHandle, Attempt> attempts_;
  std::map<BackendId, int> in_flight_;
  uint64_t next_ = 1;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FAKE_DISPATCHER_H_
