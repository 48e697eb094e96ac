#ifndef COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_
#define COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_

#include <cstdint>

#include "comfreystand/acceptance.h"

namespace comfreystand::testing {

// Cost of control in one fleet, per node unless noted otherwise.
struct FleetCosts {
  int nodes = 0;
  double bytes_per_second = 0;
  double messages_per_second = 0;
  double calls_per_second = 0;
  // Thread CPU time of the node objects, the fakes and the serialization.
  double cpu_percent = 0;
  double heap_mb = 0;
  // Of the whole fleet.
  double store_calls_per_second = 0;
  // Time from the acceptance of a change, right after which the store goes
  // down, until the last node has the change in force.
  double rule_propagation_seconds = 0;
  double document_bytes = 0;
  // Time until the last node knows of a leaving backend server.
  double leave_propagation_seconds = 0;
};

// Runs a fleet in virtual time and measures it.
FleetCosts MeasureFleet(int domains, int nodes_per_domain, uint64_t seed);

// Maximum of FleetCosts::rule_propagation_seconds over several seeds.
double MeasureRulePropagation(int domains, int nodes_per_domain, int seeds);

struct HoursOutcome {
  int hours = 0;
  // Hours without a value and without a reason.
  int missing = 0;
  // Hours with a wrong value and without a reason.
  int unexplained = 0;
};

// Runs a fleet through kills, replacements and a store outage of two hours, and
// checks the hours of its ledger.
HoursOutcome MeasureHours(uint64_t seed);

// Cost of the acceptance of changes.
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

// Faults of the store during MeasureAcceptance().
enum class StoreCondition : uint8_t { kFaultFree, kLostReplies, kOutages };

// Proposes changes one after the other with the given order of writes.
AcceptCosts MeasureAcceptance(platform::AuditOrder order,
                              StoreCondition condition,
                              uint64_t seed);

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_
