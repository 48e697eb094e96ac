#ifndef STANDINS_STORE_VALUES_H_
#define STANDINS_STORE_VALUES_H_

#include <string>

#include "comfreystand/traffic.h"

// Encodes values of the platform's store as written by operators and backend
// servers.
namespace comfreystand::standins {

std::string EncodeConfig(const TrafficConfig& config);

// `sequence` increases with each write of one backend server.
std::string EncodeBackend(const BackendEntry& entry, int sequence);

}  // namespace comfreystand::standins

#endif  // STANDINS_STORE_VALUES_H_
