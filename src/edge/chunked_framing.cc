#include "src/edge/chunked_framing.h"

#include <algorithm>
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

bool ChunkedFraming::Check(std::string_view bytes) {
  // Indexed by State.
  static constexpr std::array<Step, kStates> kSteps = {
      &ChunkedFraming::OnLength,       &ChunkedFraming::OnExtension,
      &ChunkedFraming::OnLengthEnd,    &ChunkedFraming::OnData,
      &ChunkedFraming::OnDataReturn,   &ChunkedFraming::OnDataEnd,
      &ChunkedFraming::OnTrailerBegin, &ChunkedFraming::OnTrailer,
      &ChunkedFraming::OnTrailerEnd,   &ChunkedFraming::OnLastEnd,
      &ChunkedFraming::Stay,           &ChunkedFraming::Stay};
  size_t at = 0;
  while (at < bytes.size() && !complete() && state_ != State::kMalformed) {
    if (state_ == State::kData && length_ > 1) {
      const size_t skipped = std::min<uint64_t>(length_ - 1, bytes.size() - at);
      length_ -= skipped;
      at += skipped;
      continue;
    }
    state_ = (this->*kSteps[static_cast<size_t>(state_)])(bytes[at]);
    ++at;
  }
  return state_ != State::kMalformed;
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

// Called for the last byte of a chunk.
ChunkedFraming::State ChunkedFraming::OnData(char) {
  length_ = 0;
  return State::kDataReturn;
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
