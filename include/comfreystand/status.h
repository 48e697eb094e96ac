#ifndef COMFREYSTAND_STATUS_H_
#define COMFREYSTAND_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfreystand/base.h"

// A node's view of the deployment, for the status page and the administration
// API.
namespace comfreystand {

struct RegionStatus {
  std::string name;
  // Slots of all backend servers, and those in use.
  Slots capacity;
  Slots busy;
  // Share of recent look-ups that were answered with this region.
  Fraction lookup_share;
  bool draining = false;
};

enum class NodeState : uint8_t { kLive, kSuspect, kLeaving, kDown };

struct EntryVmStatus {
  std::string name;
  std::string region;
  std::string domain;
  std::string address;
  NodeState state = NodeState::kLive;
  RuleVersion rules;
  // Time since the last heartbeat.
  Duration heartbeat_age{0};
};

// The backend servers of one service in one failure domain.
struct BackendGroupStatus {
  std::string service;
  std::string domain;
  int total = 0;
  int live = 0;
  int leaving = 0;
  // Ejected because they were slow or unresponsive.
  int ejected = 0;
  Slots slots;
  Slots busy;
};

struct ChangeProgress {
  RuleVersion from;
  RuleVersion to;
  WallSeconds accepted_at;
  // Elapsed share of the ramp.
  Fraction progress;
  // Share of the traffic that the change has moved, and its upper limit.
  Fraction moved;
  Fraction cap;
  // The change has reached its cap and waits until an operator settles it.
  bool at_cap = false;
  bool halted = false;
};

// One hour of the availability display: a value, or the reason why there is
// none.
struct HourStatus {
  WallSeconds start;
  std::optional<Fraction> availability;
  std::string reason;
};

struct StatusSnapshot {
  WallSeconds now;
  std::string cluster;
  std::string node;
  std::string region;
  std::string domain;
  bool ready = false;
  // Why the node is not ready; empty when it is.
  std::string not_ready_reason;
  RuleVersion rules;
  // Time since the version in force was last confirmed.
  Duration rules_age{0};
  // Values read from the rule key that could not be decoded; the last valid
  // document stays in force.
  uint64_t invalid_documents = 0;
  bool store_reachable = false;
  std::vector<RegionStatus> regions;
  std::vector<EntryVmStatus> entry_vms;
  std::vector<BackendGroupStatus> backends;
  std::vector<ChangeProgress> changes;
  // Oldest first.
  std::vector<HourStatus> hours;
};

// "live", "suspect", "leaving" or "down".
std::string_view ToString(NodeState state);

// Renders the status page, an HTML document without external resources.
std::string RenderStatusPage(const StatusSnapshot& snapshot);

}  // namespace comfreystand

#endif  // COMFREYSTAND_STATUS_H_
