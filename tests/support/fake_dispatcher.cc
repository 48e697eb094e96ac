#include "tests/support/fake_dispatcher.h"

#include <algorithm>

namespace comfreystand::testing {

using steer::ActionType;
using steer::AttemptEvent;
using steer::RejectReason;

int FakeDispatcher::ReportCount(AttemptEvent event) const {
  return static_cast<int>(
      std::count_if(reports.begin(), reports.end(),
                    [event](const auto& r) { return r.event == event; }));
}

void FakeDispatcher::StartProbe(BackendId backend) {
  steer::Action action;
  action.type = ActionType::kProbe;
  action.backend = backend;
  actions_.push_back(action);
}

RequestHandle FakeDispatcher::Submit(TimePoint now,
                                     const steer::RequestTraits& traits) {
  submitted.push_back(traits);
  const RequestHandle handle(next_handle_++);
  Request& request = requests_[handle];
  request.traits = traits;
  if (overloaded) {
    Reject(handle, RejectReason::kOverloaded);
    return handle;
  }
  Start(handle, &request);
  if (hedge && traits.idempotent) {
    Start(handle, &request);
  }
  return handle;
}

void FakeDispatcher::Start(RequestHandle handle, Request* request) {
  if (backends.empty()) {
    Reject(handle, RejectReason::kNoBackend);
    return;
  }
  const BackendId chosen = *std::min_element(
      backends.begin(), backends.end(), [this](BackendId a, BackendId b) {
        return in_flight_[a] < in_flight_[b];
      });
  ++in_flight_[chosen];
  ++request->attempt_count;
  const AttemptHandle attempt(next_handle_++);
  attempts_[attempt] = {handle, chosen};
  request->in_flight.push_back(attempt);
  steer::Action action;
  action.type = ActionType::kStartAttempt;
  action.request = handle;
  action.attempt = attempt;
  action.backend = chosen;
  action.deadline = request->traits.deadline;
  actions_.push_back(action);
}

void FakeDispatcher::Reject(RequestHandle handle, RejectReason reason) {
  const Request& request = requests_.at(handle);
  steer::Action action;
  action.type = ActionType::kReject;
  action.request = handle;
  action.verdict =
      request.may_have_run ? RunVerdict::kMayHaveRun : RunVerdict::kNotRun;
  action.reason = reason;
  if (reason == RejectReason::kOverloaded) {
    action.retry_after = std::chrono::seconds(1);
  }
  actions_.push_back(action);
  CancelAttempts(request, AttemptHandle());
  requests_.erase(handle);
}

void FakeDispatcher::CancelAttempts(const Request& request,
                                    AttemptHandle except) {
  for (const AttemptHandle attempt : request.in_flight) {
    if (attempt != except) {
      steer::Action action;
      action.type = ActionType::kCancelAttempt;
      action.attempt = attempt;
      actions_.push_back(action);
    }
  }
}

void FakeDispatcher::CancelRequest(TimePoint now, RequestHandle handle) {
  ++cancelled_requests;
  const auto found = requests_.find(handle);
  if (found != requests_.end()) {
    CancelAttempts(found->second, AttemptHandle());
    requests_.erase(found);
  }
}

void FakeDispatcher::OnAttemptFailed(RequestHandle handle, bool not_run) {
  const auto found = requests_.find(handle);
  if (found == requests_.end() || found->second.delivered) {
    return;
  }
  Request& request = found->second;
  request.may_have_run = request.may_have_run || !not_run;
  if (!request.in_flight.empty()) {
    return;
  }
  const bool may_retry = request.traits.idempotent || !request.may_have_run;
  if (may_retry && request.attempt_count < max_attempts) {
    Start(handle, &request);
  } else {
    Reject(handle, RejectReason::kAttemptFailed);
  }
}

void FakeDispatcher::OnAttempt(TimePoint now,
                               AttemptHandle handle,
                               const steer::AttemptReport& report) {
  reports.push_back(report);
  const auto found = attempts_.find(handle);
  if (found == attempts_.end()) {
    ++unknown_attempts;
    return;
  }
  const Attempt attempt = found->second;
  const auto request = requests_.find(attempt.request);
  const bool pending = request != requests_.end();
  if (report.event == AttemptEvent::kWritten) {
    return;
  }
  if (report.event == AttemptEvent::kAnswerStarted) {
    if (pending && !request->second.delivered) {
      request->second.delivered = true;
      steer::Action action;
      action.type = ActionType::kDeliver;
      action.request = attempt.request;
      action.attempt = handle;
      actions_.push_back(action);
      CancelAttempts(request->second, handle);
    }
    return;
  }
  --in_flight_[attempt.backend];
  attempts_.erase(found);
  if (pending) {
    std::erase(request->second.in_flight, handle);
  }
  if (report.event != AttemptEvent::kAnswered) {
    OnAttemptFailed(attempt.request, report.event != AttemptEvent::kBroken);
  } else if (pending) {
    requests_.erase(request);
  }
}

void FakeDispatcher::OnLoadReport(TimePoint now,
                                  const steer::LoadReport& report) {
  load_reports.push_back(report);
}

void FakeDispatcher::OnProbe(TimePoint now,
                             BackendId backend,
                             const steer::ProbeReport& report) {
  probe_results.emplace_back(backend, report.healthy);
}

bool FakeDispatcher::NextAction(TimePoint now, steer::Action* action) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    const auto current = it++;
    if (!current->second.delivered && current->second.traits.deadline <= now) {
      const bool sent = !current->second.in_flight.empty();
      current->second.may_have_run = current->second.may_have_run || sent;
      Reject(current->first, RejectReason::kDeadlineExceeded);
    }
  }
  if (held || actions_.empty()) {
    return false;
  }
  *action = actions_.front();
  actions_.pop_front();
  return true;
}

TimePoint FakeDispatcher::NextWakeup() const {
  TimePoint next = TimePoint::max();
  for (const auto& [handle, request] : requests_) {
    if (!request.delivered) {
      next = std::min(next, request.traits.deadline);
    }
  }
  return actions_.empty() ? next : TimePoint::min();
}

}  // namespace comfreystand::testing
