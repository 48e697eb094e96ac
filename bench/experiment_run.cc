#include "bench/experiment_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreystand::experiment {
namespace {

using steer::Action;
using steer::ActionType;

constexpr ServiceId kService(0);
// Time after the last arrival for requests in flight to finish.
constexpr Duration kSettleTime{31'000'000};

RuleSet MakeRules(const Scenario& scenario) {
  const Deployment& deployment = scenario.deployment;
  RuleSet rules;
  rules.regions.resize(deployment.regions);
  const uint32_t per_region = deployment.domains / deployment.regions;
  for (uint32_t i = 0; i < deployment.domains; ++i) {
    rules.domains.push_back(
        {.name = {},
         .region = RegionId(static_cast<uint16_t>(i / per_region))});
  }
  ServiceRule service;
  service.name = "service";
  service.slots_per_backend = Slots{static_cast<int32_t>(deployment.slots)};
  service.connections_per_backend = deployment.connections;
  service.probe_cost = deployment.probe_cost;
  rules.services.push_back(service);
  for (const WorkClass& work : scenario.classes) {
    rules.classes.push_back({.name = work.name,
                             .max_slot_share = Fraction{work.max_slot_share},
                             .default_deadline = work.deadline,
                             .priority = work.priority});
  }
  return rules;
}

}  // namespace

ExperimentRun::ExperimentRun(const Scenario& scenario, const Policy& policy)
    : scenario_(scenario), central_(policy.central), random_(scenario.seed) {
  for (size_t i = 0; i < scenario.classes.size(); ++i) {
    arrival_random_.emplace_back(StableHash(scenario.seed, i));
  }
  CreateBackends();
  CreateNodes(policy);
}

void ExperimentRun::CreateBackends() {
  const Deployment& deployment = scenario_.deployment;
  backends_.resize(deployment.backends);
  for (uint32_t i = 0; i < deployment.backends; ++i) {
    backends_[i].domain =
        DomainId(static_cast<uint16_t>(i % deployment.domains));
  }
}

void ExperimentRun::CreateNodes(const Policy& policy) {
  const Deployment& deployment = scenario_.deployment;
  const uint32_t count = central_ ? 1 : deployment.nodes;
  std::vector<uint32_t> peers(deployment.domains);
  for (uint32_t i = 0; i < count; ++i) {
    ++peers[i % deployment.domains];
  }
  nodes_.resize(count);
  for (uint32_t i = 0; i < count; ++i) {
    Node& node = nodes_[i];
    node.domain = DomainId(static_cast<uint16_t>(i % deployment.domains));
    node.idle_connections.resize(deployment.backends);
    const uint32_t local =
        (deployment.backends - node.domain.value - 1) / deployment.domains + 1;
    node.request_share = central_ ? 1
                                  : static_cast<double>(local) /
                                        deployment.backends /
                                        peers[node.domain.value];
    NodeSetup setup;
    setup.oracle = this;
    setup.init.node = NodeId(i);
    setup.init.domain = node.domain;
    setup.init.rules = MakeRules(scenario_);
    setup.init.seed = StableHash(scenario_.seed, i);
    setup.init.tuning.same_region_rtt = 2 * deployment.between_domains;
    setup.init.tuning.other_region_rtt = 2 * deployment.between_regions;
    node.dispatcher = policy.create(setup);
    node.dispatcher->SetPeersInDomain(i / deployment.domains,
                                      peers[node.domain.value]);
    const uint32_t per_region = deployment.domains / deployment.regions;
    for (uint16_t d = 0; d < deployment.domains; ++d) {
      const bool same_region = d / per_region == node.domain.value / per_region;
      if (d != node.domain.value && same_region) {
        const uint32_t slots = (deployment.backends - d - 1) /
                                   deployment.domains * deployment.slots +
                               deployment.slots;
        node.dispatcher->SetSlotLimit(kService, DomainId(d),
                                      Slots{static_cast<int32_t>(slots)});
      }
    }
    for (uint32_t b = 0; b < deployment.backends; ++b) {
      node.dispatcher->UpdateBackend(
          now_, {.backend = BackendId(b),
                 .service = kService,
                 .domain = backends_[b].domain,
                 .slots = Slots{static_cast<int32_t>(deployment.slots)}});
    }
  }
}

Outcome ExperimentRun::Execute() {
  for (size_t i = 0; i < scenario_.classes.size(); ++i) {
    ScheduleArrival(static_cast<uint8_t>(i));
  }
  SendLoadReports();
  ScheduleSlowdown();
  ScheduleLeaves();
  const TimePoint last = start_ + scenario_.length + kSettleTime;
  while (!events_.empty() && events_.top().at <= last) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  for (const Node& node : nodes_) {
    outcome_.nodes.push_back(node.dispatcher->Stats());
  }
  for (size_t i = 0; i < attempts_by_second_.size(); ++i) {
    const auto& [slowed, all] = attempts_by_second_[i];
    outcome_.slowed_share.emplace_back(
        static_cast<double>(i),
        all == 0 ? 0 : static_cast<double>(slowed) / all);
  }
  outcome_.warm_up = scenario_.warm_up;
  return std::move(outcome_);
}

void ExperimentRun::ScheduleAt(TimePoint when, std::function<void()> run) {
  events_.push({.at = when, .order = order_++, .run = std::move(run)});
}

void ExperimentRun::ScheduleAfter(Duration delay, std::function<void()> run) {
  ScheduleAt(now_ + delay, std::move(run));
}

double ExperimentRun::CurrentLoad(uint8_t work_class) const {
  const bool later = !scenario_.later_load.empty() &&
                     now_ >= start_ + scenario_.load_changes_at;
  return later ? scenario_.later_load[work_class] : scenario_.load[work_class];
}

void ExperimentRun::ScheduleArrival(uint8_t work_class) {
  const double load = CurrentLoad(work_class);
  const Deployment& deployment = scenario_.deployment;
  const double per_micro =
      load * deployment.backends * deployment.slots /
      static_cast<double>(scenario_.classes[work_class].mean.count());
  // Interval at which the load is checked again while there is none.
  constexpr double kLoadCheckMicros = 100'000;
  const double unit = HashToUnitInterval(arrival_random_[work_class]());
  const double wait =
      per_micro > 0 ? -std::log(1 - unit) / per_micro : kLoadCheckMicros;
  const TimePoint at = now_ + Duration(static_cast<int64_t>(wait) + 1);
  if (at >= start_ + scenario_.length) {
    return;
  }
  ScheduleAt(at, [this, work_class] {
    if (CurrentLoad(work_class) > 0) {
      SubmitRequest(work_class);
    }
    ScheduleArrival(work_class);
  });
}

void ExperimentRun::SubmitRequest(uint8_t work_class) {
  const WorkClass& work = scenario_.classes[work_class];
  pcg64& random = arrival_random_[work_class];
  // The random draws are the same for every policy, so that runs can be
  // compared.
  const double a = HashToUnitInterval(random());
  const double b = HashToUnitInterval(random());
  const double normal =
      std::sqrt(-2 * std::log(1 - a)) * std::cos(2 * M_PI * b);
  const double factor =
      std::exp(work.sigma * normal - work.sigma * work.sigma / 2);
  const uint64_t node_draw = random();
  const uint64_t caller_draw = random();
  const double idempotent_draw = HashToUnitInterval(random());

  const auto index = static_cast<uint32_t>(outcome_.records.size());
  RequestRecord record;
  record.work_class = work_class;
  record.idempotent = idempotent_draw < work.idempotent;
  record.arrival = now_ - start_;
  record.work = Duration(
      static_cast<int64_t>(static_cast<double>(work.mean.count()) * factor));
  record.deadline = record.arrival + work.deadline;
  outcome_.records.push_back(record);

  const uint32_t node = PickNode(HashToUnitInterval(node_draw));
  const RequestHandle handle = nodes_[node].dispatcher->Submit(
      now_, {.service = kService,
             .caller = CallerId(
                 static_cast<uint32_t>(caller_draw % scenario_.callers)),
             .request_class = ClassId(work.declared),
             .path_hash = uint64_t{work_class} + 1,
             .idempotent = record.idempotent,
             .arrival = now_,
             .deadline = now_ + work.deadline});
  nodes_[node].records[handle.value] = index;
  if (Chance(scenario_.faults.caller_cancels)) {
    const Duration cancel_delay(static_cast<int64_t>(
        Uniform() * static_cast<double>(4 * work.mean.count())));
    ScheduleAfter(cancel_delay, [this, node, handle] {
      nodes_[node].dispatcher->CancelRequest(now_, handle);
      ProcessActions(node);
    });
  }
  ProcessActions(node);
}

uint32_t ExperimentRun::PickNode(double point) const {
  double cumulative_share = 0;
  for (uint32_t i = 0; i < nodes_.size(); ++i) {
    cumulative_share += nodes_[i].request_share;
    if (point < cumulative_share) {
      return i;
    }
  }
  return static_cast<uint32_t>(nodes_.size() - 1);
}

void ExperimentRun::ProcessActions(uint32_t index) {
  Node& node = nodes_[index];
  Action action;
  while (node.dispatcher->NextAction(now_, &action)) {
    ExecuteAction(index, action);
  }
  const TimePoint next = node.dispatcher->NextWakeup();
  if (next == TimePoint::max() || (node.wakeup > now_ && node.wakeup <= next)) {
    return;
  }
  node.wakeup = std::max(next, now_ + Duration(1));
  const TimePoint planned = node.wakeup;
  ScheduleAt(planned, [this, index, planned] {
    if (nodes_[index].wakeup == planned) {
      nodes_[index].wakeup = TimePoint::max();
      ProcessActions(index);
    }
  });
}

void ExperimentRun::ExecuteAction(uint32_t node, const Action& action) {
  switch (action.type) {
    case ActionType::kStartAttempt:
      StartAttempt(node, action);
      return;
    case ActionType::kCancelAttempt:
      CancelAttempt(node, action.attempt);
      return;
    case ActionType::kReject:
    case ActionType::kDeliver:
      FinishRequest(node, action);
      return;
    case ActionType::kProbe:
      ScheduleAfter(2 * Delay(node, action.backend.value) +
                        scenario_.deployment.probe_cost,
                    [this, node, backend = action.backend] {
                      nodes_[node].dispatcher->OnProbe(now_, backend,
                                                       {.healthy = true});
                      ProcessActions(node);
                    });
      return;
  }
}

void ExperimentRun::FinishRequest(uint32_t index, const Action& action) {
  Node& node = nodes_[index];
  RequestRecord& record =
      outcome_.records[node.records.at(action.request.value)];
  if (action.type == ActionType::kDeliver) {
    const Attempt& attempt = attempts_[node.attempts.at(action.attempt.value)];
    record.wrong_answer |= &outcome_.records[attempt.record] != &record;
    record.delivered = true;
  } else if (record.delivered) {
    // The answer broke off during delivery.
    record.delivered = false;
  }
  record.ended = true;
  record.verdict = action.verdict;
  record.reason = action.reason;
  record.end = now_ - start_;
}

bool ExperimentRun::Chance(double probability) {
  return probability > 0 && Uniform() < probability;
}

double ExperimentRun::Uniform() {
  return HashToUnitInterval(random_());
}

Outcome Run(const Scenario& scenario, const Policy& policy) {
  ExperimentRun run(scenario, policy);
  return run.Execute();
}

}  // namespace comfreystand::experiment
