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

// The backend servers of this process's life: gives each a handle, and tells
// the dispatcher and the listener what the VM list, the rules and leave
// reports say of it.
class BackendDirectory {
 public:
  // Whether a backend server is known to be leaving, by name and address.
  using LeavingQuery =
      std::function<bool(std::string_view name, std::string_view address)>;

  struct Entry {
    platform::VmEntry vm;
    steer::BackendState state = steer::BackendState::kGone;
    Incarnation incarnation{1};
    // Told to the dispatcher so far.
    bool known = false;
    // The rules drain it.
    bool drained = false;
  };

  BackendDirectory(steer::Dispatcher* dispatcher, LeavingQuery is_leaving);

  // Takes the whole VM list.
  void SetVms(const std::vector<platform::VmEntry>& vms);

  // Brings the dispatcher up to date with the VM list, leave reports and
  // `rules`, whose handles are stable. Returns whether the set of addresses
  // changed.
  bool Update(TimePoint now, const RuleSet& rules, const StableNames& names);

  // Addresses of those that are not gone.
  std::vector<edge::BackendAddress> Addresses() const;

  const std::vector<Entry>& entries() const { return entries_; }

 private:
  Entry& Intern(const platform::VmEntry& vm);
  steer::BackendState Wanted(const Entry& entry) const;

  steer::Dispatcher* dispatcher_;
  LeavingQuery is_leaving_;
  // Indexed by BackendId.
  std::vector<Entry> entries_;
  std::vector<bool> listed_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_BACKEND_DIRECTORY_H_
