#ifndef COMFREYSTAND_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define COMFREYSTAND_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/support/loopback_listener.h"

struct bufferevent;
struct event_base;

namespace comfreystand::testing {

// A backend server whose bytes are chosen by the test.
class ScriptedServer {
 public:
  // Called with the index of the connection and each request without a body, or
  // the head of one with a body. Returns the bytes to send.
  using Script =
      std::function<std::string(size_t connection, const std::string& head)>;

  ScriptedServer(event_base* base, Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string address() const { return listener_.address(); }
  // Sends more bytes on a connection.
  void Send(size_t connection, std::string_view bytes);
  // Closes a connection once its bytes have been sent.
  void CloseAfterFlush(size_t connection);

 private:
  void Accept(int fd);
  void Read(bufferevent* connection);

  event_base* const base_;
  const Script script_;
  LoopbackListener listener_;
  // In the order in which they were accepted; null once closed.
  std::vector<bufferevent*> connections_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_SCRIPTED_SERVER_H_
