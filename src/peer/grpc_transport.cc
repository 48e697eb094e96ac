#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "comfreystand/grpc_peer.h"
#include "comfreystand/limits.h"
#include "proto/peer.grpc.pb.h"
#include "src/peer/credentials.h"

namespace comfreystand::peer {
namespace {

// One call in flight; owned by its completion callback.
struct PendingCall {
  grpc::ClientContext context;
  wire::Envelope request;
  wire::Envelope reply;
  ReplyCallback done;
};

// Calls that gRPC's threads have not completed yet.
class CallsInFlight {
 public:
  void Add(PendingCall* call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.insert(call);
  }

  // Runs on a gRPC thread. Runs `before_completion`, then removes the call.
  void Complete(PendingCall* call,
                const std::function<void()>& before_completion) {
    const std::lock_guard<std::mutex> lock(mutex_);
    before_completion();
    calls_.erase(call);
    completed_.notify_all();
  }

  // Cancels all calls and waits until gRPC has completed them.
  void CancelAll() {
    std::unique_lock<std::mutex> lock(mutex_);
    for (PendingCall* call : calls_)
      call->context.TryCancel();
    completed_.wait(lock, [this] { return calls_.empty(); });
  }

 private:
  std::mutex mutex_;
  std::condition_variable completed_;
  std::set<PendingCall*> calls_;
};

}  // namespace

class GrpcTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(EventLoop* loop, const TlsMaterial& tls)
      : loop_(loop), credentials_(ChannelCredentials(tls)) {}

  void Call(const std::string& address,
            const wire::Envelope& request,
            ReplyCallback done) {
    auto call = std::make_shared<PendingCall>();
    call->request = request;
    call->done = std::move(done);
    call->context.set_deadline(std::chrono::system_clock::now() +
                               limits::kPeerCallTimeout);
    ++stats_.calls_sent;
    stats_.bytes_sent += request.ByteSizeLong();
    in_flight_->Add(call.get());
    StubFor(address)->async()->Exchange(
        &call->context, &call->request, &call->reply,
        [this, self = weak_from_this(), in_flight = in_flight_,
         call](const grpc::Status& status) {
          in_flight->Complete(call.get(), [&] {
            loop_->RunInLoop([self, call, ok = status.ok()] {
              if (const auto impl = self.lock())
                impl->Finish(ok, *call);
            });
          });
        });
  }

  void CancelAll() { in_flight_->CancelAll(); }

  const PeerStats& stats() const { return stats_; }

 private:
  wire::Peer::Stub* StubFor(const std::string& address) {
    auto& stub = stubs_[address];
    if (!stub) {
      grpc::ChannelArguments arguments;
      arguments.SetMaxReceiveMessageSize(limits::kMaxPeerMessageBytes);
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                       limits::kPeerReconnectBackoff.count());
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                       limits::kPeerReconnectBackoff.count() / 4);
      arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
      stub = wire::Peer::NewStub(
          grpc::CreateCustomChannel(address, credentials_, arguments));
    }
    return stub.get();
  }

  void Finish(bool ok, const PendingCall& call) {
    if (!ok)
      ++stats_.calls_failed;
    stats_.bytes_received += call.reply.ByteSizeLong();
    call.done(ok, call.reply);
  }

  EventLoop* loop_;
  std::shared_ptr<grpc::ChannelCredentials> credentials_;
  std::map<std::string, std::unique_ptr<wire::Peer::Stub>> stubs_;
  std::shared_ptr<CallsInFlight> in_flight_ = std::make_shared<CallsInFlight>();
  PeerStats stats_;
};

GrpcTransport::GrpcTransport(EventLoop* loop, const TlsMaterial& tls)
    : impl_(std::make_shared<Impl>(loop, tls)) {}

GrpcTransport::~GrpcTransport() {
  impl_->CancelAll();
}

void GrpcTransport::Call(const std::string& address,
                         const wire::Envelope& request,
                         ReplyCallback done) {
  impl_->Call(address, request, std::move(done));
}

const PeerStats& GrpcTransport::stats() const {
  return impl_->stats();
}

}  // namespace comfreystand::peer
