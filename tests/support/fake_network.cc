#include "tests/support/fake_network.h"

#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::testing {
namespace {

// A call in flight; completed by its reply or its timeout.
struct PendingCall {
  peer::ReplyCallback done;
  bool completed = false;

  void Complete(bool ok, const wire::Envelope& reply) {
    if (!completed) {
      completed = true;
      done(ok, reply);
    }
  }
};

}  // namespace

class FakeTransport final : public peer::Transport {
 public:
  FakeTransport(FakeNetwork& network, NodeLoop& node, std::string address)
      : network_(network), node_(node), address_(std::move(address)) {}

  void Call(const std::string& address,
            const wire::Envelope& request,
            peer::ReplyCallback done) override {
    auto call = std::make_shared<PendingCall>();
    call->done = std::move(done);
    node_.PostDelayed(limits::kPeerCallTimeout,
                      [call] { call->Complete(false, {}); });
    ++network_.counts[address_].calls;
    const std::string bytes = request.SerializeAsString();
    FakeNetwork& network = network_;
    NodeLoop* caller = &node_;
    network_.Deliver(
        address_, address, bytes.size(),
        [&network, caller, call, from = address_, to = address, bytes] {
          network.HandleRequest(
              to, bytes,
              [&network, caller, call, from, to](const std::string& reply) {
                network.Deliver(to, from, reply.size(), [caller, call, reply] {
                  caller->PostDelayed(Duration{0}, [call, reply] {
                    wire::Envelope parsed;
                    const bool ok = parsed.ParseFromString(reply);
                    call->Complete(ok, parsed);
                  });
                });
              });
        });
  }

 private:
  FakeNetwork& network_;
  NodeLoop& node_;
  std::string address_;
};

std::unique_ptr<peer::Transport> FakeNetwork::Client(NodeLoop& node,
                                                     std::string address) {
  return std::make_unique<FakeTransport>(*this, node, std::move(address));
}

void FakeNetwork::Listen(const std::string& address,
                         NodeLoop& node,
                         peer::Handler handler) {
  listeners_[address] = {&node, std::move(handler), next_serial_++};
}

void FakeNetwork::Close(const std::string& address) {
  listeners_.erase(address);
}

void FakeNetwork::Deliver(const std::string& from,
                          const std::string& to,
                          size_t bytes,
                          const std::function<void()>& on_arrival) {
  TrafficCounts& sender = counts[from];
  sender.bytes_sent += bytes;
  ++sender.messages_sent;
  if ((is_blocked && is_blocked(from, to)) ||
      loop_.RandomUnit() < faults.loss) {
    return;
  }
  counts[to].bytes_received += bytes;
  const Duration late =
      loop_.RandomUnit() < faults.late ? faults.late_delay : Duration{0};
  loop_.PostDelayed(faults.latency + late, on_arrival);
  if (loop_.RandomUnit() < faults.duplicate) {
    loop_.PostDelayed(faults.latency * 2 + late, on_arrival);
  }
}

void FakeNetwork::HandleRequest(
    const std::string& to,
    const std::string& bytes,
    std::function<void(const std::string& reply)> answer) {
  const auto it = listeners_.find(to);
  if (it == listeners_.end() || !it->second.node->IsAlive()) {
    return;
  }
  const uint64_t serial = it->second.serial;
  it->second.node->PostDelayed(
      Duration{0}, [this, to, serial, bytes, answer = std::move(answer)] {
        const auto listener = listeners_.find(to);
        if (listener == listeners_.end() || listener->second.serial != serial) {
          return;
        }
        wire::Envelope request;
        if (request.ParseFromString(bytes)) {
          answer(listener->second.handler(request).SerializeAsString());
        }
      });
}

}  // namespace comfreystand::testing
