#ifndef COMFREYSTAND_SRC_NODE_ADDRESSES_H_
#define COMFREYSTAND_SRC_NODE_ADDRESSES_H_

#include <string>

#include "comfreystand/settings.h"

namespace comfreystand::node {

// The port of "host:port".
std::string PortOf(const std::string& address);

// `address` with its port replaced.
std::string WithPort(const std::string& address, const std::string& port);

// Addresses at which peers and callers reach this node: the advertised address
// when one is set, else the address that the node listens on.
const std::string& PeerAddressOf(const NodeSettings& settings);
const std::string& EdgeAddressOf(const NodeSettings& settings);

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_ADDRESSES_H_
