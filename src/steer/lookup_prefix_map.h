#ifndef COMFREYSTAND_STEER_LOOKUP_PREFIX_MAP_H_
#define COMFREYSTAND_STEER_LOOKUP_PREFIX_MAP_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace comfreystand::steer {

// Longest-prefix match over keys of one width. Prefixes are appended in order
// of start and length; columns are kept apart so that a search touches only
// the starts. A sample of every 64th start narrows the search to one window.
template <typename Key>
class PrefixMap {
 public:
  static constexpr uint32_t kNone = std::numeric_limits<uint32_t>::max();
  static constexpr int kKeyBits = std::numeric_limits<Key>::digits;
  static constexpr size_t kSampleEvery = 64;

  size_t Size() const { return starts_.size(); }
  Key Start(size_t index) const { return starts_[index]; }
  uint8_t Bits(size_t index) const { return bits_[index]; }
  uint16_t Value(size_t index) const { return values_[index]; }

  void Reserve(size_t count) {
    starts_.reserve(count);
    bits_.reserve(count);
    values_.reserve(count);
    parents_.reserve(count);
    samples_.reserve(count / kSampleEvery + 1);
  }

  // Appends a prefix that sorts after all earlier ones.
  void Append(Key start, uint8_t bits, uint16_t value) {
    uint32_t parent = Size() == 0 ? kNone : static_cast<uint32_t>(Size() - 1);
    parent = Enclosing(parent, start);
    if (Size() % kSampleEvery == 0) {
      samples_.push_back(start);
    }
    starts_.push_back(start);
    bits_.push_back(bits);
    values_.push_back(value);
    parents_.push_back(parent);
  }

  // Index of the longest prefix that holds `key`, or kNone.
  uint32_t Find(Key key) const {
    const size_t sample = CountUpTo(samples_.data(), samples_.size(), key);
    if (sample == 0) {
      return kNone;
    }
    const size_t first = (sample - 1) * kSampleEvery;
    const size_t length =
        Size() - first < kSampleEvery ? Size() - first : kSampleEvery;
    const size_t count = CountUpTo(starts_.data() + first, length, key);
    return Enclosing(static_cast<uint32_t>(first + count - 1), key);
  }

  size_t MemoryUse() const {
    return starts_.capacity() * sizeof(Key) + bits_.capacity() +
           values_.capacity() * sizeof(uint16_t) +
           parents_.capacity() * sizeof(uint32_t) +
           samples_.capacity() * sizeof(Key);
  }

  void ShrinkToFit() {
    starts_.shrink_to_fit();
    bits_.shrink_to_fit();
    values_.shrink_to_fit();
    parents_.shrink_to_fit();
    samples_.shrink_to_fit();
  }

 private:
  // How many of the ascending `keys` are not greater than `key`.
  static size_t CountUpTo(const Key* keys, size_t count, Key key) {
    const Key* base = keys;
    while (count > 1) {
      const size_t half = count / 2;
      base += base[half - 1] <= key ? half : 0;
      count -= half;
    }
    return static_cast<size_t>(base - keys) +
           (count == 1 && *base <= key ? 1 : 0);
  }

  bool Holds(uint32_t index, Key key) const {
    const uint8_t bits = bits_[index];
    return bits == 0 || ((starts_[index] ^ key) >> (kKeyBits - bits)) == 0;
  }

  // The first of `index` and its ancestors that holds `key`.
  uint32_t Enclosing(uint32_t index, Key key) const {
    while (index != kNone && !Holds(index, key)) {
      index = parents_[index];
    }
    return index;
  }

  std::vector<Key> starts_;
  std::vector<uint8_t> bits_;
  std::vector<uint16_t> values_;
  std::vector<uint32_t> parents_;
  std::vector<Key> samples_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_PREFIX_MAP_H_
