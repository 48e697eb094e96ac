#include "src/node/tickets.h"

#include <openssl/rand.h>

#include <array>

namespace comfreystand::node {
namespace {

// Indexed by steer::TicketOutcome. The use of an expired ticket is forgotten,
// so that it counts as used.
constexpr std::array<edge::TicketVerdict, 5> kVerdicts = {
    edge::TicketVerdict::kAccepted, edge::TicketVerdict::kAlreadyUsed,
    edge::TicketVerdict::kUnknownIssuer, edge::TicketVerdict::kAlreadyUsed,
    edge::TicketVerdict::kMalformed};

steer::TicketInit InitOf(NodeId node, Incarnation incarnation) {
  steer::TicketInit init;
  init.node = node;
  init.incarnation = incarnation;
  RAND_bytes(init.key.data(), static_cast<int>(init.key.size()));
  return init;
}

}  // namespace

Tickets::Tickets(NodeId node, Incarnation incarnation)
    : authority_(steer::CreateTicketAuthority(InitOf(node, incarnation))) {}

std::string Tickets::Issue(TimePoint now) {
  return authority_->Issue(now);
}

edge::TicketVerdict Tickets::Redeem(TimePoint now, std::string_view ticket) {
  return kVerdicts[static_cast<size_t>(
      authority_->Redeem(now, ticket).outcome)];
}

}  // namespace comfreystand::node
