#include "src/node/addresses.h"

namespace comfreystand::node {
namespace {

const std::string& AdvertisedOrListened(const NumericAddress& advertised,
                                        const NumericAddress& listen) {
  return advertised.IsSet() ? advertised.text : listen.text;
}

}  // namespace

std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':') + 1);
}

std::string WithPort(const std::string& address, const std::string& port) {
  return address.substr(0, address.rfind(':') + 1) + port;
}

const std::string& PeerAddressOf(const NodeSettings& settings) {
  return AdvertisedOrListened(settings.advertised_peer_address,
                              settings.peer_address);
}

const std::string& EdgeAddressOf(const NodeSettings& settings) {
  return AdvertisedOrListened(settings.advertised_edge_address,
                              settings.edge_address);
}

}  // namespace comfreystand::node
