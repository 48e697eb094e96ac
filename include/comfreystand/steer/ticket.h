#ifndef COMFREYSTAND_STEER_TICKET_H_
#define COMFREYSTAND_STEER_TICKET_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "comfreystand/base.h"

// Tickets let a caller repeat a non-idempotent request, also through another
// entry VM, without a second run. A caller asks for a ticket first and sends it
// with the request; only the node incarnation that issued it can redeem it, and
// only once.
namespace comfreystand::steer {

struct TicketInit {
  NodeId node{0};
  // Must differ from that of every earlier life of the node.
  Incarnation incarnation;
  // Secret of this incarnation, from a cryptographic source.
  std::array<uint8_t, 32> key{};
  // Time for which a ticket can be redeemed and its use is remembered.
  Duration lifetime{std::chrono::minutes(10)};
};

enum class TicketOutcome : uint8_t {
  // First use; the request may be sent.
  kAccepted,
  // Used before; the request must not be sent and may have run.
  kAlreadyUsed,
  // Issued by another node or an earlier incarnation; the request must not be
  // sent here and may have run.
  kNotOurs,
  // Issued too long ago; its use is forgotten, the request may have run.
  kExpired,
  // Not a ticket, or one whose code is wrong; nothing ran for it.
  kMalformed,
};

struct Redemption {
  TicketOutcome outcome = TicketOutcome::kMalformed;
  // Who issued the ticket. For kNotOurs this is what the ticket claims.
  NodeId issuer;
  Incarnation issuer_incarnation;
};

struct TicketStats {
  uint64_t issued = 0;
  uint64_t refused = 0;
  uint64_t accepted = 0;
  uint64_t already_used = 0;
  uint64_t not_ours = 0;
  uint64_t expired = 0;
  uint64_t malformed = 0;
  uint64_t released = 0;
  // Bytes that remember which tickets were used.
  size_t memory_bytes = 0;
};

class TicketAuthority {
 public:
  virtual ~TicketAuthority() = default;

  // Returns a ticket of URL-safe characters, or nothing when as many tickets
  // as can be remembered are outstanding.
  virtual std::string Issue(TimePoint now) = 0;

  virtual Redemption Redeem(TimePoint now, std::string_view text) = 0;

  // Makes an accepted ticket usable again. Only for requests that ended with
  // the verdict not-run. Returns false for any other ticket.
  virtual bool Release(TimePoint now, std::string_view text) = 0;

  virtual TicketStats Stats() const = 0;
};

std::unique_ptr<TicketAuthority> CreateTicketAuthority(const TicketInit& init);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_TICKET_H_
