#ifndef COMFREYSTAND_SRC_NODE_ADMIN_BACKEND_H_
#define COMFREYSTAND_SRC_NODE_ADMIN_BACKEND_H_

#include <optional>
#include <string>

#include "comfreystand/acceptance.h"
#include "comfreystand/admin.h"
#include "comfreystand/member.h"
#include "comfreystand/settings.h"
#include "comfreystand/steer/change.h"
#include "comfreystand/steer/dispatch.h"
#include "src/node/backend_directory.h"
#include "src/node/hours_feed.h"
#include "src/node/names.h"

namespace comfreystand::node {

// What the administration API shows and changes of a node.
struct NodeParts {
  const NodeSettings* settings = nullptr;
  const Clock* clock = nullptr;
  Loop* loop = nullptr;
  platform::Acceptance* acceptance = nullptr;
  member::Membership* membership = nullptr;
  member::RuleReplicator* spread = nullptr;
  const steer::Dispatcher* dispatcher = nullptr;
  const BackendDirectory* backends = nullptr;
  HoursFeed* hours = nullptr;
  const RuleSet* rules = nullptr;
  const StableNames* names = nullptr;
};

class NodeAdmin final : public admin::AdminBackend {
 public:
  explicit NodeAdmin(const NodeParts& parts) : parts_(parts) {}

  // The gate of the change under way, or null.
  void SetGate(const steer::ChangeGate* gate) { gate_ = gate; }

  std::optional<RuleDocument> ActiveRules() override;
  void Propose(const platform::ChangeOrigin& origin,
               std::string text,
               platform::AcceptCallback done) override;
  void ApplyChangeAction(admin::ChangeAction action,
                         const platform::ChangeOrigin& origin,
                         platform::AcceptCallback done) override;
  void ReadHistory(RuleVersion from,
                   size_t count,
                   platform::HistoryCallback done) override;
  StatusSnapshot Status() override;

 private:
  platform::ChangeOrigin Complete(const platform::ChangeOrigin& origin) const;
  platform::AcceptCallback Spreading(platform::AcceptCallback done);
  void AddEntryVms(StatusSnapshot* snapshot) const;
  void AddBackends(StatusSnapshot* snapshot) const;
  void AddRegions(StatusSnapshot* snapshot) const;
  void AddChange(StatusSnapshot* snapshot) const;

  const NodeParts parts_;
  const steer::ChangeGate* gate_ = nullptr;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_ADMIN_BACKEND_H_
