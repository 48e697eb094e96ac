#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bench/experiment.h"

// Simple policies that the product's dispatcher is compared with.
namespace comfreystand::experiment {
namespace {

using namespace steer;  // NOLINT(google-build-using-namespace)

constexpr ServiceId kService(0);

// What the simple policies share: handles, one attempt a request, a second one
// after a refusal, no deadlines of their own.
class SimpleDispatcher : public Dispatcher {
 public:
  explicit SimpleDispatcher(const NodeSetup& setup) : setup_(setup) {}

  void SetRules(TimePoint, const RuleSet&) override {}
  void UpdateBackend(TimePoint, const BackendUpdate& update) override {
    if (update.backend.value >= backends_.size()) {
      backends_.resize(update.backend.value + 1);
    }
    backends_[update.backend.value].update = update;
  }
  void SetPeersInDomain(uint32_t, uint32_t) override {}
  void SetSlotLimit(ServiceId, DomainId, Slots) override {}
  void StopAdmitting() override {}

  RequestHandle Submit(TimePoint now, const RequestTraits& traits) override {
    const RequestHandle handle(next_handle_++);
    ++stats_.submitted;
    Start(now, handle, traits);
    return handle;
  }

  void CancelRequest(TimePoint, RequestHandle) override {}

  void OnAttempt(TimePoint now,
                 AttemptHandle handle,
                 const AttemptReport& report) override {
    if (report.event == AttemptEvent::kWritten) {
      return;
    }
    const Try ended = tries_.at(handle.value);
    tries_.erase(handle.value);
    --backends_[ended.backend.value].in_flight;
    if (report.event == AttemptEvent::kAnswered) {
      actions_.push_back({.type = ActionType::kDeliver,
                          .request = ended.request,
                          .attempt = handle,
                          .verdict = RunVerdict::kRan});
    } else if (report.event == AttemptEvent::kRefused) {
      Start(now, ended.request, ended.traits);
    } else {
      actions_.push_back({.type = ActionType::kReject,
                          .request = ended.request,
                          .verdict = RunVerdict::kMayHaveRun,
                          .reason = RejectReason::kAttemptFailed});
    }
    OnFree(now);
  }

  void OnLoadReport(TimePoint, const LoadReport&) override {}
  void OnProbe(TimePoint, BackendId, bool) override {}

  bool NextAction(TimePoint, Action* action) override {
    if (actions_.empty()) {
      return false;
    }
    *action = actions_.front();
    actions_.pop_front();
    return true;
  }

  TimePoint NextWakeup() const override { return TimePoint::max(); }
  DispatcherStats Stats() const override { return stats_; }
  BackendStatus StatusOf(BackendId backend) const override {
    return {.state = backends_[backend.value].update.state};
  }

 protected:
  struct Known {
    BackendUpdate update;
    uint32_t in_flight = 0;
  };

  virtual void Start(TimePoint now,
                     RequestHandle handle,
                     const RequestTraits& traits) = 0;
  virtual void OnFree(TimePoint now) {}

  bool InRegion(const Known& known) const {
    const auto& domains = setup_.init.rules.domains;
    return domains[known.update.domain.value].region ==
           domains[setup_.init.domain.value].region;
  }

  void Send(RequestHandle handle,
            const RequestTraits& traits,
            BackendId backend) {
    const AttemptHandle attempt(next_handle_++);
    tries_[attempt.value] = {handle, traits, backend};
    ++backends_[backend.value].in_flight;
    actions_.push_back({.type = ActionType::kStartAttempt,
                        .request = handle,
                        .attempt = attempt,
                        .backend = backend,
                        .deadline = traits.deadline});
  }

  NodeSetup setup_;
  std::vector<Known> backends_;

 private:
  struct Try {
    RequestHandle request;
    RequestTraits traits;
    BackendId backend;
  };

  uint64_t next_handle_ = 1;
  std::unordered_map<uint64_t, Try> tries_;
  std::deque<Action> actions_;
  DispatcherStats stats_;
};

class RoundRobin final : public SimpleDispatcher {
 public:
  using SimpleDispatcher::SimpleDispatcher;

 private:
  void Start(TimePoint,
             RequestHandle handle,
             const RequestTraits& traits) override {
    for (size_t i = 0; i < backends_.size(); ++i) {
      next_ = (next_ + 1) % backends_.size();
      const Known& known = backends_[next_];
      if (InRegion(known) && known.update.state == BackendState::kLive) {
        Send(handle, traits, known.update.backend);
        return;
      }
    }
  }

  size_t next_ = 0;
};

class LeastInFlight final : public SimpleDispatcher {
 public:
  using SimpleDispatcher::SimpleDispatcher;

 private:
  void Start(TimePoint,
             RequestHandle handle,
             const RequestTraits& traits) override {
    const Known* best = nullptr;
    // Ties go to the next one in turn.
    first_ = (first_ + 1) % backends_.size();
    for (size_t i = 0; i < backends_.size(); ++i) {
      const Known& known = backends_[(first_ + i) % backends_.size()];
      const bool usable =
          InRegion(known) && known.update.state == BackendState::kLive;
      if (usable && (best == nullptr || known.in_flight < best->in_flight)) {
        best = &known;
      }
    }
    Send(handle, traits, best->update.backend);
  }

  size_t first_ = 0;
};

class CentralQueue final : public SimpleDispatcher {
 public:
  using SimpleDispatcher::SimpleDispatcher;

 private:
  void Start(TimePoint now,
             RequestHandle handle,
             const RequestTraits& traits) override {
    waiting_.emplace_back(handle, traits);
    OnFree(now);
  }

  void OnFree(TimePoint) override {
    while (!waiting_.empty()) {
      const BackendId backend = FreeBackend();
      if (!backend.IsValid()) {
        return;
      }
      Send(waiting_.front().first, waiting_.front().second, backend);
      waiting_.pop_front();
    }
  }

  // The fastest one with a free slot; slowed ones stay unused.
  BackendId FreeBackend() const {
    const Oracle& oracle = *setup_.oracle;
    for (uint32_t i = 0; i < oracle.Backends(); ++i) {
      const BackendId id(i);
      if (oracle.Slowness(id) <= 1 && oracle.FreeSlots(id) > 0 &&
          backends_[i].in_flight <
              static_cast<uint32_t>(backends_[i].update.slots.value)) {
        return id;
      }
    }
    return {};
  }

  std::deque<std::pair<RequestHandle, RequestTraits>> waiting_;
};

template <typename DispatcherType>
std::unique_ptr<Dispatcher> Create(const NodeSetup& setup) {
  return std::make_unique<DispatcherType>(setup);
}

}  // namespace

Policy ProductPolicy(const DispatchTuning& tuning) {
  return {.name = "comfreystand",
          .central = false,
          .create = [tuning](const NodeSetup& setup) {
            DispatcherInit init = setup.init;
            init.tuning = tuning;
            init.tuning.same_region_rtt = setup.init.tuning.same_region_rtt;
            init.tuning.other_region_rtt = setup.init.tuning.other_region_rtt;
            return CreateDispatcher(init);
          }};
}

Policy RoundRobinPolicy() {
  return {
      .name = "round robin", .central = false, .create = Create<RoundRobin>};
}

Policy LeastInFlightPolicy() {
  return {.name = "least in flight",
          .central = false,
          .create = Create<LeastInFlight>};
}

Policy CentralQueuePolicy() {
  return {
      .name = "central queue", .central = true, .create = Create<CentralQueue>};
}

}  // namespace comfreystand::experiment
