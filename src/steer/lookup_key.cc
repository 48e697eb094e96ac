#include "src/steer/lookup_key.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>
#include <string>

namespace comfreystand::steer {
namespace {

constexpr std::array<uint8_t, 12> kMappedPrefix = {0, 0, 0, 0, 0,    0,
                                                   0, 0, 0, 0, 0xff, 0xff};
// Lowest bit of a unit: set for IPv4, so that units of the two families differ.
constexpr uint64_t kIpv4UnitBit = 1;

uint64_t ReadBigEndian(const uint8_t* bytes, size_t count) {
  uint64_t value = 0;
  for (size_t i = 0; i < count; ++i) {
    value = value << 8 | bytes[i];
  }
  return value;
}

}  // namespace

bool IsIpv4(const ClientAddress& address) {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(),
                    address.bytes.begin());
}

uint32_t Ipv4Key(const ClientAddress& address) {
  return static_cast<uint32_t>(
      ReadBigEndian(address.bytes.data() + kMappedPrefix.size(), 4));
}

uint64_t Ipv6Key(const ClientAddress& address) {
  return ReadBigEndian(address.bytes.data(), 8);
}

uint64_t ClientUnit(const ClientAddress& address) {
  if (IsIpv4(address)) {
    const uint64_t prefix = Ipv4Key(address) >> (32 - limits::kUnitBitsIpv4);
    return prefix << 1 | kIpv4UnitBit;
  }
  return (Ipv6Key(address) >> (64 - limits::kUnitBitsIpv6)) << 1;
}

std::optional<ClientAddress> ParseClientAddress(std::string_view text) {
  const std::string copy(text);
  if (copy.size() != std::strlen(copy.c_str())) {
    return std::nullopt;
  }
  ClientAddress address;
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), address.bytes.begin());
  if (inet_pton(AF_INET, copy.c_str(),
                address.bytes.data() + kMappedPrefix.size()) == 1) {
    return address;
  }
  if (inet_pton(AF_INET6, copy.c_str(), address.bytes.data()) == 1) {
    return address;
  }
  return std::nullopt;
}

}  // namespace comfreystand::steer
