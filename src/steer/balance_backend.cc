#include "src/steer/balance_backend.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::steer {
namespace {

// Number of progress timeouts or failed connections, without progress in
// between, after which a backend server is suspect.
constexpr uint8_t kProgressTimeoutsToSuspect = 2;
constexpr uint8_t kConnectFailuresToSuspect = 2;
// Time in which the weight of the last estimate of other nodes' requests decays
// to 1/e.
constexpr double kPeerBusyDecayMicros = 50'000;
// Time in which the average of other nodes' requests decays to 1/e when no load
// header arrives.
constexpr double kMeanDecayMicros = 120'000;
// Weights in long-run averages: of a load report, of the sample taken in each
// balance interval and of a load header.
constexpr double kReportWeight = 0.1;
constexpr double kIntervalWeight = 0.01;
constexpr double kHeaderWeight = 0.1;
// Time for which a reported work factor is used.
constexpr Duration kWorkFactorValidity{300'000};

}  // namespace

bool Backend::Apply(const BackendUpdate& update) {
  const bool known = id.IsValid();
  if (known && update.incarnation < incarnation) {
    return false;
  }
  const bool same_incarnation = known && update.incarnation == incarnation;
  const bool same_process =
      known && IsProcess({update.incarnation, update.process});
  BackendState next = update.state;
  if (same_incarnation) {
    // The state of an incarnation only advances: live, leaving, gone.
    next = std::max(state, update.state);
  } else {
    if (!same_process) {
      said_leaving_ = false;
      wait_until = {};
      refused_until = {};
      max_rate = kUnlimitedRate;
    }
    if (said_leaving_) {
      next = std::max(next, BackendState::kLeaving);
    }
    served = 0;
    weight = 1;
    suspect = false;
    progress_timeouts_ = 0;
    connect_failures_ = 0;
  }
  const bool changed = !same_incarnation || next != state ||
                       service != update.service || domain != update.domain ||
                       slots != static_cast<uint32_t>(update.slots.value);
  key = update.key;
  process = update.process;
  suspended = update.suspended;
  // Answers report the cold time too, so the later end applies.
  cold_until = same_process ? std::max(cold_until, update.cold_until)
                            : update.cold_until;
  cold_rate = update.cold_rate;
  has_health_check = update.has_health_check;
  verify_until = update.verify_until;
  id = update.backend;
  service = update.service;
  domain = update.domain;
  slots = static_cast<uint32_t>(std::max(1, update.slots.value));
  incarnation = update.incarnation;
  state = next;
  return changed;
}

void Backend::MarkLeaving() {
  state = std::max(state, BackendState::kLeaving);
}

void Backend::OnStatement(TimePoint now, const BackendStatement& statement) {
  if (statement.remaining_cold_time) {
    cold_until = std::max(cold_until, now + *statement.remaining_cold_time);
  }
  if (statement.max_rate) {
    max_rate = *statement.max_rate;
  }
  if (statement.wait) {
    wait_until = std::max(wait_until, now + *statement.wait);
  }
  if (statement.leaving) {
    said_leaving_ = true;
    MarkLeaving();
  }
}

BackendCheck::State Backend::CheckAt(TimePoint now, bool uncertain) const {
  if (!has_health_check) {
    return BackendCheck::State::kCurrent;
  }
  if (!contact.IsEndedBy(check.sent_at()) && !check.running()) {
    return BackendCheck::State::kDue;
  }
  const bool first = now < verify_until && !check.has_result();
  return uncertain || first || contact.IsLost() ? check.At(now)
                                                : BackendCheck::State::kCurrent;
}

SendHold Backend::HoldAt(TimePoint now, bool uncertain) const {
  if (state != BackendState::kLive) {
    return {HoldReason::kLeaving, TimePoint::max(), TimePoint::max()};
  }
  if (suspended) {
    return {HoldReason::kSuspended, TimePoint::max(), TimePoint::max()};
  }
  SendHold hold{.until = now, .known_until = now};
  const auto extend = [&hold](HoldReason reason, TimePoint until) {
    if (until > hold.until) {
      hold.reason = reason;
      hold.until = until;
    }
  };
  extend(HoldReason::kAskedToWait, wait_until);
  if (now < cold_until) {
    extend(HoldReason::kCold,
           std::min(cold_until, shared_rate.NextColdStart(cold_rate)));
  }
  if (IsLimited()) {
    extend(HoldReason::kLimited, shared_rate.NextLimitedStart(max_rate));
  }
  hold.known_until = hold.until;
  extend(HoldReason::kRefused, refused_until);
  if (CheckAt(now, uncertain) == BackendCheck::State::kFailed) {
    extend(HoldReason::kUnhealthy, TimePoint::max());
  }
  return hold;
}

uint32_t Backend::AllowedSlots(uint32_t warmup_requests, bool pool_warm) const {
  double share = weight;
  if (pool_warm && served < warmup_requests) {
    share = std::min(share, (1.0 + served) / warmup_requests);
  }
  const auto allowed = static_cast<uint32_t>(std::ceil(share * slots));
  return std::clamp(allowed, 1U, slots);
}

void Backend::OnBusyReport(double busy) {
  mean_busy_ += (busy - mean_busy_) * kReportWeight;
}

void Backend::UpdateOwnAverage() {
  mean_own_ += (in_flight - mean_own_) * kIntervalWeight;
}

double Backend::WaitProbability(TimePoint now) const {
  // Requests of other nodes are independent of each other, so their number has
  // a Poisson distribution.
  const double mean =
      std::max(PeerBusySlots(now), std::max(0.0, mean_busy_ - mean_own_));
  double term = std::exp(-mean);
  double free_probability = 0;
  for (uint32_t others = 0; others + in_flight < slots; ++others) {
    free_probability += term;
    term *= mean / (others + 1);
  }
  return std::max(0.0, 1 - free_probability);
}

double Backend::PeerBusySlots(TimePoint now) const {
  const double age = static_cast<double>((now - peer_busy_at_).count());
  return peer_busy_ * std::exp(-age / kPeerBusyDecayMicros);
}

void Backend::SetPeerBusySlots(TimePoint now, double busy) {
  peer_busy_ = std::clamp(busy, 0.0, static_cast<double>(slots));
  peer_busy_at_ = now;
}

double Backend::ExpectedPeerRequests(TimePoint now) const {
  const double age = static_cast<double>((now - peer_busy_at_).count());
  const double weight = std::exp(-age / kPeerBusyDecayMicros);
  // The average decays too. Otherwise a backend server that was full would
  // never receive a request again, and so never report its load again.
  const double mean = mean_peer_busy_ * std::exp(-age / kMeanDecayMicros);
  return mean + (peer_busy_ - mean) * weight;
}

void Backend::OnLoadHeader(TimePoint now,
                           const LoadHeader& load,
                           uint32_t own) {
  peer_busy_ =
      std::max(0.0, static_cast<double>(load.running + load.waiting) - own);
  peer_busy_at_ = now;
  mean_peer_busy_ += (peer_busy_ - mean_peer_busy_) * kHeaderWeight;
  work_factor_ = load.work_factor;
  work_factor_at_ = now;
}

double Backend::WorkFactor(TimePoint now) const {
  return now - work_factor_at_ < kWorkFactorValidity ? work_factor_ : 1;
}

void Backend::OnProgress(TimePoint now) {
  last_progress_ = now;
  progress_timeouts_ = 0;
  connect_failures_ = 0;
  suspect = false;
}

bool Backend::OnProgressTimeout(TimePoint attempt_start) {
  if (last_progress_ > attempt_start) {
    return false;
  }
  return ++progress_timeouts_ >= kProgressTimeoutsToSuspect;
}

bool Backend::OnConnectFailed() {
  return ++connect_failures_ >= kConnectFailuresToSuspect;
}

void Backend::MarkSuspect(TimePoint now, Duration trial_interval) {
  suspect = true;
  trial_wait = trial_interval;
  next_trial = now + trial_interval;
  next_probe = now;
}

}  // namespace comfreystand::steer
