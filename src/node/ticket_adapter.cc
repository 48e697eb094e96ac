#include "src/node/ticket_adapter.h"

#include <openssl/rand.h>

#include <array>

namespace comfreystand::node {
namespace {

// Indexed by steer::TicketOutcome. It is no longer known whether an expired
// ticket was used, so it counts as used.
constexpr std::array<edge::TicketVerdict, 5> kVerdicts = {
    edge::TicketVerdict::kAccepted, edge::TicketVerdict::kAlreadyUsed,
    edge::TicketVerdict::kOtherIssuer, edge::TicketVerdict::kAlreadyUsed,
    edge::TicketVerdict::kMalformed};

steer::TicketInit MakeTicketInit(NodeId node, Incarnation incarnation) {
  steer::TicketInit init;
  init.node = node;
  init.incarnation = incarnation;
  RAND_bytes(init.key.data(), static_cast<int>(init.key.size()));
  return init;
}

}  // namespace

TicketAdapter::TicketAdapter(NodeId node, Incarnation incarnation)
    : authority_(
          steer::CreateTicketAuthority(MakeTicketInit(node, incarnation))) {}

std::string TicketAdapter::Issue(TimePoint now) {
  return authority_->Issue(now);
}

edge::TicketVerdict TicketAdapter::Redeem(TimePoint now,
                                          std::string_view ticket) {
  return kVerdicts[static_cast<size_t>(
      authority_->Redeem(now, ticket).outcome)];
}

}  // namespace comfreystand::node
