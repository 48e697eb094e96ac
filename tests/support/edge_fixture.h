#ifndef COMFREYSTAND_TESTS_SUPPORT_EDGE_FIXTURE_H_
#define COMFREYSTAND_TESTS_SUPPORT_EDGE_FIXTURE_H_

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/edge.h"
#include "standins/backend.h"
#include "tests/support/fake_dispatcher.h"

namespace comfreystand::testing {

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

// A caller that sends arbitrary bytes and records everything it receives.
class RawCaller {
 public:
  RawCaller(event_base* base, uint16_t port);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(std::string_view bytes);
  void Close();
  // Closes the connection with a TCP reset.
  void Reset();
  // Stops or resumes reading.
  void SetReading(bool enabled);

  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }
  // The connection ended with an error instead of an orderly close.
  bool failed() const { return failed_; }
  // Whether the received bytes contain `text`.
  bool HasReceived(std::string_view text) const {
    return received_.find(text) != std::string::npos;
  }
  // Number of status lines received.
  int AnswerCount() const;
  // Status of the last answer, or 0.
  int LastStatus() const;

 private:
  bufferevent* bev_;
  std::string received_;
  bool closed_ = false;
  bool failed_ = false;
};

class FakeLookup final : public steer::LookupSource {
 public:
  steer::LookupAnswer answer;
  // Client address of the last look-up.
  steer::ClientAddress last_client;
  steer::LookupAnswer Answer(const steer::ClientAddress& client,
                             TimePoint now) override {
    last_client = client;
    return answer;
  }
};

// Accepts each ticket "ours-N" once; treats tickets that start with "theirs-"
// as issued by another entry VM.
class FakeTickets final : public edge::TicketAuthority {
 public:
  std::string Issue(TimePoint now) override;
  edge::TicketVerdict Redeem(TimePoint now, std::string_view ticket) override;

 private:
  int next_ticket_ = 1;
  std::set<std::string, std::less<>> redeemed_;
};

// Default settings without load polling.
edge::ServerInit InitWithoutLoadPolling();

// An edge server with backend server stand-ins on one event loop.
class EdgeFixture {
 public:
  explicit EdgeFixture(int backends = 1,
                       edge::ServerInit init = InitWithoutLoadPolling());
  ~EdgeFixture();
  EdgeFixture(const EdgeFixture&) = delete;
  EdgeFixture& operator=(const EdgeFixture&) = delete;

  // Opens a connection and sends `bytes`.
  std::unique_ptr<RawCaller> OpenCaller(std::string_view bytes);
  // Like OpenCaller(), and runs the loop until the server has closed the
  // connection or the timeout of RunUntil() has passed.
  std::unique_ptr<RawCaller> SendUntilClosed(std::string_view bytes);
  // Runs the loop until `done` returns true or 20 seconds have passed. Returns
  // the last result of `done`.
  bool RunUntil(const std::function<bool()>& done);
  // Runs the loop until the server has no request in flight.
  bool RunUntilIdle();

  standins::Backend& backend(size_t index) { return *backends_[index]; }
  // Value of the server's counter of `fault`.
  uint64_t FaultCount(edge::Fault fault) const;

  std::unique_ptr<event_base, EventBaseDeleter> base;
  SystemClock clock;
  FakeDispatcher dispatcher;
  FakeLookup lookup;
  FakeTickets tickets;
  std::unique_ptr<edge::Server> server;

 private:
  std::vector<std::unique_ptr<standins::Backend>> backends_;
};

// Formats a request to the service "desk". Each line of `headers` includes its
// line end.
std::string Request(std::string_view method,
                    std::string_view path,
                    std::string_view headers = {},
                    std::string_view body = {});

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_EDGE_FIXTURE_H_
