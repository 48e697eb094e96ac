#include "src/edge/chunked_framing.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

namespace comfreystand::edge {
namespace {

struct Result {
  // "complete", "malformed" or "more".
  const char* end;
  std::string content;
  // Bytes read.
  size_t size = 0;
};

// Reads `bytes` in pieces of `size`.
Result ReadInPieces(std::string_view bytes, size_t size) {
  ChunkedFraming framing;
  Result result{.end = "more", .content = {}};
  while (result.size < bytes.size() && !framing.complete()) {
    const BodyPiece piece = framing.Read(bytes.substr(result.size, size));
    if (framing.malformed()) {
      result.end = "malformed";
      return result;
    }
    result.content += piece.content;
    result.size += piece.size;
  }
  result.end = framing.complete() ? "complete" : "more";
  return result;
}

TEST_CASE("the framing of a chunked body") {
  struct Case {
    std::string bytes;
    const char* end;
    std::string content;
  };
  const Case cases[] = {
      {"0\r\n\r\n", "complete", ""},
      {"3\r\nabc\r\n0\r\n\r\n", "complete", "abc"},
      {"A\r\n0123456789\r\nf\r\n0123456789abcde\r\n000\r\n\r\n", "complete",
       "01234567890123456789abcde"},
      {"3;name=\"x\"\r\nabc\r\n0 ; a\r\n\r\n", "complete", "abc"},
      {"0\r\nA: 1\r\nB: 2\r\n\r\n", "complete", ""},
      {"0\r\n\r\nGET / HTTP/1.1\r\n", "complete", ""},
      {"2\r\n\r\n\r\n0\r\n\r\n", "complete", "\r\n"},
      {"", "more", ""},
      {"3\r\nab", "more", "ab"},
      {"3\r\nabc\r\n", "more", "abc"},
      {"0\r\nA: 1\r\n", "more", ""},
      {"zz\r\n\r\n", "malformed", {}},
      {"3z\r\nabc\r\n", "malformed", {}},
      {"-1\r\n", "malformed", {}},
      {"+1\r\n", "malformed", {}},
      {"0x1\r\n", "malformed", {}},
      {"\r\n", "malformed", {}},
      {" 1\r\n", "malformed", {}},
      {";a\r\n", "malformed", {}},
      {"3\nabc\r\n", "malformed", {}},
      {"3;a\nabc\r\n", "malformed", {}},
      {"3\rabc", "malformed", {}},
      {"3\r\nabcd\r\n", "malformed", {}},
      {"3\r\nabc\n0\r\n\r\n", "malformed", {}},
      {"3\r\nabc\r0", "malformed", {}},
      {"0\r\n\rx", "malformed", {}},
      {"0\r\nA: 1\rB", "malformed", {}},
      {"1234567890abcdef\r\n", "malformed", {}},
      {"\xff\r\n", "malformed", {}},
  };
  for (const Case& c : cases) {
    CAPTURE(c.bytes);
    for (size_t size = 1; size <= c.bytes.size() + 1; ++size) {
      const Result result = ReadInPieces(c.bytes, size);
      CHECK(std::string(result.end) == c.end);
      if (std::string(c.end) != "malformed") {
        CHECK(result.content == c.content);
      }
      if (std::string(c.end) == "complete") {
        // Stops at the end of the body.
        CHECK(result.size == c.bytes.find("\r\n\r\n", c.bytes.rfind('0')) + 4);
      }
    }
  }
}

}  // namespace
}  // namespace comfreystand::edge
