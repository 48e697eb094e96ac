#ifndef STANDINS_STORE_VALUES_H_
#define STANDINS_STORE_VALUES_H_

#include <string>

#include "comfreystand/traffic.h"

// Values of the platform's store as operators and backend servers write them.
namespace comfreystand::standins {

std::string EncodeConfig(const TrafficConfig& config);

// `sequence` grows with each write of one backend server.
std::string EncodeBackend(const BackendEntry& entry, int sequence);

}  // namespace comfreystand::standins

#endif  // STANDINS_STORE_VALUES_H_
