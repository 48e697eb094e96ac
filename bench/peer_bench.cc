#include "bench/peer_bench.h"

#include <ctime>

#include <functional>
#include <string>

#include "comfreystand/bench.h"
#include "comfreystand/event_loop.h"
#include "comfreystand/grpc_peer.h"

namespace comfreystand::bench {
namespace {

constexpr int kWarmupCalls = 200;
constexpr int kCalls = 5'000;
// Pause between two calls: nodes call seldom, so that each call finds idle
// threads.
constexpr Duration kPause = std::chrono::microseconds(200);
constexpr double kMicrosPerSecond = 1e6;
// Share of a core that control may take, in microseconds a second, over the
// call sides a second of a node: 4.4 of membership and 8 of borrowing.
constexpr double kTargetMicros = 0.016 * kMicrosPerSecond / 12.4;

double ProcessCpuMicros() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMicrosPerSecond +
         static_cast<double>(now.tv_nsec) / 1e3;
}

// Calls one server from one transport, one call at a time.
class CallRun {
 public:
  CallRun()
      : server_(&loop_,
                "127.0.0.1:0",
                {},
                [](const wire::Envelope& request) { return request; }),
        transport_(&loop_, {}),
        address_("127.0.0.1:" + std::to_string(server_.port())) {
    request_.mutable_member()->set_document(std::string(400, 'x'));
  }

  // Processor time of all threads for `calls` calls, in microseconds.
  double Run(int calls) {
    left_ = calls;
    const double before = ProcessCpuMicros();
    CallNext();
    loop_.Run();
    return ProcessCpuMicros() - before;
  }

 private:
  void CallNext() {
    transport_.Call(address_, request_, [this](bool, const wire::Envelope&) {
      if (--left_ == 0)
        loop_.Stop();
      else
        loop_.PostDelayed(kPause, [this] { CallNext(); });
    });
  }

  EventLoop loop_;
  peer::GrpcServer server_;
  peer::GrpcTransport transport_;
  const std::string address_;
  wire::Envelope request_;
  int left_ = 0;
};

void MeasureCall(Report* report) {
  CallRun run;
  run.Run(kWarmupCalls);
  const double micros = run.Run(kCalls);
  report->results.push_back({.name = "peer_call_side_us",
                             .unit = "us",
                             .value = micros / kCalls / 2,
                             .target = kTargetMicros,
                             .how = How::kProcess});
}

}  // namespace

void RegisterPeerBenchmarks() {
  Register({"peer_call_side_us"}, MeasureCall);
}

}  // namespace comfreystand::bench
