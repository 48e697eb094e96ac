#ifndef COMFREYSTAND_SRC_NODE_TICKET_ADAPTER_H_
#define COMFREYSTAND_SRC_NODE_TICKET_ADAPTER_H_

#include <memory>
#include <string>
#include <string_view>

#include "comfreystand/edge.h"
#include "comfreystand/steer/ticket.h"

namespace comfreystand::node {

// Implements the listener's ticket interface on top of steer::TicketAuthority.
class TicketAdapter final : public edge::TicketAuthority {
 public:
  // Generates the key of this incarnation with OpenSSL's random generator.
  TicketAdapter(NodeId node, Incarnation incarnation);

  std::string Issue(TimePoint now) override;
  edge::TicketVerdict Redeem(TimePoint now, std::string_view ticket) override;

  steer::TicketStats Stats() const { return authority_->Stats(); }

 private:
  std::unique_ptr<steer::TicketAuthority> authority_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_TICKET_ADAPTER_H_
