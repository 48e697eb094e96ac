#include "src/steer/dispatch_core.h"

#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::steer {
namespace {

// Weight of a suspect backend server after it has answered a probe.
constexpr double kWeightAfterProbe = 0.34;
constexpr Duration kMinProbeInterval{500'000};
constexpr Duration kMaxLoadReportAge{1'000'000};

}  // namespace

DispatcherCore::DispatcherCore(const DispatcherInit& init)
    : init_(init),
      hedge_budget_(init.tuning.hedge_ratio, init.tuning.hedge_burst),
      learner_(init.tuning.long_factor) {}

void DispatcherCore::SetRules(TimePoint now, const RuleSet& rules) {
  init_.rules = rules;
  for (Service& service : services_) {
    service.needs_rebuild = true;
  }
  any_needs_rebuild_ = true;
}

void DispatcherCore::UpdateBackend(TimePoint now, const BackendUpdate& update) {
  if (update.backend.value >= limits::kMaxBackends ||
      update.service.value >= limits::kMaxServices) {
    return;
  }
  if (update.backend.value >= backends_.size()) {
    backends_.resize(update.backend.value + 1);
  }
  AddServices(update.service);
  Backend& backend = backends_[update.backend.value];
  const ServiceId old_service = backend.service;
  const Incarnation old_incarnation = backend.incarnation;
  const bool changed = backend.Apply(update);
  backend.shared_rate.SetNodes(backend.key, peer_nodes_);
  services_[update.service.value].pool.OnBackendChanged(backend);
  if (old_incarnation != backend.incarnation) {
    services_[update.service.value].pool.warm_objects().OnRestarted(
        update.backend);
  }
  if (!changed) {
    StartQueued(now, update.service);
    return;
  }
  if (old_service != update.service) {
    MarkForRebuild(old_service);
  }
  MarkForRebuild(update.service);
  RebuildPools();
  StartQueued(now, update.service);
}

void DispatcherCore::AddServices(ServiceId service) {
  const auto count =
      static_cast<double>(std::max<size_t>(1, peer_nodes_.live.size()));
  while (service.value >= services_.size()) {
    services_.emplace_back(init_.tuning, &backends_);
    services_.back().retry_budget.SetBurst(init_.tuning.retry_burst / count);
    services_.back().pool.SetChecksBackends(backends_uncertain_);
  }
}

void DispatcherCore::SetPeersInDomain(uint32_t rank, uint32_t count) {
  peer_rank_ = {.rank = rank, .count = std::max(1U, count)};
  for (Service& service : services_) {
    service.needs_rebuild = true;
  }
  any_needs_rebuild_ = true;
}

void DispatcherCore::SetPeerNodes(const PeerNodes& peers) {
  peer_nodes_ = peers;
  const auto count =
      static_cast<double>(std::max<size_t>(1, peers.live.size()));
  for (Service& service : services_) {
    service.retry_budget.SetBurst(init_.tuning.retry_burst / count);
  }
  for (Backend& backend : backends_) {
    backend.shared_rate.SetNodes(backend.key, peers);
  }
}

void DispatcherCore::SetBackendsUncertain(TimePoint now, bool uncertain) {
  backends_uncertain_ = uncertain;
  for (size_t i = 0; i < services_.size(); ++i) {
    services_[i].pool.SetChecksBackends(uncertain);
    StartQueued(now, ServiceId(static_cast<uint16_t>(i)));
  }
}

void DispatcherCore::SetSlotLimit(ServiceId service,
                                  DomainId domain,
                                  Slots limit) {
  if (service.value >= limits::kMaxServices) {
    return;
  }
  AddServices(service);
  if (services_[service.value].pool.SetLimit(domain, limit.value)) {
    MarkForRebuild(service);
  }
}

void DispatcherCore::CancelRequest(TimePoint now, RequestHandle handle) {
  Request* request = requests_.Find(handle);
  if (request == nullptr) {
    return;
  }
  Reject(handle, request, RejectReason::kCancelledByCaller, Duration(0));
}

void DispatcherCore::OnLoadReport(TimePoint now, const LoadReport& report) {
  if (report.backend.value >= backends_.size()) {
    return;
  }
  Backend& backend = backends_[report.backend.value];
  backend.OnBusyReport(report.busy.value);
  if (report.age > kMaxLoadReportAge) {
    return;
  }
  backend.SetPeerBusySlots(now - report.age,
                           static_cast<double>(report.busy.value) -
                               static_cast<double>(backend.in_flight));
}

void DispatcherCore::OnProbe(TimePoint now,
                             BackendId id,
                             const ProbeReport& report) {
  if (id.value >= backends_.size()) {
    return;
  }
  Backend& backend = backends_[id.value];
  const auto probed = std::exchange(backend.probed, std::nullopt);
  if (probed && !backend.IsProcess(*probed)) {
    // Another process has the name by now.
    backend.check = {};
    StartQueued(now, backend.service);
    return;
  }
  backend.check.OnResult(now, report.healthy);
  if (report.identified) {
    backend.OnProbeAnswered();
  } else if (!report.answered && backend.contact.IsLost() &&
             backend.OnConnectFailed()) {
    backend.MarkSuspect(now, init_.tuning.trial_interval);
  }
  backend.OnStatement(now, {.leaving = report.leaving,
                            .wait = report.wait,
                            .remaining_cold_time = report.remaining_cold_time});
  if (report.from_other_backend) {
    OnAddressReused(&backend,
                    probed ? probed->incarnation : backend.incarnation);
  }
  if (report.leaving) {
    MarkForRebuild(backend.service);
  }
  if (report.healthy && backend.suspect) {
    backend.OnProgress(now);
    backend.weight = kWeightAfterProbe;
  }
  OnBackendChanged(backend);
  RebuildPools();
  StartQueued(now, backend.service);
}

// Another backend server has answered at the address that `incarnation` had.
void DispatcherCore::OnAddressReused(Backend* backend,
                                     Incarnation incarnation) {
  if (backend->incarnation == incarnation) {
    backend->MarkLeaving();
    MarkForRebuild(backend->service);
  }
}

bool DispatcherCore::NextAction(TimePoint now, Action* action) {
  if (actions_.empty()) {
    RebuildPools();
    RunTimers(now);
  }
  if (actions_.empty()) {
    return false;
  }
  *action = actions_.front();
  actions_.pop_front();
  return true;
}

TimePoint DispatcherCore::NextWakeup() const {
  TimePoint next = TimePoint::max();
  if (!timers_.empty()) {
    next = timers_.front().when;
  }
  if (requests_.size() > 0 || attempts_.size() > 0 || HasReducedBackend()) {
    next = std::min(next, next_interval_);
  }
  return next;
}

void DispatcherCore::Reject(RequestHandle handle,
                            Request* request,
                            RejectReason reason,
                            Duration retry_after) {
  if (request->queued) {
    FindService(request->traits.service)
        ->queues[static_cast<size_t>(request->lane)]
        .Remove(handle);
    --queued_;
  }
  CancelOpenAttempts(*request, AttemptHandle());
  const RunVerdict verdict = RequestVerdict(request->history);
  const bool not_run = verdict == RunVerdict::kNotRun;
  ++(not_run ? stats_.rejected_not_run : stats_.rejected_may_have_run);
  actions_.push_back({.type = ActionType::kReject,
                      .request = handle,
                      .verdict = verdict,
                      .reason = reason,
                      .retry_after = not_run ? retry_after : Duration(0),
                      .hold = request->hold});
  requests_.Destroy(handle);
}

void DispatcherCore::ScheduleTimer(RequestHandle handle, Request* request) {
  const TimePoint deadline = request->traits.deadline;
  TimePoint timer_at = TimePoint::max();
  if (request->queued) {
    timer_at = request->latest_start;
  } else if (!request->delivering.IsValid()) {
    const TimePoint cancel_at = deadline - init_.tuning.cancel_lead;
    timer_at = request->cancelled_for_deadline
                   ? deadline
                   : std::min(request->hedge_at, cancel_at);
  }
  request->timer_at = timer_at;
  if (timer_at == TimePoint::max()) {
    return;
  }
  timers_.push_back({.when = timer_at, .request = handle});
  std::push_heap(timers_.begin(), timers_.end(), FiresAfter);
}

void DispatcherCore::RunTimers(TimePoint now) {
  while (!timers_.empty() && timers_.front().when <= now) {
    const Timer timer = timers_.front();
    std::pop_heap(timers_.begin(), timers_.end(), FiresAfter);
    timers_.pop_back();
    Request* request = requests_.Find(timer.request);
    if (request != nullptr && request->timer_at == timer.when) {
      OnTimer(now, timer.request, request);
    }
  }
  if (now >= next_interval_) {
    next_interval_ = now + limits::kBalanceInterval;
    RunBalanceInterval(now);
  }
}

void DispatcherCore::OnTimer(TimePoint now,
                             RequestHandle handle,
                             Request* request) {
  const TimePoint deadline = request->traits.deadline;
  if (request->queued) {
    const Duration wait = RetryAfter(request->traits.service, request->lane);
    ++stats_.shed;
    Reject(handle, request, RejectReason::kOverloaded, wait);
    return;
  }
  if (now >= deadline) {
    Reject(handle, request, RejectReason::kDeadlineExceeded, Duration(0));
    return;
  }
  if (now >= deadline - init_.tuning.cancel_lead) {
    request->cancelled_for_deadline = true;
    CancelOpenAttempts(*request, AttemptHandle());
  } else if (now >= request->hedge_at) {
    TryHedge(now, handle, request);
  }
  ScheduleTimer(handle, request);
}

void DispatcherCore::RunBalanceInterval(TimePoint now) {
  ReclassifyRunning(now);
  for (size_t i = 0; i < services_.size(); ++i) {
    services_[i].pool.Evaluate(now, &stats_);
    StartQueued(now, ServiceId(static_cast<uint16_t>(i)));
  }
  SendProbes(now);
}

void DispatcherCore::ReclassifyRunning(TimePoint now) {
  attempts_.ForEach([&](AttemptHandle, Attempt* attempt) {
    if (attempt->lane == Lane::kLong) {
      return;
    }
    const Duration age = now - attempt->started;
    if (!learner_.OnRunning(attempt->key, attempt->backend, age)) {
      return;
    }
    Backend& backend = backends_[attempt->backend.value];
    attempt->lane = Lane::kLong;
    if (!attempt->excluded_from_slowness) {
      backend.slowness.OnExcluded(attempt->started, attempt->expected,
                                  init_.tuning.long_factor);
    }
    attempt->excluded_from_slowness = true;
    FindService(attempt->service)->pool.OnBecameLong(&backend);
  });
}

void DispatcherCore::SendProbes(TimePoint now) {
  if (init_.tuning.probe_share <= 0) {
    return;
  }
  for (Backend& backend : backends_) {
    if (!backend.suspect || backend.state != BackendState::kLive ||
        now < std::max(backend.next_probe, backend.wait_until)) {
      continue;
    }
    backend.next_probe = now + ProbeInterval(backend);
    ++stats_.probes;
    backend.probed = backend.Process();
    actions_.push_back({.type = ActionType::kProbe, .backend = backend.id});
  }
}

Duration DispatcherCore::ProbeInterval(const Backend& backend) const {
  const auto& services = init_.rules.services;
  if (backend.service.value >= services.size()) {
    return kMinProbeInterval;
  }
  const Duration cost = services[backend.service.value].probe_cost;
  const double probe_slots = init_.tuning.probe_share * backend.slots;
  const Duration interval(static_cast<int64_t>(
      static_cast<double>(cost.count()) * peer_rank_.count / probe_slots));
  return std::max(kMinProbeInterval, interval);
}

bool DispatcherCore::HasReducedBackend() const {
  return std::any_of(backends_.begin(), backends_.end(), [](const Backend& b) {
    return b.state == BackendState::kLive && (b.suspect || b.weight < 1);
  });
}

void DispatcherCore::OnBackendChanged(const Backend& backend) {
  if (Service* service = FindService(backend.service)) {
    service->pool.OnBackendChanged(backend);
  }
}

void DispatcherCore::MarkForRebuild(ServiceId service) {
  if (Service* found = FindService(service)) {
    found->needs_rebuild = true;
    any_needs_rebuild_ = true;
  }
}

void DispatcherCore::RebuildPools() {
  if (!any_needs_rebuild_) {
    return;
  }
  any_needs_rebuild_ = false;
  std::vector<BackendId> members;
  for (size_t i = 0; i < services_.size(); ++i) {
    if (!services_[i].needs_rebuild) {
      continue;
    }
    services_[i].needs_rebuild = false;
    members.clear();
    for (const Backend& backend : backends_) {
      if (backend.id.IsValid() && backend.service.value == i) {
        members.push_back(backend.id);
      }
    }
    services_[i].pool.Rebuild(init_, members, peer_rank_, ConnectionBudget(i));
  }
}

uint32_t DispatcherCore::ConnectionBudget(size_t service) const {
  const auto& rules = init_.rules.services;
  if (service >= rules.size() || rules[service].connections_per_backend <= 0) {
    return UINT32_MAX;
  }
  return static_cast<uint32_t>(init_.connection_share *
                               rules[service].connections_per_backend);
}

DispatcherStats DispatcherCore::Stats() const {
  DispatcherStats stats = stats_;
  stats.queued = queued_;
  stats.in_flight = attempts_.size();
  for (const Service& service : services_) {
    stats.ejected_backends += service.pool.EjectedCount();
  }
  stats.limited_backends = static_cast<uint32_t>(std::count_if(
      backends_.begin(), backends_.end(), [](const Backend& backend) {
        return backend.state == BackendState::kLive && backend.IsLimited();
      }));
  return stats;
}

BackendStatus DispatcherCore::StatusOf(BackendId id) const {
  if (id.value >= backends_.size()) {
    return {};
  }
  const Backend& backend = backends_[id.value];
  return {.state = backend.state,
          .wait_until = backend.wait_until,
          .cold_until = backend.cold_until,
          .in_flight = backend.in_flight,
          .long_in_flight = backend.long_in_flight,
          .slowness = backend.slowness.Get(next_interval_),
          .weight = backend.suspect ? 0 : backend.weight};
}

std::unique_ptr<Dispatcher> CreateDispatcher(const DispatcherInit& init) {
  return std::make_unique<DispatcherCore>(init);
}

}  // namespace comfreystand::steer
