#ifndef COMFREYSTAND_SRC_MEMBER_LEAVING_SET_H_
#define COMFREYSTAND_SRC_MEMBER_LEAVING_SET_H_

#include <map>
#include <string>
#include <string_view>

#include "comfreystand/member.h"

namespace comfreystand::member {

// The backend servers known to be leaving. Merged by union, so the order of
// messages does not matter.
class LeavingSet {
 public:
  // Returns true when the backend server was added, false when it was already
  // known or the set is full.
  bool Add(const LeavingBackend& backend, TimePoint now);
  bool Contains(std::string_view name, std::string_view address) const;
  // Removes entries older than limits::kLeavingRetention.
  void Expire(WallSeconds now);

  // Hash of the set's entries. Nodes compare it to detect different sets.
  uint64_t Digest() const { return digest_; }
  // Adds to the message the records that the set received at or after `after`.
  void Fill(wire::MemberMessage* message, TimePoint after) const;
  std::vector<LeavingBackend> All() const;

 private:
  struct Entry {
    LeavingBackend backend;
    TimePoint added_at;
  };

  std::map<uint64_t, Entry> entries_;
  uint64_t digest_ = 0;
};

LeavingBackend FromWire(const wire::LeaveRecord& record);

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_LEAVING_SET_H_
