#ifndef STANDINS_FREE_ADDRESS_H_
#define STANDINS_FREE_ADDRESS_H_

#include <string>

namespace comfreystand::standins {

// A loopback address (127.x.y.z) derived from the process id, so that no other
// process binds a port found free on it.
std::string ProcessLoopbackHost();

// "host:port" with a free port chosen by the kernel. Another process may bind
// the port before the caller does.
std::string FreeAddress(const std::string& host = "127.0.0.1");

}  // namespace comfreystand::standins

#endif  // STANDINS_FREE_ADDRESS_H_
