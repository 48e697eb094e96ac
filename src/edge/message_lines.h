#ifndef COMFREYSTAND_SRC_EDGE_MESSAGE_LINES_H_
#define COMFREYSTAND_SRC_EDGE_MESSAGE_LINES_H_

#include <event2/buffer.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/relay_protocol.h"

// The lines of a message head (RFC 9112, sections 2 to 5), read strictly: what
// a recipient may repair or ignore there, such as a line end without CR, a
// header continued on a second line or a space before a colon, is malformed. A
// repaired line could change what its sender meant.
namespace comfreystand::edge {

// Request line of a message.
struct RequestLine {
  std::string_view method;
  // As it arrived: a path with its query, a whole URI or "*".
  std::string_view target;
  // HTTP/1.1, not HTTP/1.0.
  bool http11 = true;
};

// Status line of a message. Its reason phrase isn't kept.
struct StatusLine {
  // From 100 to 599.
  int status = 0;
  bool http11 = true;
};

// Parse a line without its line end. Return false for anything but a line of
// HTTP/1.0 or HTTP/1.1; `out` is then undefined.
bool ParseRequestLine(std::string_view line, RequestLine* out);
bool ParseStatusLine(std::string_view line, StatusLine* out);
bool ParseFieldLine(std::string_view line, HeaderField* out);

// Whether a status line may begin with `bytes`, so that other bytes are known
// to be no answer before a line end has arrived.
bool MayBeginStatusLine(std::string_view bytes);

// Whether the sender of a head keeps its connection open after the message.
bool KeepsAlive(bool http11, const std::vector<HeaderField>& headers);

// Takes the lines of a head from the input of a connection.
class LineReader {
 public:
  enum class Result : uint8_t {
    // The line's end hasn't arrived.
    kIncomplete,
    kLine,
    // A line ends without CR.
    kMalformed,
    // The line is longer than allowed.
    kTooLong,
  };

  // Moves the next line, without its line end, from `input` to `line`.
  // `max_bytes` includes the line end.
  Result Next(evbuffer* input, size_t max_bytes, std::string* line);

 private:
  // Bytes of `input` that hold no line end.
  size_t searched_ = 0;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_MESSAGE_LINES_H_
