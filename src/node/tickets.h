#ifndef COMFREYSTAND_SRC_NODE_TICKETS_H_
#define COMFREYSTAND_SRC_NODE_TICKETS_H_

#include <memory>
#include <string>
#include <string_view>

#include "comfreystand/edge.h"
#include "comfreystand/steer/ticket.h"

namespace comfreystand::node {

// Joins the listener's view of tickets to the authority that decides.
class Tickets final : public edge::TicketAuthority {
 public:
  // The key of the incarnation is drawn from the system's secure source.
  Tickets(NodeId node, Incarnation incarnation);

  std::string Issue(TimePoint now) override;
  edge::TicketVerdict Redeem(TimePoint now, std::string_view ticket) override;

  steer::TicketStats Stats() const { return authority_->Stats(); }

 private:
  std::unique_ptr<steer::TicketAuthority> authority_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_TICKETS_H_
