#ifndef COMFREYSTAND_SRC_EDGE_CHUNKED_FRAMING_H_
#define COMFREYSTAND_SRC_EDGE_CHUNKED_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace comfreystand::edge {

// A part of a body as received.
struct BodyPiece {
  // Bytes read, with those that only delimit the body.
  size_t size = 0;
  // The last of them, as far as they are content.
  std::string_view content;
};

// Takes the content of a chunked body out of its framing: lengths, extensions,
// line ends and trailers.
class ChunkedFraming {
 public:
  // Reads from `bytes` up to the end of the next piece of content or of the
  // body. Stops at a malformed byte.
  BodyPiece Read(std::string_view bytes);
  // The whole body has been read.
  bool complete() const { return state_ == State::kComplete; }
  bool malformed() const { return state_ == State::kMalformed; }
  // The last chunk has been read, which ends the content; what follows are
  // trailers (RFC 9112, section 8).
  bool content_complete() const {
    return state_ >= State::kTrailerBegin && state_ <= State::kComplete;
  }

 private:
  enum class State : uint8_t {
    kLength,
    kExtension,
    kLengthEnd,
    kData,
    kDataReturn,
    kDataEnd,
    kTrailerBegin,
    kTrailer,
    kTrailerEnd,
    kLastEnd,
    kComplete,
    kMalformed,
  };
  static constexpr size_t kStates = 12;
  using Step = State (ChunkedFraming::*)(char c);

  size_t ReadFraming(std::string_view bytes);
  State OnLength(char c);
  State OnExtension(char c);
  State OnLengthEnd(char c);
  State OnDataReturn(char c);
  State OnDataEnd(char c);
  State OnTrailerBegin(char c);
  State OnTrailer(char c);
  State OnTrailerEnd(char c);
  State OnLastEnd(char c);
  State Stay(char c);

  State state_ = State::kLength;
  uint64_t length_ = 0;
  int digits_ = 0;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_CHUNKED_FRAMING_H_
