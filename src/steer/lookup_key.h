#ifndef COMFREYSTAND_STEER_LOOKUP_KEY_H_
#define COMFREYSTAND_STEER_LOOKUP_KEY_H_

#include <cstdint>

#include "comfreystand/steer/lookup.h"

namespace comfreystand::steer {

// Returns true for an IPv4 address mapped into IPv6.
bool IsIpv4(const ClientAddress& address);

// Returns the 32 bits of a mapped IPv4 address.
uint32_t Ipv4Key(const ClientAddress& address);

// Returns the upper 64 bits of an IPv6 address.
uint64_t Ipv6Key(const ClientAddress& address);

// Returns the identifier of the client's unit: the prefix of kUnitBitsIpv4 or
// kUnitBitsIpv6 bits whose clients are steered together. It doesn't depend on
// the block table, so a new table doesn't change it.
uint64_t ClientUnit(const ClientAddress& address);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_KEY_H_
