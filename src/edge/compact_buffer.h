#ifndef COMFREYSTAND_SRC_EDGE_COMPACT_BUFFER_H_
#define COMFREYSTAND_SRC_EDGE_COMPACT_BUFFER_H_

#include <event2/buffer.h>

#include <array>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>

namespace comfreystand::edge {

inline void AppendText(evbuffer* buffer, std::string_view text) {
  evbuffer_add(buffer, text.data(), text.size());
}

// Moves all bytes of `from` to the end of `to`. Few bytes are copied into the
// free space of the last chain, since a moved chain takes at least 512 bytes
// however little it contains.
inline void MoveCompact(evbuffer* to, evbuffer* from) {
  constexpr size_t kMaxCopiedBytes = 4'096;
  const size_t size = evbuffer_get_length(from);
  if (size > kMaxCopiedBytes) {
    evbuffer_add_buffer(to, from);
    return;
  }
  std::array<char, kMaxCopiedBytes> bytes;
  evbuffer_remove(from, bytes.data(), size);
  evbuffer_add(to, bytes.data(), size);
}

// The line before a chunk of `size` bytes.
inline std::string ChunkBegin(size_t size) {
  std::array<char, 24> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
  return std::string(digits.data(), end.ptr) + "\r\n";
}

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_COMPACT_BUFFER_H_
