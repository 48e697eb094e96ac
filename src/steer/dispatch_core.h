#ifndef COMFREYSTAND_SRC_STEER_DISPATCH_CORE_H_
#define COMFREYSTAND_SRC_STEER_DISPATCH_CORE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"
#include "src/steer/admission_learn.h"
#include "src/steer/admission_queue.h"
#include "src/steer/balance_backend.h"
#include "src/steer/balance_pool.h"
#include "src/steer/dispatch_slab.h"
#include "src/steer/fair_order.h"
#include "src/steer/retry_budget.h"
#include "src/steer/retry_quantile.h"
#include "src/steer/retry_verdict.h"

namespace comfreystand::steer {

// Maximum number of attempts of one request that are tracked.
constexpr size_t kMaxTrackedAttempts = 4;

// Implements Dispatcher: queues requests at the entry VM, chooses backend
// servers, tracks attempts and determines verdicts. The policies for this are
// implemented by the classes it owns.
class DispatcherCore final : public Dispatcher {
 public:
  explicit DispatcherCore(const DispatcherInit& init);

  void SetRules(TimePoint now, const RuleSet& rules) override;
  void UpdateBackend(TimePoint now, const BackendUpdate& update) override;
  void SetPeersInDomain(uint32_t rank, uint32_t count) override;
  void SetPeerNodes(const PeerNodes& peers) override;
  void SetBackendsUncertain(TimePoint now, bool uncertain) override;
  void SetSlotLimit(ServiceId service, DomainId domain, Slots limit) override;
  void StopAdmitting() override { admitting_ = false; }
  RequestHandle Submit(TimePoint now, const RequestTraits& traits) override;
  void CancelRequest(TimePoint now, RequestHandle request) override;
  bool IsWithdrawn(TimePoint now, AttemptHandle attempt) const override;
  void OnConnectionLost(TimePoint now, BackendId backend) override;
  void OnAttempt(TimePoint now,
                 AttemptHandle attempt,
                 const AttemptReport& report) override;
  void OnLoadReport(TimePoint now, const LoadReport& report) override;
  void OnProbe(TimePoint now,
               BackendId backend,
               const ProbeReport& report) override;
  bool NextAction(TimePoint now, Action* action) override;
  TimePoint NextWakeup() const override;
  DispatcherStats Stats() const override;
  BackendStatus StatusOf(BackendId backend) const override;

 private:
  struct Request {
    RequestTraits traits;
    RequestHistory history;
    Lane lane = Lane::kShort;
    Duration expected{0};
    int priority = 0;
    double long_share = 1;
    bool queued = false;
    // Set once running attempts were cancelled because the deadline is near.
    bool cancelled_for_deadline = false;
    AttemptHandle delivering;
    std::array<AttemptHandle, kMaxTrackedAttempts> open_handles;
    std::array<BackendId, kMaxTrackedAttempts> tried_backends;
    TimePoint latest_start;
    // While it is queued: as in Choice.
    TimePoint next_start;
    HoldReason hold = HoldReason::kNone;
    TimePoint hedge_at = TimePoint::max();
    TimePoint timer_at = TimePoint::max();
  };

  struct Attempt {
    RequestHandle request;
    BackendId backend;
    ProcessRef process;
    ServiceId service;
    WorkKey key;
    uint64_t object = 0;
    Lane lane = Lane::kShort;
    Duration expected{0};
    TimePoint started;
    AttemptProgress progress;
    bool cancelled = false;
    // Doesn't count for the slowness of the backend server, because its
    // expected latency is unknown or it became long work while running.
    bool excluded_from_slowness = false;
  };

  struct Service {
    Service(const DispatchTuning& tuning, std::vector<Backend>* backends)
        : pool(tuning, backends),
          retry_budget(tuning.retry_ratio, tuning.retry_burst),
          hedge_factor(tuning.hedge_quantile) {}
    ServicePool pool;
    RetryBudget retry_budget;
    std::array<FairQueue, kLanes> queues;
    // Order of the queued requests while callers have shares.
    FairOrder fair_order;
    QuantileEstimate hedge_factor;
    bool needs_rebuild = false;
  };

  struct Timer {
    TimePoint when;
    RequestHandle request;
  };

  static bool FiresAfter(const Timer& a, const Timer& b) {
    return a.when > b.when;
  }

  // Admission; dispatch_admit.cc.
  void Classify(Request* request);
  void Enqueue(TimePoint now, RequestHandle handle, Request* request);
  void Shed(TimePoint now, ServiceId service, Lane lane, TimePoint deadline);
  Duration EstimatedWait(ServiceId service, Lane lane) const;
  Duration RetryAfter(ServiceId service, Lane lane) const;
  void StartQueued(TimePoint now, ServiceId service);
  bool StartFront(TimePoint now, Service* service, Lane lane);
  struct WaitingRequest;
  void StartQueuedByPlacement(TimePoint now, Service* service);
  // Starts queued requests in the order of FairOrder; `waiting` has been taken
  // from their queue. dispatch_fair.cc.
  void StartQueuedFairly(TimePoint now,
                         Service* service,
                         const std::vector<WaitingRequest>& waiting);
  bool StartRequest(TimePoint now, Service* service, RequestHandle handle);
  // Rejects a queued request at once when it can't start in time.
  void RejectIfTooLate(TimePoint now, Service* service, RequestHandle handle);
  // Probes a backend server unless a probe is under way.
  void RequestCheck(TimePoint now, BackendId backend);
  Choice ChooseBackend(TimePoint now, Service* service, const Request& request);
  std::span<const BackendId> TriedBackends(const Request& request) const;
  uint8_t MaxAttempts(const Request& request) const;
  bool PlacementEnabled() const { return init_.tuning.placement.enabled; }
  // Key under which the duration of the work is learned. Work on an object has
  // separate keys for backend servers where it is warm and where it is cold.
  static WorkKey WorkKeyFor(const RequestTraits& traits, bool warm);
  PlacementWork PlacementWorkFor(const RequestTraits& traits) const;
  // Creates all services up to and including `service`.
  void AddServices(ServiceId service);
  Service* FindService(ServiceId service);
  const Service* FindService(ServiceId service) const;

  // Attempts; dispatch_attempt.cc.
  void StartAttempt(TimePoint now,
                    RequestHandle handle,
                    Request* request,
                    const Choice& choice);
  void EndAttempt(TimePoint now,
                  AttemptHandle handle,
                  const Attempt& attempt,
                  const AttemptReport& report);
  // Records what an answer says of its backend server and of its load.
  void RecordAnswer(TimePoint now,
                    Backend* backend,
                    const Attempt& attempt,
                    const AttemptReport& report);
  void OnAddressReused(Backend* backend, Incarnation incarnation);
  void RecordAttemptEnd(TimePoint now,
                        const Attempt& attempt,
                        const AttemptReport& report);
  // Whether an attempt ended before its request was sent, although the caller
  // waits.
  static bool WasWithdrawn(const Attempt& attempt,
                           const AttemptReport& report) {
    return report.event == AttemptEvent::kCancelledBeforeStart &&
           !attempt.cancelled && !attempt.progress.written;
  }
  void LearnLatency(TimePoint now, const Attempt& attempt);
  void ContinueRequest(TimePoint now,
                       AttemptHandle ended,
                       const Attempt& attempt,
                       const AttemptReport& report);
  bool ResendAfterError(TimePoint now,
                        RequestHandle handle,
                        Request* request,
                        AttemptHandle failed);
  void ResendOrReject(TimePoint now,
                      RequestHandle handle,
                      Request* request,
                      AttemptEvent event);
  void Deliver(RequestHandle handle, Request* request, AttemptHandle attempt);
  void CancelOpenAttempts(const Request& request, AttemptHandle except);
  void TryHedge(TimePoint now, RequestHandle handle, Request* request);

  // Request ends and timers; dispatch_core.cc.
  void Reject(RequestHandle handle,
              Request* request,
              RejectReason reason,
              Duration retry_after);
  void ScheduleTimer(RequestHandle handle, Request* request);
  void RunTimers(TimePoint now);
  void OnTimer(TimePoint now, RequestHandle handle, Request* request);
  void RunBalanceInterval(TimePoint now);
  void ReclassifyRunning(TimePoint now);
  void SendProbes(TimePoint now);
  Duration ProbeInterval(const Backend& backend) const;
  // True while a live backend server is suspect or has a reduced weight.
  bool HasReducedBackend() const;
  uint32_t ConnectionBudget(size_t service) const;
  void RebuildPools();
  void MarkForRebuild(ServiceId service);
  // Passes a change of a backend server's state on to its pool.
  void OnBackendChanged(const Backend& backend);

  DispatcherInit init_;
  RetryBudget hedge_budget_;
  DurationLearner learner_;
  std::vector<Backend> backends_;
  std::vector<Service> services_;
  Slab<Request, RequestHandle> requests_;
  Slab<Attempt, AttemptHandle> attempts_;
  std::vector<Timer> timers_;
  std::deque<Action> actions_;
  TimePoint next_interval_;
  PeerRank peer_rank_;
  PeerNodes peer_nodes_;
  bool admitting_ = true;
  bool backends_uncertain_ = false;
  bool any_needs_rebuild_ = false;
  uint32_t queued_ = 0;
  DispatcherStats stats_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_DISPATCH_CORE_H_
