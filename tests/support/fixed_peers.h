#ifndef COMFREYSTAND_TESTS_SUPPORT_FIXED_PEERS_H_
#define COMFREYSTAND_TESTS_SUPPORT_FIXED_PEERS_H_

#include <utility>
#include <vector>

#include "platform/store_reader.h"

namespace comfreystand::testing {

// Nodes that don't change.
class FixedPeers final : public platform::PeerSource {
 public:
  explicit FixedPeers(std::vector<platform::StoreReader*> readers)
      : readers_(std::move(readers)) {}
  void Refresh() override {}
  size_t size() const override { return readers_.size(); }
  platform::StoreReader* At(size_t index) override { return readers_[index]; }

 private:
  const std::vector<platform::StoreReader*> readers_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FIXED_PEERS_H_
