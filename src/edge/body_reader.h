#ifndef COMFREYSTAND_SRC_EDGE_BODY_READER_H_
#define COMFREYSTAND_SRC_EDGE_BODY_READER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "comfreystand/relay_protocol.h"
#include "src/edge/chunked_framing.h"

namespace comfreystand::edge {

// Where the body of a message ends (RFC 9112, section 6.3).
enum class BodyEnd : uint8_t {
  // After its declared length, which may be zero.
  kLength,
  // After the last chunk and the trailers.
  kChunks,
  // With the connection.
  kClose,
};

// What the headers of a message declare about its body.
struct DeclaredBody {
  // Value of Content-Length; negative when there is none.
  int64_t length = -1;
  bool chunked = false;
};

// Reads Content-Length and Transfer-Encoding. Returns false when they are
// invalid or ambiguous (request smuggling).
bool ReadDeclaredBody(const std::vector<HeaderField>& headers,
                      DeclaredBody* body);

// Delimits the body of one message. The HTTP parser reads heads only, so that
// one place decides where a body ends.
class BodyReader {
 public:
  // Starts the next body. `length` is used with BodyEnd::kLength.
  void Start(BodyEnd end, int64_t length);

  // Reads from `bytes` up to the end of the next piece of content, or of the
  // body.
  BodyPiece Read(std::string_view bytes);
  // Like Read(), but joins consecutive pieces in `space` as long as they fit,
  // so that a small chunk is not passed on alone.
  BodyPiece ReadJoined(std::string_view bytes, std::span<char> space);

  BodyEnd end() const { return end_; }
  // Bytes since the last content that only delimit the body.
  size_t framing_bytes() const { return framing_bytes_; }
  bool complete() const;
  // All content has been read; trailers may follow.
  bool content_complete() const;
  bool malformed() const {
    return end_ == BodyEnd::kChunks && framing_.malformed();
  }

 private:
  BodyEnd end_ = BodyEnd::kLength;
  uint64_t remaining_ = 0;
  size_t framing_bytes_ = 0;
  ChunkedFraming framing_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_BODY_READER_H_
