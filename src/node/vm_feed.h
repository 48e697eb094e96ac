#ifndef COMFREYSTAND_SRC_NODE_VM_FEED_H_
#define COMFREYSTAND_SRC_NODE_VM_FEED_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/peer.h"
#include "comfreystand/platform.h"

namespace comfreystand::node {

// Keeps the VM list of this node up to date. The top-ranked member of a failure
// domain fetches the list from the platform, and the others fetch it from that
// member, or from the platform when that member does not answer. A node without
// a list also tries other members when the platform does not answer.
class VmFeed {
 public:
  using Listener = std::function<void(const std::vector<platform::VmEntry>&)>;

  // `listener` is called whenever the list has changed.
  VmFeed(platform::VmList* list, peer::Transport* transport, Listener listener);

  // Requests the list once. `ranked` has the peer addresses of the live members
  // of the failure domain in order of rank, with an empty string for this node.
  // `others` has further addresses to try while this node has no list.
  void Poll(const std::vector<std::string>& ranked,
            const std::vector<std::string>& others);

  // Answers the request of a peer: the hash of the list, and the list itself
  // when the peer has another one.
  void Handle(const wire::Envelope& request, wire::Envelope* reply) const;

  bool HasList() const { return hash_ != 0; }

 private:
  void FetchFromPlatform(const std::vector<std::string>& fallback);
  void FetchFromPeer(const std::string& address);
  void SetList(const std::vector<platform::VmEntry>& vms, std::string encoded);

  platform::VmList* list_;
  peer::Transport* transport_;
  Listener listener_;
  std::string encoded_list_;
  // Hash of encoded_list_; 0 while there is no list.
  uint64_t hash_ = 0;
  // Consecutive polls that the top-ranked member did not answer.
  int unanswered_polls_ = 0;
  size_t next_fallback_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_VM_FEED_H_
