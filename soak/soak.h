#ifndef SOAK_SOAK_H_
#define SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreystand/base.h"

// Gateways as real processes on loopback, with faults from outside them:
// links that are slow, silent or reset, signals, a store that fails, backend
// servers that leave. What callers and backend servers see is checked.
namespace comfreystand::soak {

struct SoakInit {
  // Chooses all faults and requests.
  uint64_t seed = 1;
  // Time with faults; the checks of recovery follow.
  Duration length = std::chrono::seconds(8);
  // Mean time between two faults.
  Duration pause = std::chrono::milliseconds(400);
  size_t gateways = 3;
  size_t backends = 6;
  size_t callers = 8;
  // Path of the program `comfreystand`.
  std::string program;
  // An existing folder for settings and logs.
  std::string folder;
};

struct SoakResult {
  size_t calls = 0;
  size_t served = 0;
  size_t refused = 0;
  // What was done, in order, with the second it began.
  std::vector<std::string> faults;
  // Each promise that was broken, in words; empty when all were kept.
  std::vector<std::string> broken;
};

SoakResult RunSoak(const SoakInit& init);

}  // namespace comfreystand::soak

#endif  // SOAK_SOAK_H_
