#ifndef STANDINS_STORE_H_
#define STANDINS_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/platform.h"

struct evhtp;
struct evhtp_request;

// Stand-in for the platform's key-value service, for tests and trial runs.
namespace comfreystand::standins {

// Faults that can be switched on while it runs.
struct StoreFaults {
  // Every call is answered 503.
  bool outage = false;
  // Extra time before each answer.
  Duration delay{0};
  // Number of coming writes that take effect without an answer.
  int lost_answers = 0;
};

struct StoreCalls {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t lists = 0;
};

class Store {
 public:
  // Listens on `address`; port 0 takes one from the kernel.
  Store(EventLoop* loop, const std::string& address);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  uint16_t port() const { return port_; }
  void SetFaults(const StoreFaults& faults) { faults_ = faults; }
  const StoreCalls& calls() const { return calls_; }

 private:
  struct Entry {
    std::string value;
    platform::Revision revision;
    // Counts writes, so that an expiry timer knows its own.
    uint64_t writes = 0;
  };
  struct Waiter {
    std::string key;
    uint64_t id = 0;
    evhtp_request* request = nullptr;
  };
  using Handler = void (Store::*)(evhtp_request* request, std::string_view key);
  struct Route {
    std::string_view prefix;
    Handler handler;
  };
  static const Route kRoutes[];

  static void OnRequest(evhtp_request* request, void* arg);
  static uint16_t OnRequestGone(evhtp_request* request, void* arg);
  void Dispatch(evhtp_request* request);
  void HandleKey(evhtp_request* request, std::string_view key);
  void HandleWatch(evhtp_request* request, std::string_view key);
  void HandleList(evhtp_request* request, std::string_view rest);
  void HandleControl(evhtp_request* request, std::string_view rest);
  void HandleStats(evhtp_request* request, std::string_view rest);
  void Read(evhtp_request* request, const std::string& key);
  void Write(evhtp_request* request, const std::string& key);
  void Expire(const std::string& key, uint64_t writes);
  void WakeWaiters(const std::string& key);
  void AnswerEntry(evhtp_request* request, const std::string& key);
  void Answer(evhtp_request* request,
              int status,
              platform::Revision revision,
              std::string body);

  EventLoop* loop_;
  evhtp* server_ = nullptr;
  uint16_t port_ = 0;
  StoreFaults faults_;
  StoreCalls calls_;
  uint64_t last_revision_ = 0;
  uint64_t last_waiter_ = 0;
  std::map<std::string, Entry, std::less<>> entries_;
  std::vector<Waiter> waiters_;
  std::map<evhtp_request*, bool> open_requests_;
};

}  // namespace comfreystand::standins

#endif  // STANDINS_STORE_H_
