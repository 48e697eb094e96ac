#ifndef COMFREYSTAND_STEER_TICKET_H_
#define COMFREYSTAND_STEER_TICKET_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "comfreystand/base.h"

// Tickets let a caller retry a non-idempotent request, also through another
// entry VM, without running it twice. The caller first gets a ticket and sends
// it with the request. Only the node incarnation that issued the ticket can
// redeem it, and only once.
namespace comfreystand::steer {

struct TicketInit {
  NodeId node{0};
  // Must differ from all earlier incarnations of the node.
  Incarnation incarnation;
  // Secret MAC key of this incarnation, from a cryptographic random source.
  std::array<uint8_t, 32> key{};
  // Time after issue for which a ticket can be redeemed and its use is stored.
  Duration lifetime{std::chrono::minutes(10)};
};

enum class TicketOutcome : uint8_t {
  // Not used before. The request may be sent.
  kAccepted,
  // Used before. The request may have run and must not be sent.
  kAlreadyUsed,
  // Issued by another node or incarnation. The request may have run and must
  // not be sent from this node.
  kOtherIssuer,
  // Older than its lifetime, and whether it was used is no longer stored. The
  // request may have run.
  kExpired,
  // Not a ticket, or its MAC is wrong. No request ran with it.
  kMalformed,
};

struct Redemption {
  TicketOutcome outcome = TicketOutcome::kMalformed;
  // The issuer according to the ticket. For kOtherIssuer it is not verified.
  NodeId issuer;
  Incarnation issuer_incarnation;
};

struct TicketStats {
  uint64_t issued = 0;
  // Calls of Issue() that returned no ticket.
  uint64_t refused = 0;
  uint64_t accepted = 0;
  uint64_t already_used = 0;
  uint64_t other_issuer = 0;
  uint64_t expired = 0;
  uint64_t malformed = 0;
  uint64_t released = 0;
  // Memory that stores which tickets were used.
  size_t memory_bytes = 0;
};

class TicketAuthority {
 public:
  virtual ~TicketAuthority() = default;

  // Returns a ticket of URL-safe characters, or an empty string when the memory
  // for unexpired tickets is full.
  virtual std::string Issue(TimePoint now) = 0;

  virtual Redemption Redeem(TimePoint now, std::string_view text) = 0;

  // Makes an accepted ticket usable again. Call it only for a request that
  // ended with the verdict not-run. Returns false when the ticket is not marked
  // used.
  virtual bool Release(TimePoint now, std::string_view text) = 0;

  virtual TicketStats Stats() const = 0;
};

std::unique_ptr<TicketAuthority> CreateTicketAuthority(const TicketInit& init);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_TICKET_H_
