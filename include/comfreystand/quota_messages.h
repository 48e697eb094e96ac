#ifndef COMFREYSTAND_QUOTA_MESSAGES_H_
#define COMFREYSTAND_QUOTA_MESSAGES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"

// Messages between nodes about the quotas of organisations, and their times.
namespace comfreystand::quota {

struct OrganisationKeyTag;
struct TicketTag;
// StableHash() of an organisation's name, the same on every node.
using OrganisationKey = Handle<OrganisationKeyTag, uint64_t>;
// A request that waits for a token.
using Ticket = Handle<TicketTag, uint64_t>;
// StableHash() of a node's name.
using NodeHash = uint64_t;

// Time for which tokens may be used, from the sending of the request for them.
constexpr std::chrono::milliseconds kTokenLifetime{500};
// Maximum time that a request waits for a token.
constexpr std::chrono::milliseconds kMaxWait{150};
constexpr std::chrono::milliseconds kRetransmitAfter{50};
// Interval of messages to each owner. An owner's stamp comes back with the next
// message, so that an echo is at most two intervals old while none is lost.
constexpr std::chrono::milliseconds kHeartbeat{400};
// Time for which an owner counts a node that has pledged itself, from the
// owner's own stamp that the node echoes.
constexpr std::chrono::milliseconds kPledgeLifetime{2'000};
// A node pledges itself to another owner this much later, for clock drift.
constexpr std::chrono::milliseconds kPledgeMargin{50};
// A node that has not heard from the owner for this long uses its standby rate.
constexpr std::chrono::milliseconds kStandbyAfter{1'100};
// From the sending of the message whose answer named the rate.
constexpr std::chrono::milliseconds kStandbyLifetime{1'800};
// A node that has not answered for this long is passed over as an owner.
constexpr std::chrono::milliseconds kSuspectAfter{1'500};
// Messages wait this long for others to the same node.
constexpr std::chrono::milliseconds kCoalesceTime{2};
// The largest number of nodes seen in this time divides the rate.
constexpr std::chrono::minutes kFleetMemory{10};
constexpr size_t kMaxDatagramBytes = 1'200;

// Limit of one organisation over all nodes.
struct Limit {
  OrganisationKey organisation;
  PerSecond rate;
  double burst = 0;
  // No request is allowed, because the limit can't be read.
  bool is_blocked = false;
};

// Requests tokens from an owner, returns unused ones and renews the pledge.
struct Ask {
  OrganisationKey organisation;
  uint32_t sequence = 0;
  uint16_t wanted = 0;
  uint16_t returned = 0;
  // Recent requests per 1,000 seconds.
  uint32_t use_milli = 0;
  // The sender has pledged itself to the receiver alone.
  bool pledges = false;
  // The sender has the answer to the previous sequence number.
  bool has_previous = false;
};

struct Answer {
  OrganisationKey organisation;
  // Of the Ask.
  uint32_t sequence = 0;
  uint16_t tokens = 0;
  // Time until tokens are available; zero when none were wanted.
  uint16_t wait_ms = 0;
  // Tokens per 1,000 seconds.
  uint32_t standby_milli = 0;
  // The sender doesn't act as an owner and counts no pledge of the receiver.
  bool declines = false;
};

struct Datagram {
  NodeHash sender = 0;
  // Later runs of the sender compare greater.
  uint64_t incarnation = 0;
  NodeHash receiver = 0;
  // Time of sending by the sender's clock, in microseconds.
  int64_t stamp = 0;
  // Latest stamp of the receiver that the sender has seen, and its incarnation;
  // zero when there is none.
  uint64_t echoed_incarnation = 0;
  int64_t echoed_stamp = 0;
  // Largest number of nodes that the sender has seen, and how long ago.
  uint16_t fleet_size = 0;
  uint16_t fleet_age_s = 0;
  std::vector<Ask> asks;
  std::vector<Answer> answers;
};

// Encodes a datagram of at most kMaxDatagramBytes; what doesn't fit stays in
// `datagram`.
std::string EncodeSome(Datagram* datagram);
// Returns nothing for unknown versions and malformed or oversized input.
std::optional<Datagram> Decode(std::string_view bytes);

}  // namespace comfreystand::quota

#endif  // COMFREYSTAND_QUOTA_MESSAGES_H_
