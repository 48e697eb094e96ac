#ifndef SOAK_FAULTS_H_
#define SOAK_FAULTS_H_

#include <string>

#include "soak/world.h"

namespace comfreystand::soak {

// Does one fault that the world's seed chooses, or a planned change; it ends
// by itself. Returns what it was.
std::string DoAnyFault(World* world);

// Ends all faults of links and of the store.
void EndFaults(World* world);

}  // namespace comfreystand::soak

#endif  // SOAK_FAULTS_H_
