#ifndef COMFREYSTAND_TESTS_SUPPORT_LOOPBACK_LISTENER_H_
#define COMFREYSTAND_TESTS_SUPPORT_LOOPBACK_LISTENER_H_

#include <functional>
#include <string>

struct event_base;
struct evconnlistener;

namespace comfreystand::testing {

// Accepts connections on a free port of the loopback address.
class LoopbackListener {
 public:
  using Accept = std::function<void(int fd)>;

  LoopbackListener(event_base* base, Accept accept);
  ~LoopbackListener();
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  // "a.b.c.d:port".
  std::string address() const;

 private:
  const Accept accept_;
  evconnlistener* const listener_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_LOOPBACK_LISTENER_H_
