#include "src/edge/chunked_framing.h"

#include <array>

namespace comfreystand::edge {
namespace {

// Lengths of more hexadecimal digits don't fit in 64 bits.
constexpr int kMaxLengthDigits = 15;
constexpr int kNoDigit = -1;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : kNoDigit;
}

}  // namespace

BodyPiece ChunkedFraming::Read(std::string_view bytes) {
  const size_t skipped = ReadFraming(bytes);
  if (state_ != State::kData) {
    return {.size = skipped, .content = {}};
  }
  const std::string_view content = bytes.substr(skipped, length_);
  length_ -= content.size();
  if (length_ == 0) {
    state_ = State::kDataReturn;
  }
  return {.size = skipped + content.size(), .content = content};
}

// Reads up to the next content or the end of the body. Returns the number of
// bytes read.
size_t ChunkedFraming::ReadFraming(std::string_view bytes) {
  // Indexed by State.
  static constexpr std::array<Step, kStates> kSteps = {
      &ChunkedFraming::OnLength,       &ChunkedFraming::OnExtension,
      &ChunkedFraming::OnLengthEnd,    &ChunkedFraming::Stay,
      &ChunkedFraming::OnDataReturn,   &ChunkedFraming::OnDataEnd,
      &ChunkedFraming::OnTrailerBegin, &ChunkedFraming::OnTrailer,
      &ChunkedFraming::OnTrailerEnd,   &ChunkedFraming::OnLastEnd,
      &ChunkedFraming::Stay,           &ChunkedFraming::Stay};
  size_t at = 0;
  while (at < bytes.size() && state_ != State::kData && !complete() &&
         !malformed()) {
    state_ = (this->*kSteps[static_cast<size_t>(state_)])(bytes[at]);
    ++at;
  }
  return at;
}

ChunkedFraming::State ChunkedFraming::OnLength(char c) {
  const int digit = HexDigit(c);
  if (digit != kNoDigit) {
    length_ = length_ * 16 + static_cast<uint64_t>(digit);
    return ++digits_ <= kMaxLengthDigits ? State::kLength : State::kMalformed;
  }
  if (digits_ == 0) {
    return State::kMalformed;
  }
  const bool extension = c == ';' || c == ' ' || c == '\t';
  return c == '\r'   ? State::kLengthEnd
         : extension ? State::kExtension
                     : State::kMalformed;
}

ChunkedFraming::State ChunkedFraming::OnExtension(char c) {
  return c == '\r'   ? State::kLengthEnd
         : c == '\n' ? State::kMalformed
                     : State::kExtension;
}

ChunkedFraming::State ChunkedFraming::OnLengthEnd(char c) {
  digits_ = 0;
  if (c != '\n') {
    return State::kMalformed;
  }
  return length_ > 0 ? State::kData : State::kTrailerBegin;
}

ChunkedFraming::State ChunkedFraming::OnDataReturn(char c) {
  return c == '\r' ? State::kDataEnd : State::kMalformed;
}

ChunkedFraming::State ChunkedFraming::OnDataEnd(char c) {
  return c == '\n' ? State::kLength : State::kMalformed;
}

ChunkedFraming::State ChunkedFraming::OnTrailerBegin(char c) {
  return c == '\r' ? State::kLastEnd : State::kTrailer;
}

ChunkedFraming::State ChunkedFraming::OnTrailer(char c) {
  return c == '\r' ? State::kTrailerEnd : State::kTrailer;
}

ChunkedFraming::State ChunkedFraming::OnTrailerEnd(char c) {
  return c == '\n' ? State::kTrailerBegin : State::kMalformed;
}

ChunkedFraming::State ChunkedFraming::OnLastEnd(char c) {
  return c == '\n' ? State::kComplete : State::kMalformed;
}

ChunkedFraming::State ChunkedFraming::Stay(char) {
  return state_;
}

}  // namespace comfreystand::edge
