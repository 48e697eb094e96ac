#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "bench/experiment.h"

namespace comfreystand::experiment {
namespace {

using namespace std::chrono_literals;
using steer::Action;
using steer::ActionType;

Scenario FaultyScenario(uint64_t seed) {
  Scenario scenario;
  scenario.deployment = FloatKeepers();
  scenario.seed = seed;
  scenario.classes = {{.name = "short", .mean = 15ms, .sigma = 0.4},
                      {.name = "report",
                       .mean = 450ms,
                       .sigma = 0.5,
                       .deadline = 10s,
                       .max_slot_share = 0.34,
                       .priority = 0,
                       .declared = 1}};
  scenario.load = {0.5, 0.15};
  scenario.length = 8s;
  scenario.warm_up = 0s;
  scenario.slowdown = {.share = 0.15, .factor = 10, .from = 2s, .until = 6s};
  scenario.faults = {.connect_fails = 0.02,
                     .breaks_before_start = 0.02,
                     .breaks_after_start = 0.02,
                     .sheds = 0.02,
                     .silent = 0.01,
                     .caller_leaves = 0.05};
  return scenario;
}

// Passes everything on to a real dispatcher but spoils some of its actions.
class SpoiledDispatcher final : public steer::Dispatcher {
 public:
  using Spoil = std::function<void(Action* action)>;

  SpoiledDispatcher(const steer::DispatcherInit& init, Spoil spoil)
      : real_(steer::CreateDispatcher(init)), spoil_(std::move(spoil)) {}

  void SetRules(TimePoint now, const RuleSet& rules) override {
    real_->SetRules(now, rules);
  }
  void UpdateBackend(TimePoint now,
                     const steer::BackendUpdate& update) override {
    real_->UpdateBackend(now, update);
  }
  void SetPeersInDomain(uint32_t rank, uint32_t count) override {
    real_->SetPeersInDomain(rank, count);
  }
  void SetSlotLimit(ServiceId service, DomainId domain, Slots limit) override {
    real_->SetSlotLimit(service, domain, limit);
  }
  void StopAdmitting() override { real_->StopAdmitting(); }
  RequestHandle Submit(TimePoint now,
                       const steer::RequestTraits& traits) override {
    steer::RequestTraits spoiled = traits;
    spoiled.idempotent |= claim_idempotent;
    return real_->Submit(now, spoiled);
  }
  void CancelRequest(TimePoint now, RequestHandle request) override {
    real_->CancelRequest(now, request);
  }
  void OnAttempt(TimePoint now,
                 AttemptHandle attempt,
                 const steer::AttemptReport& report) override {
    real_->OnAttempt(now, attempt, report);
  }
  void OnLoadReport(TimePoint now, const steer::LoadReport& report) override {
    real_->OnLoadReport(now, report);
  }
  void OnProbe(TimePoint now, BackendId backend, bool answered) override {
    real_->OnProbe(now, backend, answered);
  }
  bool NextAction(TimePoint now, Action* action) override {
    const bool any = real_->NextAction(now, action);
    if (any) {
      spoil_(action);
    }
    return any;
  }
  TimePoint NextWakeup() const override { return real_->NextWakeup(); }
  steer::DispatcherStats Stats() const override { return real_->Stats(); }
  steer::BackendStatus StatusOf(BackendId backend) const override {
    return real_->StatusOf(backend);
  }

  bool claim_idempotent = false;

 private:
  std::unique_ptr<steer::Dispatcher> real_;
  Spoil spoil_;
};

Violations CheckSpoiled(const std::function<SpoiledDispatcher::Spoil()>& make,
                        bool claim_idempotent) {
  const Policy policy = {.name = "spoiled",
                         .central = false,
                         .create = [&](const NodeSetup& setup) {
                           auto node = std::make_unique<SpoiledDispatcher>(
                               setup.init, make());
                           node->claim_idempotent = claim_idempotent;
                           return node;
                         }};
  return CheckHistory(Run(FaultyScenario(1), policy).records);
}

TEST_CASE("histories under faults") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const Violations found =
        CheckHistory(Run(FaultyScenario(seed), ProductPolicy()).records);
    CHECK(found.duplicate_runs == 0);
    CHECK(found.false_not_run == 0);
    CHECK(found.mixed_answers == 0);
    CHECK(found.unfinished == 0);
  }
}

TEST_CASE("the history check finds a planted fault") {
  SUBCASE("that resends and hedges work that isn't idempotent") {
    const Violations found = CheckSpoiled([] { return [](Action*) {}; }, true);
    CHECK(found.duplicate_runs > 0);
  }
  SUBCASE("that says not-run of work that may have run") {
    const Violations found = CheckSpoiled(
        [] {
          return [](Action* action) {
            if (action->type == ActionType::kReject) {
              action->verdict = RunVerdict::kNotRun;
            }
          };
        },
        false);
    CHECK(found.false_not_run > 0);
  }
  SUBCASE("that passes on another request's answer") {
    const Violations found = CheckSpoiled(
        [] {
          return [last = AttemptHandle()](Action* action) mutable {
            if (action->type != ActionType::kDeliver) {
              return;
            }
            std::swap(last, action->attempt);
            if (!action->attempt.IsValid()) {
              action->attempt = last;
            }
          };
        },
        false);
    CHECK(found.mixed_answers > 0);
  }
}

}  // namespace
}  // namespace comfreystand::experiment
