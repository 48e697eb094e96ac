#ifndef COMFREYSTAND_SRC_NODE_BACKEND_DIRECTORY_H_
#define COMFREYSTAND_SRC_NODE_BACKEND_DIRECTORY_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/edge.h"
#include "comfreystand/platform.h"
#include "comfreystand/rules.h"
#include "comfreystand/steer/dispatch.h"
#include "src/node/names.h"

namespace comfreystand::node {

// The backend servers seen since the process started. Assigns a stable handle
// to each, and derives its state for the dispatcher and the listener from the
// VM list, the rules and leave reports.
class BackendDirectory {
 public:
  // Whether a backend server is known to be leaving, by name and address.
  using LeavingQuery =
      std::function<bool(std::string_view name, std::string_view address)>;

  struct Entry {
    platform::VmEntry vm;
    steer::BackendState state = steer::BackendState::kRemoved;
    Incarnation incarnation{1};
    // Whether the dispatcher has received an update for this entry.
    bool registered = false;
    // Whether the rules drain this backend server.
    bool drained = false;
  };

  BackendDirectory(steer::Dispatcher* dispatcher, LeavingQuery is_leaving);

  // Replaces the VM list; `vms` is the complete list.
  void SetVms(const std::vector<platform::VmEntry>& vms);

  // Brings the dispatcher up to date with the VM list, leave reports and
  // `rules`, whose handles are stable. Returns whether the set of addresses
  // changed.
  bool Update(TimePoint now, const RuleSet& rules, const StableNames& names);

  // Addresses of the backend servers that are registered and not gone.
  std::vector<edge::BackendAddress> Addresses() const;

  const std::vector<Entry>& entries() const { return entries_; }

 private:
  // Finds an entry by name and address.
  Entry& FindOrAdd(const platform::VmEntry& vm);
  steer::BackendState DesiredState(const Entry& entry) const;

  steer::Dispatcher* dispatcher_;
  LeavingQuery is_leaving_;
  // Indexed by BackendId.
  std::vector<Entry> entries_;
  // Whether the current VM list has the entry; indexed by BackendId.
  std::vector<bool> listed_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_BACKEND_DIRECTORY_H_
