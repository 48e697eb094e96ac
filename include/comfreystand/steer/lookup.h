#ifndef COMFREYSTAND_STEER_LOOKUP_H_
#define COMFREYSTAND_STEER_LOOKUP_H_

#include <array>
#include <cstdint>
#include <span>

#include "comfreystand/base.h"

// Answers "which entry VMs should this client use": client blocks to sites.
namespace comfreystand::steer {

// An IPv4 address mapped into IPv6, or an IPv6 address, in network order.
struct ClientAddress {
  std::array<uint8_t, 16> bytes{};
};

// Most sites that one answer lists.
constexpr size_t kMaxAnswerSites = 4;

struct LookupAnswer {
  // Ordered sites, best first; `count` of them are set.
  std::array<SiteId, kMaxAnswerSites> sites{};
  uint8_t count = 0;
  // How long the caller may reuse the answer.
  Duration ttl{0};

  std::span<const SiteId> Sites() const { return {sites.data(), count}; }
};

// What the listener asks for each look-up.
class LookupSource {
 public:
  virtual ~LookupSource() = default;
  virtual LookupAnswer Answer(const ClientAddress& client, TimePoint now) = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_H_
