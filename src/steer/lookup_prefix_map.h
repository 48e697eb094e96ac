#ifndef COMFREYSTAND_STEER_LOOKUP_PREFIX_MAP_H_
#define COMFREYSTAND_STEER_LOOKUP_PREFIX_MAP_H_

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "src/steer/lookup_huge_page.h"

namespace comfreystand::steer {

// Longest-prefix match over keys of one width. Prefixes are appended in order
// of start and length. The key range is divided into buckets of equal size,
// which limit the binary search to a few neighbouring entries.
template <typename Key>
class PrefixMap {
 public:
  static constexpr uint32_t kNone = std::numeric_limits<uint32_t>::max();
  static constexpr int kKeyBits = std::numeric_limits<Key>::digits;
  static constexpr int kMaxIndexBits = kKeyBits == 32 ? 18 : 17;

  size_t Size() const { return entries_.size(); }
  Key Start(size_t index) const { return entries_[index].start; }
  uint8_t Bits(size_t index) const { return entries_[index].bits; }
  uint16_t Value(size_t index) const { return entries_[index].value; }

  // Allocates space for up to `count` prefixes that start in [first, last].
  void Reserve(size_t count, Key first, Key last) {
    entries_.reserve(count);
    first_key_ = first;
    const int index_bits =
        std::min(kMaxIndexBits, static_cast<int>(std::bit_width(count)));
    const auto width =
        static_cast<int>(std::bit_width(static_cast<Key>(last - first)));
    bucket_shift_ = std::max(0, width - index_bits);
    buckets_.assign(size_t{1} << index_bits, 0);
  }

  // Appends a prefix that sorts after all earlier ones.
  void Append(Key start, uint8_t bits, uint16_t value) {
    const auto index = static_cast<uint32_t>(Size());
    for (const size_t bucket = Bucket(start); next_bucket_ <= bucket;
         ++next_bucket_) {
      buckets_[next_bucket_] = index;
    }
    const uint32_t parent =
        index == 0 ? kNone : FindEnclosing(index - 1, start);
    entries_.push_back({start, parent, value, bits});
  }

  // Returns the index of the longest prefix that contains `key`, or kNone.
  uint32_t Find(Key key) const {
    if (entries_.empty() || key < first_key_) {
      return kNone;
    }
    const size_t bucket = Bucket(key);
    const size_t begin = bucket < next_bucket_ ? buckets_[bucket] : Size();
    const size_t end =
        bucket + 1 < next_bucket_ ? buckets_[bucket + 1] : Size();
    const size_t count = begin + CountStartingUpTo(begin, end - begin, key);
    return count == 0 ? kNone
                      : FindEnclosing(static_cast<uint32_t>(count - 1), key);
  }

  size_t MemoryUse() const {
    return HugePageAllocator<Entry>::AllocationBytes(entries_.capacity()) +
           buckets_.capacity() * sizeof(uint32_t);
  }

 private:
  static constexpr size_t kCacheLineBytes = 64;
  static constexpr size_t kPrefetchEntries = 32;

  struct Entry {
    Key start = 0;
    // Index of the longest shorter prefix that contains this one, or kNone.
    uint32_t parent = kNone;
    uint16_t value = 0;
    uint8_t bits = 0;
  };

  size_t Bucket(Key key) const {
    const auto bucket = static_cast<size_t>(
        static_cast<Key>(key - first_key_) >> bucket_shift_);
    return std::min(bucket, buckets_.size() - 1);
  }

  // Prefetches a range of entries, so that the search doesn't wait for one
  // cache line after the other.
  static void Prefetch(const Entry* first, size_t count) {
    for (size_t i = 0; i < count; i += kCacheLineBytes / sizeof(Entry)) {
      __builtin_prefetch(first + i);
    }
  }

  // Returns how many of the `count` entries from `begin` start at or before
  // `key`.
  size_t CountStartingUpTo(size_t begin, size_t count, Key key) const {
    const Entry* const first = entries_.data() + begin;
    Prefetch(first, std::min(count, kPrefetchEntries));
    const Entry* base = first;
    while (count > 1) {
      const size_t half = count / 2;
      base += base[half - 1].start <= key ? half : 0;
      count -= half;
    }
    return static_cast<size_t>(base - first) +
           (count == 1 && base->start <= key ? 1 : 0);
  }

  static bool Contains(const Entry& entry, Key key) {
    return entry.bits == 0 ||
           ((entry.start ^ key) >> (kKeyBits - entry.bits)) == 0;
  }

  // Returns the first of `index` and its ancestors that contains `key`.
  uint32_t FindEnclosing(uint32_t index, Key key) const {
    while (index != kNone && !Contains(entries_[index], key)) {
      index = entries_[index].parent;
    }
    return index;
  }

  std::vector<Entry, HugePageAllocator<Entry>> entries_;
  Key first_key_ = 0;
  int bucket_shift_ = 0;
  // Index of the first prefix at or after the start of each bucket. Buckets
  // from next_bucket_ on are not set yet: no prefix starts in or after them.
  std::vector<uint32_t> buckets_;
  size_t next_bucket_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_PREFIX_MAP_H_
