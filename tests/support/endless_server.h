#ifndef COMFREYSTAND_TESTS_SUPPORT_ENDLESS_SERVER_H_
#define COMFREYSTAND_TESTS_SUPPORT_ENDLESS_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/base.h"
#include "src/loop/event_handles.h"
#include "tests/support/loopback_listener.h"

struct bufferevent;
struct event_base;

namespace comfreystand::testing {

// A backend server that answers each connection with the same bytes, followed
// by a block that is repeated until the connection closes: as fast as the
// caller reads, or once every `interval` when it isn't zero.
class EndlessServer {
 public:
  EndlessServer(event_base* base,
                std::string begin,
                std::string block,
                Duration interval = Duration(0));
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  // Answers health checks with these bytes instead.
  void SetHealthAnswer(std::string answer) { health_answer_ = answer; }

  std::string address() const { return listener_.address(); }
  // Bytes that left the program.
  size_t bytes_sent() const { return bytes_sent_; }
  size_t open_connections() const { return connections_.size(); }

 private:
  static void OnEvent(bufferevent* connection, short events, void* self);
  void Accept(int fd);
  void Begin(bufferevent* connection);
  void Send(bufferevent* connection);
  void SendBlocks();
  void Close(bufferevent* connection);

  event_base* const base_;
  const std::string begin_;
  const std::string block_;
  std::string health_answer_;
  EventPtr interval_event_;
  LoopbackListener listener_;
  std::vector<bufferevent*> connections_;
  size_t bytes_sent_ = 0;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_ENDLESS_SERVER_H_
