#ifndef STANDINS_FREE_ADDRESS_H_
#define STANDINS_FREE_ADDRESS_H_

#include <string>

namespace comfreystand::standins {

// A loopback host of this process alone, where nobody else takes a port that
// was free a moment ago.
std::string OwnHost();

// "host:port" with a port from the kernel that nobody listens on.
std::string FreeAddress(const std::string& host = "127.0.0.1");

}  // namespace comfreystand::standins

#endif  // STANDINS_FREE_ADDRESS_H_
