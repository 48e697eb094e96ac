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

// Keeps the VM list of this node. The top-ranked member of a failure domain
// asks the platform; the others ask that member, and the platform or any other
// member when it does not answer.
class VmFeed {
 public:
  using Listener = std::function<void(const std::vector<platform::VmEntry>&)>;

  // `listener` hears of every changed list.
  VmFeed(platform::VmList* list, peer::Transport* transport, Listener listener);

  // Asks once. `ranked` holds the peer addresses of the live members in order
  // of rank, the own one empty; `others` more addresses to try when nobody of
  // them has a list.
  void Poll(const std::vector<std::string>& ranked,
            const std::vector<std::string>& others);

  void Handle(const wire::Envelope& request, wire::Envelope* reply) const;

  bool HasList() const { return hash_ != 0; }

 private:
  void AskPlatform(const std::vector<std::string>& fallback);
  void AskPeer(const std::string& address);
  void Take(const std::vector<platform::VmEntry>& vms, std::string bytes);

  platform::VmList* list_;
  peer::Transport* transport_;
  Listener listener_;
  std::string bytes_;
  uint64_t hash_ = 0;
  // Polls in a row that the top-ranked member left unanswered.
  int unanswered_ = 0;
  size_t next_fallback_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_VM_FEED_H_
