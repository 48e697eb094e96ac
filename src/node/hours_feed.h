#ifndef COMFREYSTAND_SRC_NODE_HOURS_FEED_H_
#define COMFREYSTAND_SRC_NODE_HOURS_FEED_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/edge.h"
#include "comfreystand/hours.h"
#include "comfreystand/member.h"
#include "comfreystand/rules.h"
#include "comfreystand/settings.h"
#include "comfreystand/status.h"

namespace comfreystand::node {

// Adds this node's answered and failed requests to the hour ledger, and reads
// the hourly availability of all failure domains on demand.
class HoursFeed final : public hours::LedgerPeers {
 public:
  HoursFeed(const NodeSettings& settings,
            Loop* loop,
            const Clock* clock,
            platform::KeyValueStore* store,
            peer::Transport* transport,
            const member::Membership* membership);

  void Start() { ledger_.Start(); }

  // Adds the requests that the listener has counted since the last call.
  void Update(const edge::Stats& stats);

  void Handle(const wire::Envelope& request, wire::Envelope* reply) {
    ledger_.Handle(request, reply);
  }

  // Starts handing the ledger's counts over to a peer or the store, before the
  // process exits.
  void Finish();
  // Whether the handover is complete.
  bool IsFinished() const { return finished_; }

  // Availability of the last 72 hours, oldest first, as of the last completed
  // read. Starts a new read when there is no result yet or the last read began
  // more than a minute ago; a later call returns the new result.
  std::vector<HourStatus> RecentHours(const RuleSet& rules);

  const hours::LedgerStats& stats() const { return ledger_.GetStats(); }

  // hours::LedgerPeers:
  std::vector<std::string> RankedAddresses() const override;
  int OwnRank() const override;
  Incarnation OwnIncarnation() const override;

 private:
  void ReadHours(const RuleSet& rules);

  Loop* loop_;
  const Clock* clock_;
  platform::KeyValueStore* store_;
  const member::Membership* membership_;
  const std::string own_address_;
  const hours::RegionKey region_;
  hours::HourLedger ledger_;
  std::unique_ptr<hours::HourReader> reader_;
  // Requests already added to the ledger.
  uint64_t answered_ = 0;
  uint64_t failed_ = 0;
  bool finishing_ = false;
  bool finished_ = false;
  TimePoint last_read_{};
  std::vector<HourStatus> recent_hours_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_HOURS_FEED_H_
