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

// Counts this node's answers into the hour ledger, and reads the hours of all
// failure domains when somebody looks at them.
class HoursFeed final : public hours::LedgerPeers {
 public:
  HoursFeed(const NodeSettings& settings,
            Loop* loop,
            const Clock* clock,
            platform::KeyValueStore* store,
            peer::Transport* transport,
            const member::Membership* membership);

  void Start() { ledger_.Start(); }

  // Adds what the listener has counted since the last call.
  void Update(const edge::Stats& stats);

  void Handle(const wire::Envelope& request, wire::Envelope* reply) {
    ledger_.Handle(request, reply);
  }

  // Hands the ledger over before this life ends.
  void Finish();
  bool IsFinished() const { return finished_; }

  // Hours of the last days, oldest first. Starts a new reading when the last
  // one is old; its result shows up in a later call.
  std::vector<HourStatus> Strip(const RuleSet& rules);

  const hours::LedgerStats& stats() const { return ledger_.GetStats(); }

  // hours::LedgerPeers:
  std::vector<std::string> RankedAddresses() const override;
  int OwnRank() const override;
  Incarnation OwnIncarnation() const override;

 private:
  void Read(const RuleSet& rules);

  Loop* loop_;
  const Clock* clock_;
  platform::KeyValueStore* store_;
  const member::Membership* membership_;
  const std::string own_address_;
  const hours::RegionKey region_;
  hours::HourLedger ledger_;
  std::unique_ptr<hours::HourReader> reader_;
  uint64_t answered_ = 0;
  uint64_t failed_ = 0;
  bool finishing_ = false;
  bool finished_ = false;
  TimePoint last_read_{};
  std::vector<HourStatus> strip_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_HOURS_FEED_H_
