#ifndef COMFREYSTAND_SRC_EDGE_PARSE_PIECE_H_
#define COMFREYSTAND_SRC_EDGE_PARSE_PIECE_H_

#include <event2/buffer.h>
#include <evhtp/parser.h>

#include <algorithm>
#include <cstddef>
#include <string_view>

#include "src/edge/chunked_framing.h"

namespace comfreystand::edge {

// The first contiguous piece of a buffer, or the part of it that belongs to the
// head of a message.
inline std::string_view FirstPiece(evbuffer* input, bool in_head) {
  evbuffer_iovec piece;
  evbuffer_peek(input, -1, nullptr, &piece, 1);
  size_t size = piece.iov_len;
  if (in_head) {
    // An empty line ends the head. The body is passed to the parser separately,
    // so that its framing can be checked before.
    for (const std::string_view end : {"\n\r\n", "\n\n"}) {
      const evbuffer_ptr found =
          evbuffer_search(input, end.data(), end.size(), nullptr);
      if (found.pos >= 0) {
        size = std::min(size, static_cast<size_t>(found.pos) + end.size());
      }
    }
  }
  return {static_cast<const char*>(piece.iov_base), size};
}

// Size of a piece and how much of it was parsed, in bytes.
struct ParsedPiece {
  size_t size = 0;
  size_t parsed = 0;
};

// Runs the parser on a piece of its input.
inline ParsedPiece ParsePiece(htparser* parser,
                              const htparse_hooks& hooks,
                              std::string_view piece) {
  const size_t parsed = htparser_run(parser, const_cast<htparse_hooks*>(&hooks),
                                     piece.data(), piece.size());
  return {piece.size(), std::min(parsed, piece.size())};
}

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_PARSE_PIECE_H_
