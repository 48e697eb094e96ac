#ifndef COMFREYSTAND_SRC_EDGE_PARSE_PIECE_H_
#define COMFREYSTAND_SRC_EDGE_PARSE_PIECE_H_

#include <event2/buffer.h>
#include <evhtp/parser.h>

#include <algorithm>
#include <cstddef>

namespace comfreystand::edge {

// Size of the first contiguous piece of a buffer and how much of it was
// parsed, in bytes.
struct ParsedPiece {
  size_t size = 0;
  size_t parsed = 0;
};

// Runs the parser on the first contiguous piece of `input` without removing it
// from the buffer.
inline ParsedPiece ParseFirstPiece(htparser* parser,
                                   const htparse_hooks& hooks,
                                   evbuffer* input) {
  evbuffer_iovec piece;
  evbuffer_peek(input, -1, nullptr, &piece, 1);
  const size_t parsed =
      htparser_run(parser, const_cast<htparse_hooks*>(&hooks),
                   static_cast<const char*>(piece.iov_base), piece.iov_len);
  return {piece.iov_len, std::min(parsed, piece.iov_len)};
}

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_PARSE_PIECE_H_
