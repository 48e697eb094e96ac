#ifndef COMFREYSTAND_SRC_EDGE_CHUNKED_FRAMING_H_
#define COMFREYSTAND_SRC_EDGE_CHUNKED_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace comfreystand::edge {

// Checks the framing of a chunked body: lengths, line ends and trailers. The
// HTTP parser does not report every malformed length on every platform.
class ChunkedFraming {
 public:
  // Checks the next bytes of the body, up to its end. Returns false when they
  // are malformed.
  bool Check(std::string_view bytes);
  // The whole body has been checked.
  bool complete() const { return state_ == State::kComplete; }

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

  State OnLength(char c);
  State OnExtension(char c);
  State OnLengthEnd(char c);
  State OnData(char c);
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
