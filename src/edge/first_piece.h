#ifndef COMFREYSTAND_SRC_EDGE_FIRST_PIECE_H_
#define COMFREYSTAND_SRC_EDGE_FIRST_PIECE_H_

#include <event2/buffer.h>

#include <cstddef>
#include <string_view>

namespace comfreystand::edge {

// Bytes of a body in small chunks that are passed on together.
constexpr size_t kMaxJoinedBytes = size_t{16} << 10;

// The first contiguous piece of a buffer.
inline std::string_view FirstPiece(evbuffer* input) {
  evbuffer_iovec piece;
  evbuffer_peek(input, -1, nullptr, &piece, 1);
  return {static_cast<const char*>(piece.iov_base), piece.iov_len};
}

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_FIRST_PIECE_H_
