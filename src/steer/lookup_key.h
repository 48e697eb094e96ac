#ifndef COMFREYSTAND_STEER_LOOKUP_KEY_H_
#define COMFREYSTAND_STEER_LOOKUP_KEY_H_

#include <cstdint>

#include "comfreystand/steer/lookup.h"

namespace comfreystand::steer {

// True for an IPv4 address mapped into IPv6.
bool IsIpv4(const ClientAddress& address);

// The 32 bits of a mapped IPv4 address.
uint32_t Ipv4Key(const ClientAddress& address);

// The upper 64 bits of an IPv6 address.
uint64_t Ipv6Key(const ClientAddress& address);

// Identifies the unit (short prefix) that a client is steered with. Does not
// depend on the block table, so that a new table leaves it as it is.
uint64_t ClientUnit(const ClientAddress& address);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_KEY_H_
