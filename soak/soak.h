#ifndef SOAK_SOAK_H_
#define SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreystand/base.h"

// Soak test: runs gateways as real processes on loopback and injects faults
// from outside: slow, stalled and reset links, signals, store outages, backend
// servers that drain. Checks invariants on what callers and backend servers
// observe.
namespace comfreystand::soak {

struct SoakOptions {
  // Seed of all random faults and requests.
  uint64_t seed = 1;
  // Duration of the phase with faults; recovery is checked afterwards.
  Duration duration = std::chrono::seconds(8);
  // Mean time between two faults.
  Duration mean_fault_interval = std::chrono::milliseconds(400);
  size_t gateways = 3;
  size_t backends = 6;
  size_t callers = 8;
  // Path of the program `comfreystand`.
  std::string program;
  // Existing folder for settings and log files.
  std::string folder;
};

struct SoakResult {
  size_t calls = 0;
  size_t served = 0;
  size_t refused = 0;
  // Injected faults in order, each with the second at which it began.
  std::vector<std::string> faults;
  // Descriptions of the violated invariants; empty when the soak passed.
  std::vector<std::string> violations;
};

SoakResult RunSoak(const SoakOptions& options);

}  // namespace comfreystand::soak

#endif  // SOAK_SOAK_H_
