#include "src/edge/message_lines.h"

#include <doctest/doctest.h>

#include <string>

#include "src/loop/event_handles.h"

namespace comfreystand::edge {
namespace {

int StatusOf(std::string_view line) {
  StatusLine status_line;
  return ParseStatusLine(line, &status_line) ? status_line.status : 0;
}

// Guards against answers that are no answers of the protocol (MIXED).
TEST_CASE("a status line") {
  SUBCASE("has a status from 100 to 599") {
    CHECK(StatusOf("HTTP/1.1 100 Continue") == 100);
    CHECK(StatusOf("HTTP/1.1 200 OK") == 200);
    CHECK(StatusOf("HTTP/1.1 599 X") == 599);
    for (const char* status : {"000", "0", "20", "099", "600", "999", "1000",
                               "0200", "+20", "-20", "2x0", " 200", ""}) {
      CAPTURE(std::string(status));
      CHECK(StatusOf(std::string("HTTP/1.1 ") + status + " OK") == 0);
    }
  }
  SUBCASE("may have any text as its reason, or none") {
    CHECK(StatusOf("HTTP/1.1 200 ") == 200);
    CHECK(StatusOf("HTTP/1.1 200") == 200);
    CHECK(StatusOf("HTTP/1.1 404 Not\tf\xc3\xbcnd") == 404);
    CHECK(StatusOf("HTTP/1.1 200\tOK") == 0);
    CHECK(StatusOf("HTTP/1.1 200 O\x01K") == 0);
    CHECK(StatusOf("HTTP/1.1 200 O\rK") == 0);
    CHECK(StatusOf("HTTP/1.1 200 \x7f") == 0);
    CHECK(StatusOf(std::string("HTTP/1.1 200 O\0K", 16)) == 0);
  }
  SUBCASE("is of HTTP/1.1 or HTTP/1.0") {
    StatusLine status_line;
    REQUIRE(ParseStatusLine("HTTP/1.0 200 OK", &status_line));
    CHECK_FALSE(status_line.http11);
    REQUIRE(ParseStatusLine("HTTP/1.1 200 OK", &status_line));
    CHECK(status_line.http11);
    for (const char* version :
         {"HTTP/2.0", "HTTP/1.2", "HTTP/1", "HTTP/1.10", "http/1.1", "XTTP/1.1",
          "HTTP/0.9", "HTTP1.1", " HTTP/1.1", "", "HTTP/1.1\t"}) {
      CAPTURE(std::string(version));
      CHECK(StatusOf(std::string(version) + " 200 OK") == 0);
    }
  }
  SUBCASE("is recognised by its first bytes") {
    CHECK(MayBeginStatusLine("H"));
    CHECK(MayBeginStatusLine("HTTP/1."));
    CHECK(MayBeginStatusLine("HTTP/1.1 2"));
    CHECK_FALSE(MayBeginStatusLine("HTTP/2"));
    CHECK_FALSE(MayBeginStatusLine("\r\nHTTP/1.1"));
    CHECK_FALSE(MayBeginStatusLine("x"));
  }
}

TEST_CASE("a header line") {
  HeaderField field;
  SUBCASE("has a name and a value without the space around it") {
    REQUIRE(ParseFieldLine("Name:  a b\t", &field));
    CHECK(field.name == "Name");
    CHECK(field.value == "a b");
    REQUIRE(ParseFieldLine("a:b:c", &field));
    CHECK(field.name == "a");
    CHECK(field.value == "b:c");
  }
  SUBCASE("may have an empty value, or one of another character set") {
    REQUIRE(ParseFieldLine("Name:", &field));
    CHECK(field.value.empty());
    REQUIRE(ParseFieldLine("Name: \xff\x80", &field));
    CHECK(field.value == "\xff\x80");
  }
  SUBCASE("is malformed without a name, or with other bytes in it") {
    for (const char* line :
         {"", "text", ":", ": b", " a: b", "\ta: b", "a : b", "a\t: b",
          "a b: c", "(a): b", "a\x01: b", "\xff: b", "a: \x01", "a: b\rc",
          "a: b\nc", "a: \x7f"}) {
      CAPTURE(std::string(line));
      CHECK_FALSE(ParseFieldLine(line, &field));
    }
    CHECK_FALSE(ParseFieldLine(std::string_view("a\0: b", 5), &field));
    CHECK_FALSE(ParseFieldLine(std::string_view("a: \0", 4), &field));
  }
}

TEST_CASE("a connection is kept") {
  const auto keeps = [](bool http11, const std::string& value) {
    return KeepsAlive(http11, {{"connection", value}});
  };
  CHECK(KeepsAlive(true, {}));
  CHECK_FALSE(KeepsAlive(false, {}));
  CHECK_FALSE(keeps(true, "close"));
  CHECK_FALSE(keeps(true, "X-A , Close"));
  CHECK(keeps(true, "closed"));
  CHECK(keeps(false, "Keep-Alive"));
  CHECK_FALSE(keeps(false, "keep-alive, close"));
}

// Guards against a line that changes with the pieces in which it arrives.
TEST_CASE("lines of a head, however they are split") {
  using Result = LineReader::Result;
  const std::string text = "first\r\n\r\nlast line\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    CAPTURE(step);
    const BufferPtr input = NewBuffer();
    LineReader reader;
    std::string line;
    std::vector<std::string> lines;
    for (size_t at = 0; at < text.size(); at += step) {
      const std::string part = text.substr(at, step);
      evbuffer_add(input.get(), part.data(), part.size());
      while (reader.Next(input.get(), 20, &line) == Result::kLine) {
        lines.push_back(line);
      }
    }
    CHECK(lines == std::vector<std::string>{"first", "", "last line"});
    CHECK(evbuffer_get_length(input.get()) == 0);
  }
  SUBCASE("end with a carriage return") {
    const BufferPtr input = NewBuffer();
    LineReader reader;
    std::string line;
    evbuffer_add_printf(input.get(), "no return\n");
    CHECK(reader.Next(input.get(), 20, &line) == Result::kMalformed);
  }
  SUBCASE("are limited in their length") {
    for (const size_t size : {size_t{18}, size_t{19}, size_t{200}}) {
      const BufferPtr input = NewBuffer();
      LineReader reader;
      std::string line;
      const std::string whole = std::string(size, 'a') + "\r\n";
      evbuffer_add(input.get(), whole.data(), whole.size());
      CHECK(reader.Next(input.get(), 20, &line) ==
            (size == 18 ? Result::kLine : Result::kTooLong));
    }
    const BufferPtr input = NewBuffer();
    LineReader reader;
    std::string line;
    evbuffer_add_printf(input.get(), "no line end in 20 bytes");
    CHECK(reader.Next(input.get(), 20, &line) == Result::kTooLong);
  }
}

}  // namespace
}  // namespace comfreystand::edge
