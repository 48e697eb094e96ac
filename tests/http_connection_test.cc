#include "src/edge/http_connection.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "comfreystand/event_loop.h"
#include "standins/run_until.h"
#include "tests/support/scripted_server.h"

namespace comfreystand::edge {
namespace {

using std::chrono::milliseconds;

// An exchange that is given up while its connection is being established.
class UnwantedExchange final : public Exchange {
 public:
  bool IsStillWanted() override { return false; }
  void OnFirstByteWritten() override { written = true; }
  void OnAnswerHead(AnswerHead) override {}
  void OnAnswerBody(const char*, size_t) override {}
  void OnAnswerComplete() override {}
  void OnExchangeFailed(ExchangeFailure, bool was_written) override {
    failed = true;
    written = written || was_written;
  }

  bool written = false;
  bool failed = false;
};

class Owner final : public HttpConnectionDelegate {
 public:
  void OnConnected(HttpConnection*) override {}
  void OnIdle(HttpConnection*) override {}
  void OnClosed(HttpConnection*, ExchangeFailure) override {}
};

TEST_CASE(
    "a request given up before its connection is established is not sent") {
  EventLoop loop;
  int requests = 0;
  testing::ScriptedServer server(loop.base(), [&](size_t, const std::string&) {
    ++requests;
    return std::string();
  });
  sockaddr_in address;
  REQUIRE(ParseAddress(server.address(), &address));
  Owner owner;
  UnwantedExchange exchange;
  constexpr std::chrono::seconds kTimeout{1};
  HttpConnection connection(loop.base(), address,
                            {kTimeout, kTimeout, kTimeout}, &owner);
  REQUIRE(connection.Connect());
  const BufferPtr request = NewBuffer();
  evbuffer_add_printf(request.get(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  connection.Start(&exchange, request.get(), false);
  connection.EndRequest();
  REQUIRE(standins::RunUntil(&loop, kTimeout, [&] { return exchange.failed; }));
  standins::RunUntil(&loop, milliseconds(100), [] { return false; });
  CHECK_FALSE(exchange.written);
  CHECK(requests == 0);
}

}  // namespace
}  // namespace comfreystand::edge
