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

// Components of a node that the administration API reads and changes. All
// pointers must outlive the NodeAdminBackend.
struct NodeComponents {
  const NodeSettings* settings = nullptr;
  const Clock* clock = nullptr;
  Loop* loop = nullptr;
  platform::Acceptance* acceptance = nullptr;
  member::Membership* membership = nullptr;
  member::RuleReplicator* replicator = nullptr;
  const steer::Dispatcher* dispatcher = nullptr;
  const BackendDirectory* backends = nullptr;
  HoursFeed* hours = nullptr;
  const RuleSet* rules = nullptr;
  const StableNames* names = nullptr;
};

// Serves the administration API from the components of this node.
class NodeAdminBackend final : public admin::AdminBackend {
 public:
  explicit NodeAdminBackend(const NodeComponents& components)
      : components_(components) {}

  // Sets the gate of the rule change in progress, or null when there is none.
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
  // `origin` with the current time and the highest rule version that this node
  // has seen.
  platform::ChangeOrigin CompleteOrigin(
      const platform::ChangeOrigin& origin) const;
  // A callback that passes an accepted document to the replicator before it
  // runs `done`.
  platform::AcceptCallback ReplicateIfAccepted(platform::AcceptCallback done);
  void AddEntryVms(StatusSnapshot* snapshot) const;
  void AddBackends(StatusSnapshot* snapshot) const;
  void AddRegions(StatusSnapshot* snapshot) const;
  void AddChange(StatusSnapshot* snapshot) const;

  const NodeComponents components_;
  const steer::ChangeGate* gate_ = nullptr;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_ADMIN_BACKEND_H_
