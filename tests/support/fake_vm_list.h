#ifndef COMFREYSTAND_TESTS_SUPPORT_FAKE_VM_LIST_H_
#define COMFREYSTAND_TESTS_SUPPORT_FAKE_VM_LIST_H_

#include <memory>
#include <utility>
#include <vector>

#include "comfreystand/platform.h"
#include "tests/support/virtual_loop.h"

namespace comfreystand::testing {

// The platform's VM list, in which each change becomes visible after a lag.
class FakeVmList {
 public:
  explicit FakeVmList(VirtualLoop& loop) : loop_(loop) {}

  Duration lag = std::chrono::seconds(10);
  bool down = false;

  // Replaces the list; readers see the new one once the lag has passed.
  void Set(std::vector<platform::VmEntry> vms) {
    versions_.emplace_back(loop_.Now(), std::move(vms));
  }

  std::unique_ptr<platform::VmList> Client(NodeLoop& node) {
    return std::make_unique<ListClient>(*this, node);
  }

 private:
  class ListClient final : public platform::VmList {
   public:
    ListClient(FakeVmList& list, NodeLoop& node) : list_(list), node_(node) {}
    void Fetch(platform::VmListCallback done) override {
      node_.PostDelayed(std::chrono::milliseconds(3),
                        [this, done = std::move(done)] { list_.Reply(done); });
    }

   private:
    FakeVmList& list_;
    NodeLoop& node_;
  };

  void Reply(const platform::VmListCallback& done) const {
    if (down) {
      done(platform::StoreStatus::kUnavailable, {});
      return;
    }
    std::vector<platform::VmEntry> visible;
    for (const auto& [when, vms] : versions_) {
      if (when + lag <= loop_.Now() || when == TimePoint{}) {
        visible = vms;
      }
    }
    done(platform::StoreStatus::kOk, visible);
  }

  VirtualLoop& loop_;
  std::vector<std::pair<TimePoint, std::vector<platform::VmEntry>>> versions_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FAKE_VM_LIST_H_
