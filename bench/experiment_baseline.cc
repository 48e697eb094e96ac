#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bench/experiment.h"

// Baseline policies for comparison with comfreystand's dispatcher.
namespace comfreystand::experiment {
namespace {

using namespace steer;  // NOLINT(google-build-using-namespace)

constexpr ServiceId kService(0);

// Common part of the baseline policies: makes one attempt per request, another
// after each refusal, and enforces no deadlines.
class BaselineDispatcher : public Dispatcher {
 public:
  explicit BaselineDispatcher(const NodeSetup& setup) : setup_(setup) {}

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
    Dispatch(now, handle, traits);
    return handle;
  }

  void CancelRequest(TimePoint, RequestHandle) override {}

  void OnAttempt(TimePoint now,
                 AttemptHandle handle,
                 const AttemptReport& report) override {
    if (report.event == AttemptEvent::kWritten) {
      return;
    }
    const Attempt ended = attempts_.at(handle.value);
    attempts_.erase(handle.value);
    --backends_[ended.backend.value].in_flight;
    if (report.event == AttemptEvent::kAnswered) {
      actions_.push_back({.type = ActionType::kDeliver,
                          .request = ended.request,
                          .attempt = handle,
                          .verdict = RunVerdict::kRan});
    } else if (report.event == AttemptEvent::kRefused) {
      Dispatch(now, ended.request, ended.traits);
    } else {
      actions_.push_back({.type = ActionType::kReject,
                          .request = ended.request,
                          .verdict = RunVerdict::kMayHaveRun,
                          .reason = RejectReason::kAttemptFailed});
    }
    OnAttemptEnded(now);
  }

  void OnLoadReport(TimePoint, const LoadReport&) override {}
  void OnProbe(TimePoint, BackendId, const ProbeReport&) override {}

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
  struct BackendEntry {
    BackendUpdate update;
    uint32_t in_flight = 0;
  };

  // Sends the request to a backend server, or queues it.
  virtual void Dispatch(TimePoint now,
                        RequestHandle handle,
                        const RequestTraits& traits) = 0;
  // Called after each attempt that ended.
  virtual void OnAttemptEnded(TimePoint now) {}

  bool InRegion(const BackendEntry& entry) const {
    const auto& domains = setup_.init.rules.domains;
    return domains[entry.update.domain.value].region ==
           domains[setup_.init.domain.value].region;
  }

  void Send(RequestHandle handle,
            const RequestTraits& traits,
            BackendId backend) {
    const AttemptHandle attempt(next_handle_++);
    attempts_[attempt.value] = {handle, traits, backend};
    ++backends_[backend.value].in_flight;
    actions_.push_back({.type = ActionType::kStartAttempt,
                        .request = handle,
                        .attempt = attempt,
                        .backend = backend,
                        .deadline = traits.deadline});
  }

  NodeSetup setup_;
  std::vector<BackendEntry> backends_;

 private:
  struct Attempt {
    RequestHandle request;
    RequestTraits traits;
    BackendId backend;
  };

  uint64_t next_handle_ = 1;
  std::unordered_map<uint64_t, Attempt> attempts_;
  std::deque<Action> actions_;
  DispatcherStats stats_;
};

class RoundRobin final : public BaselineDispatcher {
 public:
  using BaselineDispatcher::BaselineDispatcher;

 private:
  void Dispatch(TimePoint,
                RequestHandle handle,
                const RequestTraits& traits) override {
    for (size_t i = 0; i < backends_.size(); ++i) {
      next_ = (next_ + 1) % backends_.size();
      const BackendEntry& entry = backends_[next_];
      if (InRegion(entry) && entry.update.state == BackendState::kLive) {
        Send(handle, traits, entry.update.backend);
        return;
      }
    }
  }

  size_t next_ = 0;
};

class LeastInFlight final : public BaselineDispatcher {
 public:
  using BaselineDispatcher::BaselineDispatcher;

 private:
  void Dispatch(TimePoint,
                RequestHandle handle,
                const RequestTraits& traits) override {
    const BackendEntry* best = nullptr;
    // Breaks ties in rotation.
    offset_ = (offset_ + 1) % backends_.size();
    for (size_t i = 0; i < backends_.size(); ++i) {
      const BackendEntry& entry = backends_[(offset_ + i) % backends_.size()];
      const bool usable =
          InRegion(entry) && entry.update.state == BackendState::kLive;
      if (usable && (best == nullptr || entry.in_flight < best->in_flight)) {
        best = &entry;
      }
    }
    Send(handle, traits, best->update.backend);
  }

  size_t offset_ = 0;
};

class CentralQueue final : public BaselineDispatcher {
 public:
  using BaselineDispatcher::BaselineDispatcher;

 private:
  void Dispatch(TimePoint now,
                RequestHandle handle,
                const RequestTraits& traits) override {
    queue_.emplace_back(handle, traits);
    OnAttemptEnded(now);
  }

  void OnAttemptEnded(TimePoint) override {
    while (!queue_.empty()) {
      const BackendId backend = FindFreeBackend();
      if (!backend.IsValid()) {
        return;
      }
      Send(queue_.front().first, queue_.front().second, backend);
      queue_.pop_front();
    }
  }

  // First backend server with a free slot that is not slowed; invalid if there
  // is none.
  BackendId FindFreeBackend() const {
    const Oracle& oracle = *setup_.oracle;
    for (uint32_t i = 0; i < oracle.BackendCount(); ++i) {
      const BackendId id(i);
      if (oracle.SlowdownFactor(id) <= 1 && oracle.FreeSlots(id) > 0 &&
          backends_[i].in_flight <
              static_cast<uint32_t>(backends_[i].update.slots.value)) {
        return id;
      }
    }
    return {};
  }

  std::deque<std::pair<RequestHandle, RequestTraits>> queue_;
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
