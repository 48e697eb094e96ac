#ifndef COMFREYSTAND_SRC_GATEWAY_LOSS_REPORTS_H_
#define COMFREYSTAND_SRC_GATEWAY_LOSS_REPORTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreystand/base.h"

namespace comfreystand::gateway {

// Hash of a backend server's name, as in steer::BackendUpdate::key. Nodes may
// know different processes of it.
using BackendKey = uint64_t;

// A node's datagram about backend servers that it has lost contact with.
struct LossReport {
  // Hash of the node's name.
  uint64_t sender = 0;
  std::vector<BackendKey> backends;
};

// Encodes a report in as few datagrams as it needs.
std::vector<std::string> EncodeLossReport(const LossReport& report);
// Returns nothing when the datagram is malformed.
std::optional<LossReport> DecodeLossReport(std::string_view bytes);

// Decides which losses of this node the others are told of. A loss is reported
// at once, one that follows it soon a moment later, and none when enough nodes
// have just reported the same backend server. Plain decision code: time is an
// argument.
class LossReports {
 public:
  // This node lost contact with a backend server.
  void OnLost(BackendKey backend, TimePoint now);
  // Another node has reported it.
  void OnReported(BackendKey backend, uint64_t node, TimePoint now);
  // Backend servers to report now.
  std::vector<BackendKey> TakeDue(TimePoint now);
  // Time of the next TakeDue(); TimePoint::max() when nothing is pending.
  TimePoint NextAt() const;

 private:
  struct Record {
    // When the next or last own report is or was due.
    TimePoint due_at = TimePoint::min();
    std::set<uint64_t> others;
    TimePoint others_at = TimePoint::min();
  };
  struct Pending {
    BackendKey backend = 0;
    TimePoint due_at;
  };

  void DropOld(TimePoint now);

  std::unordered_map<BackendKey, Record> records_;
  std::vector<Pending> pending_;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_LOSS_REPORTS_H_
