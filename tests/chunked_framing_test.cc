#include "src/edge/chunked_framing.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

namespace comfreystand::edge {
namespace {

// Checks `bytes` in pieces of `size`. Returns "complete", "malformed" or
// "more".
std::string CheckInPieces(std::string_view bytes, size_t size) {
  ChunkedFraming framing;
  for (size_t at = 0; at < bytes.size(); at += size) {
    if (!framing.Check(bytes.substr(at, size))) {
      return "malformed";
    }
  }
  return framing.complete() ? "complete" : "more";
}

TEST_CASE("the framing of a chunked body") {
  struct Case {
    std::string bytes;
    const char* result;
  };
  const Case cases[] = {
      {"0\r\n\r\n", "complete"},
      {"3\r\nabc\r\n0\r\n\r\n", "complete"},
      {"A\r\n0123456789\r\nf\r\n0123456789abcde\r\n000\r\n\r\n", "complete"},
      {"3;name=\"x\"\r\nabc\r\n0 ; a\r\n\r\n", "complete"},
      {"0\r\nA: 1\r\nB: 2\r\n\r\n", "complete"},
      {"0\r\n\r\nGET / HTTP/1.1\r\n", "complete"},
      {"2\r\n\r\n\r\n0\r\n\r\n", "complete"},
      {"", "more"},
      {"3\r\nab", "more"},
      {"3\r\nabc\r\n", "more"},
      {"0\r\nA: 1\r\n", "more"},
      {"zz\r\n\r\n", "malformed"},
      {"3z\r\nabc\r\n", "malformed"},
      {"-1\r\n", "malformed"},
      {"+1\r\n", "malformed"},
      {"0x1\r\n", "malformed"},
      {"\r\n", "malformed"},
      {" 1\r\n", "malformed"},
      {";a\r\n", "malformed"},
      {"3\nabc\r\n", "malformed"},
      {"3;a\nabc\r\n", "malformed"},
      {"3\rabc", "malformed"},
      {"3\r\nabcd\r\n", "malformed"},
      {"3\r\nabc\n0\r\n\r\n", "malformed"},
      {"3\r\nabc\r0", "malformed"},
      {"0\r\n\rx", "malformed"},
      {"0\r\nA: 1\rB", "malformed"},
      {"1234567890abcdef\r\n", "malformed"},
      {"\xff\r\n", "malformed"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.bytes);
    for (size_t size = 1; size <= c.bytes.size() + 1; ++size) {
      CHECK(CheckInPieces(c.bytes, size) == c.result);
    }
  }
}

}  // namespace
}  // namespace comfreystand::edge
