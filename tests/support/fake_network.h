#ifndef COMFREYSTAND_TESTS_SUPPORT_FAKE_NETWORK_H_
#define COMFREYSTAND_TESTS_SUPPORT_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "comfreystand/peer.h"
#include "tests/support/virtual_loop.h"

namespace comfreystand::testing {

struct NetworkFaults {
  Duration latency = std::chrono::milliseconds(3);
  // Fractions of messages that are lost, delivered twice, or delayed by
  // `late_delay`.
  double loss = 0;
  double duplicate = 0;
  double late = 0;
  Duration late_delay = std::chrono::seconds(4);
};

// Traffic of one address. Bytes are those of the serialized messages, without
// framing.
struct TrafficCounts {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t messages_sent = 0;
  uint64_t calls = 0;
};

// Carries serialized envelopes between the nodes of one virtual loop.
class FakeNetwork {
 public:
  explicit FakeNetwork(VirtualLoop& loop) : loop_(loop) {}

  std::unique_ptr<peer::Transport> Client(NodeLoop& node, std::string address);
  // Makes a process reachable under `address`, replacing an earlier one.
  void Listen(const std::string& address,
              NodeLoop& node,
              peer::Handler handler);
  void Close(const std::string& address);

  NetworkFaults faults;
  // Returns true when messages from one address to the other are dropped.
  std::function<bool(const std::string& from, const std::string& to)>
      is_blocked;
  std::unordered_map<std::string, TrafficCounts> counts;

 private:
  friend class FakeTransport;

  struct Listener {
    NodeLoop* node = nullptr;
    peer::Handler handler;
    // Distinguishes successive listeners on the same address.
    uint64_t serial = 0;
  };

  // Delivers one message after the latency, subject to the faults.
  void Deliver(const std::string& from,
               const std::string& to,
               size_t bytes,
               const std::function<void()>& on_arrival);
  // Passes a request to the listener on `to`, if any, and the reply to
  // `answer`.
  void HandleRequest(const std::string& to,
                     const std::string& bytes,
                     std::function<void(const std::string& reply)> answer);

  VirtualLoop& loop_;
  std::unordered_map<std::string, Listener> listeners_;
  uint64_t next_serial_ = 1;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FAKE_NETWORK_H_
