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
                     .caller_cancels = 0.05};
  return scenario;
}

// Forwards all calls to a real dispatcher and modifies some of its actions.
class TamperingDispatcher final : public steer::Dispatcher {
 public:
  using Tamper = std::function<void(Action* action)>;

  TamperingDispatcher(const steer::DispatcherInit& init, Tamper tamper)
      : inner_(steer::CreateDispatcher(init)), tamper_(std::move(tamper)) {}

  void SetRules(TimePoint now, const RuleSet& rules) override {
    inner_->SetRules(now, rules);
  }
  void UpdateBackend(TimePoint now,
                     const steer::BackendUpdate& update) override {
    inner_->UpdateBackend(now, update);
  }
  void SetPeersInDomain(uint32_t rank, uint32_t count) override {
    inner_->SetPeersInDomain(rank, count);
  }
  void SetSlotLimit(ServiceId service, DomainId domain, Slots limit) override {
    inner_->SetSlotLimit(service, domain, limit);
  }
  void StopAdmitting() override { inner_->StopAdmitting(); }
  RequestHandle Submit(TimePoint now,
                       const steer::RequestTraits& traits) override {
    steer::RequestTraits tampered = traits;
    tampered.idempotent |= claim_idempotent;
    return inner_->Submit(now, tampered);
  }
  void CancelRequest(TimePoint now, RequestHandle request) override {
    inner_->CancelRequest(now, request);
  }
  void OnAttempt(TimePoint now,
                 AttemptHandle attempt,
                 const steer::AttemptReport& report) override {
    inner_->OnAttempt(now, attempt, report);
  }
  void OnLoadReport(TimePoint now, const steer::LoadReport& report) override {
    inner_->OnLoadReport(now, report);
  }
  void OnProbe(TimePoint now,
               BackendId backend,
               const steer::ProbeReport& report) override {
    inner_->OnProbe(now, backend, report);
  }
  bool NextAction(TimePoint now, Action* action) override {
    const bool has_action = inner_->NextAction(now, action);
    if (has_action) {
      tamper_(action);
    }
    return has_action;
  }
  TimePoint NextWakeup() const override { return inner_->NextWakeup(); }
  steer::DispatcherStats Stats() const override { return inner_->Stats(); }
  steer::BackendStatus StatusOf(BackendId backend) const override {
    return inner_->StatusOf(backend);
  }

  // Whether all requests are submitted as idempotent.
  bool claim_idempotent = false;

 private:
  std::unique_ptr<steer::Dispatcher> inner_;
  Tamper tamper_;
};

// Runs a scenario whose nodes use a TamperingDispatcher, each with a function
// from `make_tamper`, and returns the violations found.
Violations CheckTampered(
    const std::function<TamperingDispatcher::Tamper()>& make_tamper,
    bool claim_idempotent) {
  const Policy policy = {.name = "tampered",
                         .central = false,
                         .create = [&](const NodeSetup& setup) {
                           auto node = std::make_unique<TamperingDispatcher>(
                               setup.init, make_tamper());
                           node->claim_idempotent = claim_idempotent;
                           return node;
                         }};
  return CheckHistory(Run(FaultyScenario(1), policy).records);
}

TEST_CASE("dispatch histories under injected faults have no violations") {
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

TEST_CASE("the history check detects a dispatcher") {
  SUBCASE("that resends and hedges work that isn't idempotent") {
    const Violations found = CheckTampered([] { return [](Action*) {}; }, true);
    CHECK(found.duplicate_runs > 0);
  }
  SUBCASE("that reports not-run for work that may have run") {
    const Violations found = CheckTampered(
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
  SUBCASE("that delivers the answer of another request") {
    const Violations found = CheckTampered(
        [] {
          return [previous = AttemptHandle()](Action* action) mutable {
            if (action->type != ActionType::kDeliver) {
              return;
            }
            // Delivers the previous answer instead of the current one.
            std::swap(previous, action->attempt);
            if (!action->attempt.IsValid()) {
              action->attempt = previous;
            }
          };
        },
        false);
    CHECK(found.mixed_answers > 0);
  }
}

}  // namespace
}  // namespace comfreystand::experiment
