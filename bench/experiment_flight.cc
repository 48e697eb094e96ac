#include <algorithm>
#include <cmath>

#include "bench/experiment_run.h"

// Attempts under way and the fake backend servers that they reach.
namespace comfreystand::experiment {
namespace {

using steer::Action;
using steer::AttemptEvent;
using steer::AttemptReport;

constexpr ServiceId kService(0);
constexpr Duration kReportInterval{500'000};

}  // namespace

uint32_t ExperimentRun::Backends() const {
  return static_cast<uint32_t>(backends_.size());
}

uint32_t ExperimentRun::FreeSlots(BackendId id) const {
  const FakeBackend& backend = backends_[id.value];
  return backend.leaving ? 0 : scenario_.deployment.slots - backend.running;
}

double ExperimentRun::Slowness(BackendId id) const {
  return backends_[id.value].slowness;
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

void ExperimentRun::StartFlight(uint32_t index, const Action& action) {
  Node& node = nodes_[index];
  const auto id = static_cast<uint32_t>(flights_.size());
  const uint32_t backend = action.backend.value;
  flights_.push_back({.node = index,
                      .attempt = action.attempt,
                      .record = node.records.at(action.request.value),
                      .backend = backend,
                      .deadline = action.deadline});
  node.flights[action.attempt.value] = id;
  CountAttempt(backend);
  const Duration delay = Delay(index, backend);
  Duration connect{0};
  if (node.idle[backend] > 0) {
    --node.idle[backend];
  } else {
    connect = 2 * delay + scenario_.deployment.connection_cost;
  }
  if (Chance(scenario_.faults.connect_fails)) {
    After(connect,
          [this, id] { Report(id, {.event = AttemptEvent::kConnectFailed}); });
    return;
  }
  flights_[id].silent = Chance(scenario_.faults.silent);
  const bool breaks = Chance(scenario_.faults.breaks_before_start);
  After(connect, [this, id, breaks, delay] {
    if (flights_[id].state == FlightState::kDone) {
      return;
    }
    Report(id, {.event = AttemptEvent::kWritten});
    if (breaks) {
      After(delay, [this, id] { BreakFlight(id); });
    } else if (flights_[id].silent) {
      After(scenario_.faults.silence, [this, id] { BreakFlight(id); });
    } else {
      After(delay, [this, id] { Reach(id); });
    }
  });
}

void ExperimentRun::CancelFlight(uint32_t node, AttemptHandle attempt) {
  const auto found = nodes_[node].flights.find(attempt.value);
  const uint32_t id = found->second;
  if (flights_[id].state == FlightState::kDone) {
    return;
  }
  After(Delay(node, flights_[id].backend), [this, id] {
    Flight& flight = flights_[id];
    if (flight.state == FlightState::kQueued) {
      auto& queue = backends_[flight.backend].queue;
      queue.erase(std::find(queue.begin(), queue.end(), id));
      flight.state = FlightState::kDone;
      After(Delay(flight.node, flight.backend), [this, id] {
        Report(id, {.event = AttemptEvent::kCancelledBeforeStart});
      });
    } else if (flight.state == FlightState::kRunning) {
      BreakFlight(id);
    }
  });
}

void ExperimentRun::Report(uint32_t id, const AttemptReport& report) {
  const Flight& flight = flights_[id];
  if (steer::AttemptEvent::kWritten != report.event) {
    flights_[id].state = FlightState::kDone;
  }
  Node& node = nodes_[flight.node];
  const bool reusable = report.event == AttemptEvent::kAnswered ||
                        report.event == AttemptEvent::kRefused ||
                        report.event == AttemptEvent::kCancelledBeforeStart;
  if (reusable) {
    ++node.idle[flight.backend];
  }
  node.dispatcher->OnAttempt(now_, flight.attempt, report);
  Drain(flight.node);
}

void ExperimentRun::Reach(uint32_t id) {
  Flight& flight = flights_[id];
  if (flight.state == FlightState::kDone) {
    return;
  }
  FakeBackend& backend = backends_[flight.backend];
  if (backend.leaving || Chance(scenario_.faults.sheds)) {
    if (backend.leaving) {
      outcome_.last_new_work =
          std::max(outcome_.last_new_work, now_ - backend.left_at);
    }
    flight.state = FlightState::kDone;
    const bool leaving = backend.leaving;
    After(Delay(flight.node, flight.backend), [this, id, leaving] {
      Report(id, {.event = AttemptEvent::kRefused, .leaving = leaving});
    });
    return;
  }
  if (backend.running < scenario_.deployment.slots) {
    Begin(id);
  } else {
    flight.state = FlightState::kQueued;
    backend.queue.push_back(id);
  }
}

void ExperimentRun::Begin(uint32_t id) {
  Flight& flight = flights_[id];
  FakeBackend& backend = backends_[flight.backend];
  Record& record = outcome_.records[flight.record];
  flight.state = FlightState::kRunning;
  ++backend.running;
  ++record.starts;
  ++record.running;
  record.most_running = std::max(record.most_running, record.running);
  const Duration time(static_cast<int64_t>(
      static_cast<double>(record.work.count()) * backend.slowness));
  if (Chance(scenario_.faults.breaks_after_start)) {
    After(time / 2, [this, id] { BreakFlight(id); });
  }
  After(time, [this, id] { Finish(id); });
}

void ExperimentRun::StopRunning(uint32_t id) {
  Flight& flight = flights_[id];
  --backends_[flight.backend].running;
  --outcome_.records[flight.record].running;
  flight.state = FlightState::kDone;
  BeginNext(flight.backend);
}

void ExperimentRun::Finish(uint32_t id) {
  const Flight& flight = flights_[id];
  if (flight.state != FlightState::kRunning) {
    return;
  }
  StopRunning(id);
  const FakeBackend& backend = backends_[flight.backend];
  const AttemptReport report = {.event = AttemptEvent::kAnswered,
                                .leaving = backend.leaving,
                                .reported_free_slots = LateFreeSlots(backend)};
  After(Delay(flight.node, flight.backend),
        [this, id, report] { Report(id, report); });
}

void ExperimentRun::BeginNext(uint32_t index) {
  FakeBackend& backend = backends_[index];
  while (!backend.queue.empty() &&
         backend.running < scenario_.deployment.slots) {
    const uint32_t id = backend.queue.front();
    backend.queue.pop_front();
    if (flights_[id].deadline > now_) {
      Begin(id);
      continue;
    }
    flights_[id].state = FlightState::kDone;
    After(Delay(flights_[id].node, index), [this, id] {
      Report(id, {.event = AttemptEvent::kCancelledBeforeStart});
    });
  }
}

void ExperimentRun::BreakFlight(uint32_t id) {
  Flight& flight = flights_[id];
  if (flight.state == FlightState::kDone) {
    return;
  }
  if (flight.state == FlightState::kRunning) {
    StopRunning(id);
  }
  flight.state = FlightState::kDone;
  const bool silent = flight.silent;
  After(Delay(flight.node, flight.backend), [this, id, silent] {
    Report(id, {.event = AttemptEvent::kBroken, .silent = silent});
  });
}

void ExperimentRun::ScheduleReports() {
  const auto samples =
      static_cast<size_t>(scenario_.report_lag / kReportInterval) + 1;
  for (uint32_t b = 0; b < backends_.size(); ++b) {
    FakeBackend& backend = backends_[b];
    backend.samples.push_back(backend.running);
    if (backend.samples.size() > samples) {
      backend.samples.pop_front();
    }
    for (Node& node : nodes_) {
      node.dispatcher->OnLoadReport(
          now_, {.backend = BackendId(b),
                 .busy = Slots{static_cast<int32_t>(backend.samples.front())},
                 .age = scenario_.report_lag});
    }
  }
  if (now_ < start_ + scenario_.length) {
    After(kReportInterval, [this] { ScheduleReports(); });
  }
}

int ExperimentRun::LateFreeSlots(const FakeBackend& backend) const {
  return static_cast<int>(scenario_.deployment.slots) -
         static_cast<int>(backend.samples.front());
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
    At(start_ + slowdown.from,
       [this, b] { backends_[b].slowness = scenario_.slowdown.factor; });
    At(start_ + slowdown.until, [this, b] { backends_[b].slowness = 1; });
  }
}

void ExperimentRun::ScheduleLeaves() {
  for (const Leave& leave : scenario_.leaves) {
    At(start_ + leave.at, [this, leave] {
      backends_[leave.backend].leaving = true;
      backends_[leave.backend].left_at = now_;
    });
    for (uint32_t node = 0; node < nodes_.size(); ++node) {
      At(start_ + leave.at + leave.list_lag,
         [this, leave, node] { TellLeaving(node, leave.backend); });
    }
    // The first node that has heard of it tells the others.
    for (uint32_t node = 0; node < nodes_.size(); ++node) {
      At(start_ + leave.at + leave.peer_lag, [this, leave, node] {
        const auto state =
            nodes_[node].dispatcher->StatusOf(BackendId(leave.backend)).state;
        if (state != steer::BackendState::kLeaving) {
          return;
        }
        for (uint32_t other = 0; other < nodes_.size(); ++other) {
          After(leave.peer_lag,
                [this, leave, other] { TellLeaving(other, leave.backend); });
        }
      });
    }
  }
}

void ExperimentRun::TellLeaving(uint32_t node, uint32_t backend) {
  nodes_[node].dispatcher->UpdateBackend(
      now_, {.backend = BackendId(backend),
             .service = kService,
             .domain = backends_[backend].domain,
             .slots = Slots{static_cast<int32_t>(scenario_.deployment.slots)},
             .state = steer::BackendState::kLeaving});
  Drain(node);
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
