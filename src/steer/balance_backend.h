#ifndef COMFREYSTAND_SRC_STEER_BALANCE_BACKEND_H_
#define COMFREYSTAND_SRC_STEER_BALANCE_BACKEND_H_

#include <cstdint>
#include <optional>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"
#include "src/steer/backend_check.h"
#include "src/steer/balance_slowness.h"
#include "src/steer/process_contact.h"
#include "src/steer/shared_rate.h"

namespace comfreystand::steer {

// Weight at or below which a backend server counts as ejected and receives
// trial requests only.
constexpr double kEjectedWeight = 0.05;

// Whether and until when a node sends no request to a backend server.
struct SendHold {
  HoldReason reason = HoldReason::kNone;
  // TimePoint::max() when no time ends it.
  TimePoint until{};
  // The part of `until` that is known; the rest is estimated.
  TimePoint known_until{};

  bool IsActive(TimePoint now) const { return until > now; }
};

// The process that a request or a probe was sent to.
struct ProcessRef {
  Incarnation incarnation;
  // As in BackendUpdate.
  uint64_t process = 0;
};

// What a backend server says of its process, in any answer.
struct BackendStatement {
  bool leaving = false;
  // As in AttemptReport.
  std::optional<Duration> wait;
  std::optional<Duration> remaining_cold_time;
  std::optional<double> max_rate;
};

// State of one backend server as seen by one node.
struct Backend {
  // Applies an update from the driver. Returns true when the pool has to be
  // rebuilt because of it.
  bool Apply(const BackendUpdate& update);

  // Excludes the backend server from requests until its next incarnation.
  void MarkLeaving();
  // Records what the process said of itself, which also binds its later
  // incarnations.
  void OnStatement(TimePoint now, const BackendStatement& statement);

  ProcessRef Process() const { return {incarnation, process}; }
  // Whether `other` runs as this backend server now. Its registration may have
  // lapsed and come back meanwhile.
  bool IsProcess(const ProcessRef& other) const {
    return other.incarnation == incarnation ||
           (process != 0 && other.process == process);
  }

  // State of the probe that a request needs, or kCurrent when it needs none.
  // `uncertain`: the states of all backend servers may have changed unnoticed.
  BackendCheck::State CheckAt(TimePoint now, bool uncertain) const;
  // Whether this node may send a request now, and if not, why and until when.
  SendHold HoldAt(TimePoint now, bool uncertain) const;

  bool IsLimited() const { return max_rate < kUnlimitedRate; }
  bool IsEjected() const { return weight <= kEjectedWeight; }

  // Slots that the node may use, limited by weight and slow start. Slow start
  // applies while `served` is below `warmup_requests` and `pool_warm` is set.
  uint32_t AllowedSlots(uint32_t warmup_requests, bool pool_warm) const;

  // Adds the busy slots of a load report to their long-run average. The age of
  // the report doesn't matter for that.
  void OnBusyReport(double busy);
  // Updates the long-run average of this node's requests; called at a fixed
  // interval.
  void UpdateOwnAverage();

  // Probability that requests of other nodes leave no slot for another request.
  double WaitProbability(TimePoint now) const;

  // Estimated number of slots used by other nodes. The estimate decays with its
  // age.
  double PeerBusySlots(TimePoint now) const;
  void SetPeerBusySlots(TimePoint now, double busy);

  // Estimated number of requests of other nodes at the backend server, from its
  // last load header and the long-run average of all of them.
  double ExpectedPeerRequests(TimePoint now) const;

  // Records a load header. `own` is the number of this node's requests that
  // the reported load includes.
  void OnLoadHeader(TimePoint now, const LoadHeader& load, uint32_t own);

  // Current duration of work on its machine over the usual duration.
  double WorkFactor(TimePoint now) const;

  // Records that a connection ended unexpectedly or could not be made.
  void OnConnectionLost(TimePoint now) { contact.OnLost(now); }
  // Records that it has answered the last probe.
  void OnProbeAnswered() { contact.OnProbeAnswered(check.sent_at()); }

  // Records that data arrived from the backend server.
  void OnProgress(TimePoint now);

  // Records that the connection of an attempt started at `attempt_start`
  // reached its progress timeout. Returns true when the whole backend server
  // counts as unresponsive.
  bool OnProgressTimeout(TimePoint attempt_start);

  // Records a failed connection. Returns true when the backend server counts as
  // unreachable.
  bool OnConnectFailed();

  // Excludes the backend server from regular requests until it makes progress
  // again.
  void MarkSuspect(TimePoint now, Duration trial_interval);

  BackendId id;
  ServiceId service;
  DomainId domain;
  uint32_t slots = 1;
  BackendState state = BackendState::kRemoved;
  Incarnation incarnation;

  uint64_t key = 0;
  uint64_t process = 0;
  bool suspended = false;
  TimePoint cold_until;
  double cold_rate = 0;
  // Requests per second that it takes from all nodes together, as it last said.
  double max_rate = kUnlimitedRate;
  SharedRate shared_rate;
  bool has_health_check = false;
  TimePoint verify_until;
  // Used while its state is uncertain or contact with it is lost.
  BackendCheck check;
  ProcessContact contact;
  // Process that the probe in flight was sent to.
  std::optional<ProcessRef> probed;

  uint32_t in_flight = 0;
  uint32_t long_in_flight = 0;
  // Number of requests answered by this incarnation.
  uint32_t served = 0;

  SlownessEstimate slowness;
  double weight = 1;
  // Unresponsive or unreachable; receives only trial requests and probes.
  bool suspect = false;
  TimePoint next_trial;
  Duration trial_wait{0};
  TimePoint next_probe;
  // Receives no requests until then, because it refused one for lack of slots.
  TimePoint refused_until;
  // Receives neither requests nor probes until then, because it said so.
  TimePoint wait_until;

 private:
  // This process announced that it is leaving.
  bool said_leaving_ = false;
  TimePoint last_progress_;
  uint8_t progress_timeouts_ = 0;
  uint8_t connect_failures_ = 0;
  double peer_busy_ = 0;
  TimePoint peer_busy_at_;
  // Long-run averages of reported busy slots and of this node's requests.
  double mean_busy_ = 0;
  double mean_own_ = 0;
  // Long-run average of other nodes' requests according to load headers.
  double mean_peer_busy_ = 0;
  double work_factor_ = 1;
  TimePoint work_factor_at_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_BACKEND_H_
