#ifndef COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_
#define COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_

#include <cstdint>

#include "comfreystand/acceptance.h"

namespace comfreystand::testing {

// What one fleet spends on control, per node where not said otherwise.
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
  // Slowest node after an acceptance with the store lost right after it.
  double in_force_seconds = 0;
  double document_bytes = 0;
  // Until the last node knows of a leaving backend server.
  double leaving_seconds = 0;
};

// Runs a fleet in virtual time and measures it.
FleetCosts MeasureFleet(int domains, int nodes_per_domain, uint64_t seed);

// Slowest spread over several seeds in a small fleet, seconds.
double MeasureInForce(int domains, int nodes_per_domain, int seeds);

struct HoursOutcome {
  int hours = 0;
  // Hours with neither a value nor a reason.
  int missing = 0;
  // Hours whose value is off without a stated reason.
  int unexplained = 0;
};

// Kills, replacements and a store outage of two hours.
HoursOutcome MeasureHours(uint64_t seed);

// What an operator waits for, by order of the writes of a change.
struct AcceptCosts {
  int accepted = 0;
  int unresolved = 0;
  double mean_wait_ms = 0;
  double writes_on_wait = 0;
  double writes_in_all = 0;
  // Trail entries of changes that were never accepted.
  int false_entries = 0;
};

enum class AcceptWeather : uint8_t { kCalm, kLostAnswers, kOutages };

AcceptCosts MeasureAcceptance(platform::AuditOrder order,
                              AcceptWeather weather,
                              uint64_t seed);

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FLEET_MEASURE_H_
