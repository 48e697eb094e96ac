#include <algorithm>
#include <cmath>

#include "bench/experiment_run.h"

// Attempts in flight and the fake backend servers that execute them.
namespace comfreystand::experiment {
namespace {

using steer::Action;
using steer::AttemptEvent;
using steer::AttemptReport;

constexpr ServiceId kService(0);
constexpr Duration kLoadReportInterval{500'000};

}  // namespace

uint32_t ExperimentRun::BackendCount() const {
  return static_cast<uint32_t>(backends_.size());
}

uint32_t ExperimentRun::FreeSlots(BackendId id) const {
  const FakeBackend& backend = backends_[id.value];
  return backend.leaving ? 0 : scenario_.deployment.slots - backend.running;
}

double ExperimentRun::SlowdownFactor(BackendId id) const {
  return backends_[id.value].slowdown_factor;
}

Duration ExperimentRun::Delay(uint32_t node, uint32_t backend) const {
  if (central_) {
    return Duration(0);
  }
  const Deployment& deployment = scenario_.deployment;
  const uint32_t from = nodes_[node].domain.value;
  const uint32_t to = backends_[backend].domain.value;
  if (from == to) {
    return deployment.same_domain;
  }
  const uint32_t per_region = deployment.domains / deployment.regions;
  return from / per_region == to / per_region ? deployment.between_domains
                                              : deployment.between_regions;
}

void ExperimentRun::StartAttempt(uint32_t index, const Action& action) {
  Node& node = nodes_[index];
  const auto id = static_cast<uint32_t>(attempts_.size());
  const uint32_t backend = action.backend.value;
  attempts_.push_back({.node = index,
                       .handle = action.attempt,
                       .record = node.records.at(action.request.value),
                       .backend = backend,
                       .deadline = action.deadline});
  node.attempts[action.attempt.value] = id;
  CountAttempt(backend);
  const Duration delay = Delay(index, backend);
  Duration connect{0};
  if (node.idle_connections[backend] > 0) {
    --node.idle_connections[backend];
  } else {
    connect = 2 * delay + scenario_.deployment.connection_cost;
  }
  if (Chance(scenario_.faults.connect_fails)) {
    ScheduleAfter(connect, [this, id] {
      ReportAttempt(id, {.event = AttemptEvent::kConnectFailed});
    });
    return;
  }
  attempts_[id].silent = Chance(scenario_.faults.silent);
  const bool breaks = Chance(scenario_.faults.breaks_before_start);
  ScheduleAfter(connect, [this, id, breaks, delay] {
    if (attempts_[id].state == AttemptState::kDone) {
      return;
    }
    ReportAttempt(id, {.event = AttemptEvent::kWritten});
    if (breaks) {
      ScheduleAfter(delay, [this, id] { BreakAttempt(id); });
    } else if (attempts_[id].silent) {
      ScheduleAfter(scenario_.faults.silence, [this, id] { BreakAttempt(id); });
    } else {
      ScheduleAfter(delay, [this, id] { OnAttemptArrived(id); });
    }
  });
}

void ExperimentRun::CancelAttempt(uint32_t node, AttemptHandle handle) {
  const auto entry = nodes_[node].attempts.find(handle.value);
  const uint32_t id = entry->second;
  if (attempts_[id].state == AttemptState::kDone) {
    return;
  }
  ScheduleAfter(Delay(node, attempts_[id].backend), [this, id] {
    Attempt& attempt = attempts_[id];
    if (attempt.state == AttemptState::kQueued) {
      auto& queue = backends_[attempt.backend].queue;
      queue.erase(std::find(queue.begin(), queue.end(), id));
      attempt.state = AttemptState::kDone;
      ScheduleAfter(Delay(attempt.node, attempt.backend), [this, id] {
        ReportAttempt(id, {.event = AttemptEvent::kCancelledBeforeStart});
      });
    } else if (attempt.state == AttemptState::kRunning) {
      BreakAttempt(id);
    }
  });
}

void ExperimentRun::ReportAttempt(uint32_t id, const AttemptReport& report) {
  const Attempt& attempt = attempts_[id];
  if (steer::AttemptEvent::kWritten != report.event) {
    attempts_[id].state = AttemptState::kDone;
  }
  Node& node = nodes_[attempt.node];
  const bool reusable = report.event == AttemptEvent::kAnswered ||
                        report.event == AttemptEvent::kRefused ||
                        report.event == AttemptEvent::kCancelledBeforeStart;
  if (reusable) {
    ++node.idle_connections[attempt.backend];
  }
  node.dispatcher->OnAttempt(now_, attempt.handle, report);
  ProcessActions(attempt.node);
}

void ExperimentRun::OnAttemptArrived(uint32_t id) {
  Attempt& attempt = attempts_[id];
  if (attempt.state == AttemptState::kDone) {
    return;
  }
  FakeBackend& backend = backends_[attempt.backend];
  if (backend.leaving || Chance(scenario_.faults.sheds)) {
    if (backend.leaving) {
      outcome_.last_attempt_after_leave = std::max(
          outcome_.last_attempt_after_leave, now_ - backend.leaving_since);
    }
    attempt.state = AttemptState::kDone;
    const bool leaving = backend.leaving;
    ScheduleAfter(Delay(attempt.node, attempt.backend), [this, id, leaving] {
      ReportAttempt(id, {.event = AttemptEvent::kRefused, .leaving = leaving});
    });
    return;
  }
  if (backend.running < scenario_.deployment.slots) {
    StartWork(id);
  } else {
    attempt.state = AttemptState::kQueued;
    backend.queue.push_back(id);
  }
}

void ExperimentRun::StartWork(uint32_t id) {
  Attempt& attempt = attempts_[id];
  FakeBackend& backend = backends_[attempt.backend];
  RequestRecord& record = outcome_.records[attempt.record];
  attempt.state = AttemptState::kRunning;
  ++backend.running;
  ++record.starts;
  ++record.running;
  record.max_running = std::max(record.max_running, record.running);
  const Duration time(static_cast<int64_t>(
      static_cast<double>(record.work.count()) * backend.slowdown_factor));
  if (Chance(scenario_.faults.breaks_after_start)) {
    ScheduleAfter(time / 2, [this, id] { BreakAttempt(id); });
  }
  ScheduleAfter(time, [this, id] { FinishWork(id); });
}

void ExperimentRun::ReleaseSlot(uint32_t id) {
  Attempt& attempt = attempts_[id];
  --backends_[attempt.backend].running;
  --outcome_.records[attempt.record].running;
  attempt.state = AttemptState::kDone;
  StartQueued(attempt.backend);
}

void ExperimentRun::FinishWork(uint32_t id) {
  const Attempt& attempt = attempts_[id];
  if (attempt.state != AttemptState::kRunning) {
    return;
  }
  ReleaseSlot(id);
  const FakeBackend& backend = backends_[attempt.backend];
  const AttemptReport report = {
      .event = AttemptEvent::kAnswered,
      .leaving = backend.leaving,
      .reported_free_slots = ReportedFreeSlots(backend)};
  ScheduleAfter(Delay(attempt.node, attempt.backend),
                [this, id, report] { ReportAttempt(id, report); });
}

void ExperimentRun::StartQueued(uint32_t index) {
  FakeBackend& backend = backends_[index];
  while (!backend.queue.empty() &&
         backend.running < scenario_.deployment.slots) {
    const uint32_t id = backend.queue.front();
    backend.queue.pop_front();
    if (attempts_[id].deadline > now_) {
      StartWork(id);
      continue;
    }
    attempts_[id].state = AttemptState::kDone;
    ScheduleAfter(Delay(attempts_[id].node, index), [this, id] {
      ReportAttempt(id, {.event = AttemptEvent::kCancelledBeforeStart});
    });
  }
}

void ExperimentRun::BreakAttempt(uint32_t id) {
  Attempt& attempt = attempts_[id];
  if (attempt.state == AttemptState::kDone) {
    return;
  }
  if (attempt.state == AttemptState::kRunning) {
    ReleaseSlot(id);
  }
  attempt.state = AttemptState::kDone;
  const bool silent = attempt.silent;
  ScheduleAfter(Delay(attempt.node, attempt.backend), [this, id, silent] {
    ReportAttempt(id, {.event = AttemptEvent::kBroken, .timed_out = silent});
  });
}

void ExperimentRun::SendLoadReports() {
  const auto max_samples =
      static_cast<size_t>(scenario_.load_report_delay / kLoadReportInterval) +
      1;
  for (uint32_t b = 0; b < backends_.size(); ++b) {
    FakeBackend& backend = backends_[b];
    backend.busy_samples.push_back(backend.running);
    if (backend.busy_samples.size() > max_samples) {
      backend.busy_samples.pop_front();
    }
    for (Node& node : nodes_) {
      node.dispatcher->OnLoadReport(
          now_,
          {.backend = BackendId(b),
           .busy = Slots{static_cast<int32_t>(backend.busy_samples.front())},
           .age = scenario_.load_report_delay});
    }
  }
  if (now_ < start_ + scenario_.length) {
    ScheduleAfter(kLoadReportInterval, [this] { SendLoadReports(); });
  }
}

int ExperimentRun::ReportedFreeSlots(const FakeBackend& backend) const {
  return static_cast<int>(scenario_.deployment.slots) -
         static_cast<int>(backend.busy_samples.front());
}

void ExperimentRun::ScheduleSlowdown() {
  const Slowdown& slowdown = scenario_.slowdown;
  const auto count = static_cast<size_t>(
      std::lround(slowdown.share * static_cast<double>(backends_.size())));
  std::vector<uint32_t> order;
  for (uint32_t i = 0; i < backends_.size(); ++i) {
    order.push_back(i);
  }
  pcg64 random(StableHash(scenario_.seed, 77));
  for (size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[random() % i]);
  }
  order.resize(count);
  for (uint32_t b : order) {
    backends_[b].slowed = true;
    ScheduleAt(start_ + slowdown.from, [this, b] {
      backends_[b].slowdown_factor = scenario_.slowdown.factor;
    });
    ScheduleAt(start_ + slowdown.until,
               [this, b] { backends_[b].slowdown_factor = 1; });
  }
}

void ExperimentRun::ScheduleLeaves() {
  for (const Leave& leave : scenario_.leaves) {
    ScheduleAt(start_ + leave.at, [this, leave] {
      backends_[leave.backend].leaving = true;
      backends_[leave.backend].leaving_since = now_;
    });
    for (uint32_t node = 0; node < nodes_.size(); ++node) {
      ScheduleAt(start_ + leave.at + leave.vm_list_delay,
                 [this, leave, node] { MarkLeaving(node, leave.backend); });
    }
    // A node that has seen the backend server as leaving by then notifies all
    // other nodes.
    for (uint32_t node = 0; node < nodes_.size(); ++node) {
      ScheduleAt(start_ + leave.at + leave.peer_delay, [this, leave, node] {
        const auto state =
            nodes_[node].dispatcher->StatusOf(BackendId(leave.backend)).state;
        if (state != steer::BackendState::kLeaving) {
          return;
        }
        for (uint32_t other = 0; other < nodes_.size(); ++other) {
          ScheduleAfter(leave.peer_delay, [this, leave, other] {
            MarkLeaving(other, leave.backend);
          });
        }
      });
    }
  }
}

void ExperimentRun::MarkLeaving(uint32_t node, uint32_t backend) {
  nodes_[node].dispatcher->UpdateBackend(
      now_, {.backend = BackendId(backend),
             .service = kService,
             .domain = backends_[backend].domain,
             .slots = Slots{static_cast<int32_t>(scenario_.deployment.slots)},
             .state = steer::BackendState::kLeaving});
  ProcessActions(node);
}

void ExperimentRun::CountAttempt(uint32_t backend) {
  const auto second = static_cast<size_t>((now_ - start_).count() / 1'000'000);
  if (second >= attempts_by_second_.size()) {
    attempts_by_second_.resize(second + 1);
  }
  auto& [slowed, all] = attempts_by_second_[second];
  slowed += backends_[backend].slowed ? 1 : 0;
  ++all;
}

}  // namespace comfreystand::experiment
