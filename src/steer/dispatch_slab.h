#ifndef COMFREYSTAND_SRC_STEER_DISPATCH_SLAB_H_
#define COMFREYSTAND_SRC_STEER_DISPATCH_SLAB_H_

#include <cstdint>
#include <deque>
#include <vector>

namespace comfreystand::steer {

// Allocates objects and identifies them by 64-bit handles that combine a
// generation and an index. The handle of a destroyed object never resolves to
// the object that reuses its entry. Objects don't move; memory is allocated
// only when the slab grows.
template <typename T, typename HandleType>
class Slab {
 public:
  HandleType Create() {
    if (free_.empty()) {
      free_.push_back(static_cast<uint32_t>(entries_.size()));
      entries_.emplace_back();
      free_.reserve(entries_.size());
    }
    const uint32_t index = free_.back();
    free_.pop_back();
    Entry& entry = entries_[index];
    entry.live = true;
    entry.value = T();
    ++size_;
    return HandleType((uint64_t{entry.generation} << 32) | index);
  }

  // Returns null when the object was destroyed or never existed.
  T* Find(HandleType handle) {
    const auto index = static_cast<uint32_t>(handle.value);
    const auto generation = static_cast<uint32_t>(handle.value >> 32);
    if (index >= entries_.size()) {
      return nullptr;
    }
    Entry& entry = entries_[index];
    return entry.live && entry.generation == generation ? &entry.value
                                                        : nullptr;
  }

  const T* Find(HandleType handle) const {
    return const_cast<Slab*>(this)->Find(handle);
  }

  void Destroy(HandleType handle) {
    if (Find(handle) == nullptr) {
      return;
    }
    const auto index = static_cast<uint32_t>(handle.value);
    entries_[index].live = false;
    ++entries_[index].generation;
    free_.push_back(index);
    --size_;
  }

  // Calls `visit` with the handle and the address of every live object.
  template <typename Visitor>
  void ForEach(Visitor visit) {
    for (size_t i = 0; i < entries_.size(); ++i) {
      Entry& entry = entries_[i];
      if (entry.live) {
        visit(HandleType((uint64_t{entry.generation} << 32) | i), &entry.value);
      }
    }
  }

  uint32_t size() const { return size_; }

 private:
  struct Entry {
    T value;
    uint32_t generation = 1;
    bool live = false;
  };

  std::deque<Entry> entries_;
  std::vector<uint32_t> free_;
  uint32_t size_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_DISPATCH_SLAB_H_
