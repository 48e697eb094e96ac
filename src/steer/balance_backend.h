#ifndef COMFREYSTAND_SRC_STEER_BALANCE_BACKEND_H_
#define COMFREYSTAND_SRC_STEER_BALANCE_BACKEND_H_

#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"
#include "src/steer/balance_slowness.h"
#include "src/steer/cold_gate.h"

namespace comfreystand::steer {

// Weight of a backend server that gets trial requests only.
constexpr double kEjectedWeight = 0.05;

// What one node knows of one backend server.
struct Backend {
  // Takes in an update of the driver. Returns true when something changed that
  // the pool's order depends on.
  bool Apply(const BackendUpdate& update);

  // The backend server said itself that it is leaving.
  void MarkLeaving();

  bool IsEjected() const { return weight <= kEjectedWeight; }

  // Slots that the node may fill at `now`, by weight and warmth.
  uint32_t Allowance(uint32_t warm_after, bool siblings_warm) const;

  // A load report of any age: only its average counts.
  void OnBusyReport(double busy);
  // Called at a fixed interval; averages the node's own use.
  void AverageOwn();

  // Chance that work of other nodes leaves no slot for one request more.
  double ChanceOfWait(TimePoint now) const;

  // Estimate of slots that other nodes fill; fades with its age.
  double ForeignBusy(TimePoint now) const;
  void SetForeignBusy(TimePoint now, double busy);

  // Requests of other nodes there, as far as its last load header and their
  // long-run average tell.
  double ExpectedForeign(TimePoint now) const;

  // Takes in what it said of its load, after `own` of this node's requests.
  void OnLoadHeader(TimePoint now, const LoadHeader& load, uint32_t own);

  // How long work takes on its machine now; 1 is as usual.
  double WorkFactor(TimePoint now) const;

  // Records that something came from the backend server.
  void OnProgress(TimePoint now);

  // A connection went silent. Returns true when the silence is the backend
  // server's and not only the connection's.
  bool OnSilent(TimePoint attempt_start);

  // No connection could be made. Returns true when the backend server counts
  // as unreachable from now on.
  bool OnConnectFailed();

  void Suspect(TimePoint now, Duration trial_interval);

  BackendId id;
  ServiceId service;
  DomainId domain;
  uint32_t slots = 1;
  BackendState state = BackendState::kGone;
  Incarnation incarnation;

  uint64_t key = 0;
  bool suspended = false;
  TimePoint cold_until;
  double cold_rate = 0;
  // This node is the one that sends to it while it is cold.
  bool owns_cold = true;
  ColdGate cold_gate;

  uint32_t in_flight = 0;
  uint32_t long_in_flight = 0;
  // Requests answered since it was first seen.
  uint32_t served = 0;

  SlownessEstimate slowness;
  double weight = 1;
  // Neither answers nor accepts; only trials and probes go there.
  bool suspect = false;
  TimePoint next_trial;
  Duration trial_wait{0};
  TimePoint next_probe;
  // Refused work for want of slots; gets none until then.
  TimePoint refused_until;

 private:
  TimePoint last_progress_;
  uint8_t silent_strikes_ = 0;
  uint8_t connect_failures_ = 0;
  double foreign_busy_ = 0;
  TimePoint foreign_at_;
  // Long-run averages of busy slots as reported and of own requests.
  double mean_busy_ = 0;
  double mean_own_ = 0;
  // Average of other nodes' requests by load headers.
  double mean_foreign_ = 0;
  double work_factor_ = 1;
  TimePoint work_factor_at_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_BACKEND_H_
