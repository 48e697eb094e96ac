#ifndef COMFREYSTAND_TESTS_SUPPORT_EDGE_WORLD_H_
#define COMFREYSTAND_TESTS_SUPPORT_EDGE_WORLD_H_

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

// A caller that sends any bytes and keeps all that comes back.
class RawCaller {
 public:
  RawCaller(event_base* base, uint16_t port);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(std::string_view bytes);
  void Close();
  // Breaks the connection with a reset.
  void Reset();
  // Stops and goes on taking what is sent.
  void SetReading(bool enabled);

  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }
  // The connection ended with an error, not in order.
  bool failed() const { return failed_; }
  bool Has(std::string_view text) const {
    return received_.find(text) != std::string::npos;
  }
  // Number of status lines received.
  int Answers() const;
  // Status of the last answer, or 0.
  int Status() const;

 private:
  bufferevent* bev_;
  std::string received_;
  bool closed_ = false;
  bool failed_ = false;
};

class FakeLookup final : public steer::LookupSource {
 public:
  steer::LookupAnswer answer;
  steer::ClientAddress last;
  steer::LookupAnswer Answer(const steer::ClientAddress& client,
                             TimePoint now) override {
    last = client;
    return answer;
  }
};

// Accepts each ticket that it issued once.
class FakeTickets final : public edge::TicketAuthority {
 public:
  std::string Issue(TimePoint now) override;
  edge::TicketVerdict Redeem(TimePoint now, std::string_view ticket) override;

 private:
  int next_ = 1;
  std::set<std::string, std::less<>> used_;
};

// An entry VM's server with backend server stand-ins on one loop.
class EdgeWorld {
 public:
  explicit EdgeWorld(int backends = 1, edge::ServerInit init = {});
  ~EdgeWorld();
  EdgeWorld(const EdgeWorld&) = delete;
  EdgeWorld& operator=(const EdgeWorld&) = delete;

  std::unique_ptr<RawCaller> Call(std::string_view bytes);
  // Sends a request and waits for its answer or the end of the connection.
  std::unique_ptr<RawCaller> Fetch(std::string_view bytes);
  // Runs the loop until `done`; returns whether that came true in a generous
  // time.
  bool Until(const std::function<bool()>& done);
  // Runs the loop until nothing is under way at the entry VM.
  bool UntilIdle();

  standins::Backend& backend(size_t index) { return *backends_[index]; }
  uint64_t Faults(edge::Fault fault) const;

  std::unique_ptr<event_base, EventBaseDeleter> base;
  SystemClock clock;
  FakeDispatcher dispatcher;
  FakeLookup lookup;
  FakeTickets tickets;
  std::unique_ptr<edge::Server> server;

 private:
  std::vector<std::unique_ptr<standins::Backend>> backends_;
};

// A request head with a service "desk" and the headers given, each with its
// line end.
std::string Request(std::string_view method,
                    std::string_view path,
                    std::string_view headers = {},
                    std::string_view body = {});

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_EDGE_WORLD_H_
