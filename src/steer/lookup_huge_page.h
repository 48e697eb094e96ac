#ifndef COMFREYSTAND_STEER_LOOKUP_HUGE_PAGE_H_
#define COMFREYSTAND_STEER_LOOKUP_HUGE_PAGE_H_

#include <sys/mman.h>

#include <cstddef>
#include <cstdlib>
#include <new>

namespace comfreystand::steer {

// Allocator that requests huge pages for large arrays, so that random reads
// cause fewer TLB misses. Falls back to normal pages when the kernel has none.
template <typename T>
struct HugePageAllocator {
  using value_type = T;

  static constexpr size_t kHugePageBytes = size_t{2} << 20;

  HugePageAllocator() = default;
  template <typename U>
  // NOLINTNEXTLINE(google-explicit-constructor): required of an allocator.
  constexpr HugePageAllocator(const HugePageAllocator<U>& /*other*/) {}

  // Bytes to allocate for `count` elements: large arrays are rounded up to
  // whole huge pages.
  static size_t AllocationBytes(size_t count) {
    const size_t bytes = count * sizeof(T);
    return bytes < kHugePageBytes
               ? bytes
               : (bytes + kHugePageBytes - 1) / kHugePageBytes * kHugePageBytes;
  }

  T* allocate(size_t count) {
    const size_t bytes = AllocationBytes(count);
    const size_t alignment =
        bytes < kHugePageBytes ? alignof(std::max_align_t) : kHugePageBytes;
    const size_t size = (bytes + alignment - 1) / alignment * alignment;
    void* memory = std::aligned_alloc(alignment, size);
    if (memory == nullptr) {
      throw std::bad_alloc();
    }
    if (alignment == kHugePageBytes) {
      madvise(memory, size, MADV_HUGEPAGE);
    }
    return static_cast<T*>(memory);
  }

  void deallocate(T* memory, size_t /*count*/) { std::free(memory); }

  bool operator==(const HugePageAllocator&) const = default;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_HUGE_PAGE_H_
