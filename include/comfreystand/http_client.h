#ifndef COMFREYSTAND_HTTP_CLIENT_H_
#define COMFREYSTAND_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "comfreystand/base.h"

struct event_base;

// HTTP client over evhttp for control traffic: calls to the platform's services
// and to the administration API.
namespace comfreystand::http {

enum class Method : uint8_t { kGet, kPut, kPost, kDelete };

enum class Outcome : uint8_t {
  // An answer arrived; its status may still be an error.
  kAnswered,
  // The connection could not be opened; nothing was sent.
  kNotSent,
  // The request was sent, but its answer was lost, truncated or too late.
  kNoAnswer,
  // The body of the answer is larger than is accepted.
  kTooLarge,
};

struct Request {
  Method method = Method::kGet;
  // Path and query.
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  // Ends the call when nothing arrives for so long. The whole answer may take
  // twice as long.
  Duration timeout = std::chrono::seconds(2);
};

struct Response {
  Outcome outcome = Outcome::kNotSent;
  int status = 0;
  std::map<std::string, std::string, std::less<>> headers;
  std::string body;
};

using ResponseCallback = std::function<void(const Response& response)>;

// Splits "a.b.c.d:port" or "[v6]:port". Returns false for anything else.
bool ParseAddress(std::string_view text, std::string* host, uint16_t* port);

// Percent-encodes everything but unreserved characters and '/'.
std::string EncodePath(std::string_view path);

// HTTP client of one server. Reuses idle connections and opens another one when
// all are busy. Callbacks of calls in flight are dropped when the client is
// destroyed.
class Client {
 public:
  // `address` is "a.b.c.d:port".
  Client(event_base* base, std::string address);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Call(Request request, ResponseCallback done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreystand::http

#endif  // COMFREYSTAND_HTTP_CLIENT_H_
