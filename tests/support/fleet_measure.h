#ifndef COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_
#define COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_

#include <cstdint>

#include "comfreystand/acceptance.h"

namespace comfreystand::testing {

// Cost of the control plane of one fleet, per node unless noted otherwise. The
// rates count traffic that is sent and received.
struct FleetCosts {
  int nodes = 0;
  double bytes_per_second = 0;
  double messages_per_second = 0;
  double calls_per_second = 0;
  // CPU time of the thread that runs the node objects, the fakes and the
  // serialization, in percent of virtual time.
  double cpu_percent = 0;
  double heap_mb = 0;
  // Of the whole fleet.
  double store_calls_per_second = 0;
  // Time from the acceptance of a change, right after which the store goes
  // down, until the last node has the change in force.
  double rule_propagation_seconds = 0;
  double document_bytes = 0;
  // Time until the last node reports a leaving backend server as such.
  double leave_propagation_seconds = 0;
};

// Runs a fleet in virtual time and measures the cost of its control plane.
FleetCosts MeasureFleet(int domains, int nodes_per_domain, uint64_t seed);

// Maximum of FleetCosts::rule_propagation_seconds over several seeds.
double MeasureRulePropagation(int domains, int nodes_per_domain, int seeds);

// Result of MeasureHours().
struct HoursOutcome {
  // Number of hours in the ledger.
  int hours = 0;
  // Hours without a value and without a reason.
  int missing = 0;
  // Hours with a wrong value and without a reason.
  int unexplained = 0;
};

// Runs a fleet in which nodes are killed and replaced and the store is down for
// two hours, and checks the hours of its ledger.
HoursOutcome MeasureHours(uint64_t seed);

// Results of MeasureAcceptance().
struct AcceptCosts {
  int accepted = 0;
  int unresolved = 0;
  // Mean time until the reply to a proposal.
  double mean_wait_ms = 0;
  // Mean number of store writes per proposal, until its reply and in total.
  double writes_before_reply = 0;
  double writes_per_change = 0;
  // Trail entries of changes that were never accepted.
  int unaccepted_entries = 0;
};

// Faults injected into the store during MeasureAcceptance().
enum class StoreFaultKind : uint8_t { kNone, kLostReplies, kOutages };

// Proposes changes one after the other. `order` is the order in which the
// document and the trail entry of a change are written.
AcceptCosts MeasureAcceptance(platform::AuditOrder order,
                              StoreFaultKind fault_kind,
                              uint64_t seed);

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_
