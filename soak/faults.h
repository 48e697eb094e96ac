#ifndef SOAK_FAULTS_H_
#define SOAK_FAULTS_H_

#include <string>

#include "soak/cluster.h"

namespace comfreystand::soak {

// Injects a random fault or operator action, chosen by the cluster's seed.
// Faults with a duration end by themselves. Returns the name of the fault.
std::string InjectRandomFault(Cluster* cluster);

// Clears all faults of links, of the store and of the backend servers.
void ClearFaults(Cluster* cluster);

}  // namespace comfreystand::soak

#endif  // SOAK_FAULTS_H_
