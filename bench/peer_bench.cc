#include "bench/peer_bench.h"

#include <ctime>

#include <functional>
#include <string>

#include "comfreystand/bench.h"
#include "comfreystand/event_loop.h"
#include "comfreystand/grpc_peer.h"

namespace comfreystand::bench {
namespace {

constexpr int kWarmUpCalls = 200;
constexpr int kCalls = 5'000;
// Pause between two calls. Nodes call rarely, so each call has to wake idle
// threads.
constexpr Duration kCallPause = std::chrono::microseconds(200);
constexpr double kMicrosPerSecond = 1e6;
// CPU time available to one side of a call, in microseconds: control traffic
// may take 1.6 % of a core, and a node is a side of 12.4 calls per second, 4.4
// for membership and 8 for borrowing slots.
constexpr double kTargetMicrosPerCallSide = 0.016 * kMicrosPerSecond / 12.4;

double ProcessCpuMicros() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMicrosPerSecond +
         static_cast<double>(now.tv_nsec) / 1e3;
}

// Makes calls from one transport to one server, one at a time.
class CallLoop {
 public:
  CallLoop()
      : server_(&loop_,
                "127.0.0.1:0",
                {},
                [](const wire::Envelope& request) { return request; }),
        transport_(&loop_, {}),
        address_("127.0.0.1:" + std::to_string(server_.port())) {
    request_.mutable_member()->set_document(std::string(400, 'x'));
  }

  // Makes `calls` calls. Returns the CPU time of all threads, in microseconds.
  double Run(int calls) {
    calls_left_ = calls;
    const double before = ProcessCpuMicros();
    StartCall();
    loop_.Run();
    return ProcessCpuMicros() - before;
  }

 private:
  void StartCall() {
    transport_.Call(address_, request_, [this](bool, const wire::Envelope&) {
      if (--calls_left_ == 0)
        loop_.Stop();
      else
        loop_.PostDelayed(kCallPause, [this] { StartCall(); });
    });
  }

  EventLoop loop_;
  peer::GrpcServer server_;
  peer::GrpcTransport transport_;
  const std::string address_;
  wire::Envelope request_;
  int calls_left_ = 0;
};

void MeasureCall(Report* report) {
  CallLoop loop;
  loop.Run(kWarmUpCalls);
  const double micros = loop.Run(kCalls);
  report->results.push_back({.name = "peer_call_side_us",
                             .unit = "us",
                             .value = micros / kCalls / 2,
                             .target = kTargetMicrosPerCallSide,
                             .method = Method::kProcess});
}

}  // namespace

void RegisterPeerBenchmarks() {
  Register({"peer_call_side_us"}, MeasureCall);
}

}  // namespace comfreystand::bench
