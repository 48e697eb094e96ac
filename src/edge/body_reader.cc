#include "src/edge/body_reader.h"

#include <algorithm>

namespace comfreystand::edge {

bool ReadDeclaredBody(const std::vector<HeaderField>& headers,
                      DeclaredBody* body) {
  bool has_length = false;
  for (const HeaderField& field : headers) {
    if (EqualNames(field.name, "Content-Length")) {
      if (has_length || !ParseInteger(field.value, &body->length) ||
          body->length < 0) {
        return false;
      }
      has_length = true;
    } else if (EqualNames(field.name, "Transfer-Encoding")) {
      // Names of transfer codings are case-insensitive.
      if (body->chunked || !EqualNames(field.value, "chunked")) {
        return false;
      }
      body->chunked = true;
    }
  }
  return !(has_length && body->chunked);
}

void BodyReader::Start(BodyEnd end, int64_t length) {
  end_ = end;
  remaining_ = static_cast<uint64_t>(std::max<int64_t>(0, length));
  framing_bytes_ = 0;
  framing_ = {};
}

BodyPiece BodyReader::Read(std::string_view bytes) {
  if (end_ == BodyEnd::kChunks) {
    const BodyPiece piece = framing_.Read(bytes);
    framing_bytes_ = piece.content.empty() ? framing_bytes_ + piece.size : 0;
    return piece;
  }
  if (end_ == BodyEnd::kClose) {
    return {.size = bytes.size(), .content = bytes};
  }
  const size_t size = std::min<uint64_t>(remaining_, bytes.size());
  remaining_ -= size;
  return {.size = size, .content = bytes.substr(0, size)};
}

BodyPiece BodyReader::ReadJoined(std::string_view bytes,
                                 std::span<char> space) {
  BodyPiece joined = Read(bytes);
  if (end_ != BodyEnd::kChunks || joined.content.size() >= space.size()) {
    return joined;
  }
  size_t filled = joined.content.copy(space.data(), space.size());
  while (joined.size < bytes.size() && filled < space.size() && !complete() &&
         !malformed()) {
    // A piece of content is not longer than the bytes that it is read from.
    const BodyPiece piece =
        Read(bytes.substr(joined.size, space.size() - filled));
    filled += piece.content.copy(space.data() + filled, piece.content.size());
    joined.size += piece.size;
  }
  joined.content = {space.data(), filled};
  return joined;
}

bool BodyReader::content_complete() const {
  return complete() ||
         (end_ == BodyEnd::kChunks && framing_.content_complete());
}

bool BodyReader::complete() const {
  switch (end_) {
    case BodyEnd::kLength:
      return remaining_ == 0;
    case BodyEnd::kChunks:
      return framing_.complete();
    case BodyEnd::kClose:
      return false;
  }
  return false;
}

}  // namespace comfreystand::edge
