#include "src/edge/attempt.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/limits.h"
#include "src/edge/native_protocol.h"
#include "standins/run_until.h"
#include "tests/support/endless_server.h"
#include "tests/support/scripted_server.h"

// The time that the rest of an answer may take when its caller reads slowly.
namespace comfreystand::edge {
namespace {

using std::chrono::milliseconds;
using testing::EndlessServer;
using testing::ScriptedServer;

constexpr milliseconds kTimeLeft{300};
// After this long a caller that has read nothing reads again.
constexpr milliseconds kSlowness{900};

// Takes no bytes of its own accord, as a caller that doesn't read.
class Sink final : public AnswerSink {
 public:
  void OnHead(const AnswerHead&) override {}
  void OnBody(evbuffer* data) override {
    bytes += evbuffer_get_length(data);
    evbuffer_drain(data, evbuffer_get_length(data));
    if (attempt && bytes > limits::kRelayBufferBytes) {
      attempt->Pause();
    }
  }
  void OnEnd() override { ended = true; }
  void OnTruncated() override { truncated = true; }

  Attempt* attempt = nullptr;
  size_t bytes = 0;
  bool ended = false;
  bool truncated = false;
};

// An attempt whose answer is delivered as soon as it begins.
class Fixture final : public AttemptDelegate, public HttpConnectionDelegate {
 public:
  // `address` is the backend server's.
  Fixture(const std::string& address, EventLoop* loop)
      : protocol_(std::chrono::seconds(60), 0), loop_(loop) {
    sockaddr_in peer;
    REQUIRE(ParseAddress(address, &peer));
    constexpr std::chrono::seconds kTimeout{5};
    connection_ = std::make_unique<HttpConnection>(
        loop->base(), peer,
        HttpConnection::Timeouts{kTimeout, kTimeout, kTimeout}, this);
    attempt_ = std::make_unique<Attempt>(
        loop->base(), Attempt::Identity{}, AttemptInfo{}, &protocol_,
        limits::kMaxAnswerBodyBytes, kTimeout, nullptr, this);
    sink.attempt = attempt_.get();
    REQUIRE(connection_->Connect());
    const BufferPtr request = NewBuffer();
    evbuffer_add_printf(request.get(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    attempt_->Start(connection_.get(), request.get(), false);
    attempt_->EndRequest();
    REQUIRE(RunUntil([this] { return delivered_at != TimePoint(); }));
  }

  bool RunUntil(const std::function<bool()>& done) {
    return standins::RunUntil(loop_, std::chrono::seconds(5), done);
  }
  // Runs for the time in which the caller doesn't read.
  void RunSlowly() {
    standins::RunUntil(loop_, kSlowness, [] { return false; });
  }
  Duration SinceDelivery() const { return loop_->Now() - delivered_at; }
  Attempt& attempt() { return *attempt_; }

  void OnAttemptReport(Attempt* attempt,
                       const steer::AttemptReport& report) override {
    if (report.event == steer::AttemptEvent::kAnswerStarted) {
      // Not from within the callback of the connection.
      loop_->PostDelayed(Duration(0), [this, attempt] {
        delivered_at = loop_->Now();
        attempt->Deliver(&sink, kTimeLeft);
      });
    }
  }
  bool IsCallerWaiting(const Attempt*) override { return true; }
  bool IsWithdrawn(const Attempt*) override { return false; }
  void OnAttemptFlushed(Attempt*) override {}
  void SendCancel(Attempt*) override {}
  void OnUnresponsive(const HttpConnection*) override {}
  void OnAttemptFinished(Attempt*) override {}
  void CountFault(Fault fault) override {
    overdue += fault == Fault::kAnswerOverdue ? 1 : 0;
  }
  void OnConnected(HttpConnection*) override {}
  void OnIdle(HttpConnection*) override {}
  void OnClosed(HttpConnection*, ExchangeFailure) override {}

  Sink sink;
  TimePoint delivered_at{};
  int overdue = 0;

 private:
  const NativeProtocol protocol_;
  EventLoop* const loop_;
  std::unique_ptr<HttpConnection> connection_;
  std::unique_ptr<Attempt> attempt_;
};

constexpr char kHead[] = "HTTP/1.1 200 OK\r\n";
constexpr size_t kBlockBytes = 8'192;

// More than is read before reading pauses, by less than is read in the end.
const std::string kReadyBody(limits::kRelayBufferBytes * 3 / 2, 'x');

std::string Chunk(const std::string& content) {
  char length[16];
  std::snprintf(length, sizeof(length), "%zx\r\n", content.size());
  return length + content + "\r\n";
}

// Guards against an answer without end that is passed on for as long as its
// caller reads a little too slowly (CONFIG).
TEST_CASE("an answer without end ends at its deadline while its caller") {
  EventLoop loop;
  const std::string block(kBlockBytes, 'x');
  std::string begin = std::string(kHead) + "\r\n";
  std::string repeated = block;
  SUBCASE("reads nothing of a body up to the close") {}
  SUBCASE("reads nothing of a body in chunks") {
    begin = std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
    repeated = Chunk(block);
  }
  EndlessServer server(loop.base(), begin, repeated);
  Fixture fixture(server.address(), &loop);
  REQUIRE(fixture.RunUntil([&] { return fixture.sink.truncated; }));
  CHECK(fixture.SinceDelivery() >= kTimeLeft);
  CHECK(fixture.SinceDelivery() < kSlowness);
  CHECK(fixture.overdue == 1);
  CHECK_FALSE(fixture.sink.ended);
  // What is read at the end is bounded.
  CHECK(fixture.sink.bytes < 3 * limits::kRelayBufferBytes);
  CHECK(fixture.RunUntil([&] { return server.open_connections() == 0; }));
}

// Guards against the loss of answers that are ready when their callers are
// slow.
TEST_CASE("an answer that is ready at its deadline is delivered late") {
  EventLoop loop;
  SUBCASE("in chunks") {
    ScriptedServer server(loop.base(), [](size_t, const std::string&) {
      return std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n" +
             Chunk(kReadyBody) + "0\r\n\r\n";
    });
    Fixture fixture(server.address(), &loop);
    fixture.RunSlowly();
    CHECK(fixture.sink.ended);
    CHECK(fixture.sink.bytes == kReadyBody.size());
    CHECK(fixture.overdue == 0);
  }
  SUBCASE("of a declared length, whenever its caller reads on") {
    constexpr size_t kLength = 30'000'000;
    ScriptedServer server(loop.base(), [](size_t, const std::string&) {
      return std::string(kHead) + "Content-Length: " + std::to_string(kLength) +
             "\r\n\r\n" + std::string(kLength, 'x');
    });
    Fixture fixture(server.address(), &loop);
    fixture.RunSlowly();
    CHECK_FALSE(fixture.sink.truncated);
    CHECK(fixture.sink.bytes < kLength);
    fixture.sink.attempt = nullptr;
    fixture.attempt().Resume();
    CHECK(fixture.RunUntil([&] { return fixture.sink.ended; }));
    CHECK(fixture.overdue == 0);
  }
}

}  // namespace
}  // namespace comfreystand::edge
