#include <grpcpp/grpcpp.h>

#include <mutex>
#include <set>
#include <utility>

#include "comfreystand/grpc_peer.h"
#include "comfreystand/limits.h"
#include "proto/peer.grpc.pb.h"
#include "src/peer/credentials.h"

namespace comfreystand::peer {
namespace {

// State that calls share with the server object. Each call is finished exactly
// once: by its task on the loop, or by Close() when the task has not run.
class ServerState {
 public:
  explicit ServerState(Handler handler) : handler_(std::move(handler)) {}

  // Adds a call whose task on the loop is pending. Returns false when closed.
  bool AddPending(grpc::ServerUnaryReactor* reactor) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_)
      return false;
    pending_calls_.insert(reactor);
    return true;
  }

  // Removes a pending call. Returns false when Close() has finished it.
  bool RemovePending(grpc::ServerUnaryReactor* reactor) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return pending_calls_.erase(reactor) > 0;
  }

  void Close() {
    std::set<grpc::ServerUnaryReactor*> unfinished;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      closed_ = true;
      unfinished.swap(pending_calls_);
    }
    for (grpc::ServerUnaryReactor* reactor : unfinished)
      reactor->Finish(StoppingStatus());
  }

  // Runs the handler and updates the statistics. Runs on the loop.
  void HandleRequest(const wire::Envelope& request, wire::Envelope* reply) {
    ++stats_.calls_received;
    stats_.bytes_received += request.ByteSizeLong();
    *reply = handler_(request);
    stats_.bytes_sent += reply->ByteSizeLong();
  }

  static grpc::Status StoppingStatus() {
    return {grpc::StatusCode::UNAVAILABLE, "node is stopping"};
  }

  const PeerStats& stats() const { return stats_; }

 private:
  const Handler handler_;
  PeerStats stats_;
  std::mutex mutex_;
  bool closed_ = false;
  std::set<grpc::ServerUnaryReactor*> pending_calls_;
};

class PeerService final : public wire::Peer::CallbackService {
 public:
  PeerService(EventLoop* loop, std::shared_ptr<ServerState> state)
      : loop_(loop), state_(std::move(state)) {}

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const wire::Envelope* request,
                                     wire::Envelope* reply) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    if (!state_->AddPending(reactor)) {
      reactor->Finish(ServerState::StoppingStatus());
      return reactor;
    }
    loop_->RunInLoop([state = state_, request, reply, reactor] {
      if (!state->RemovePending(reactor))
        return;
      state->HandleRequest(*request, reply);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

 private:
  EventLoop* loop_;
  std::shared_ptr<ServerState> state_;
};

}  // namespace

class GrpcServer::Impl {
 public:
  Impl(EventLoop* loop,
       const std::string& address,
       const TlsMaterial& tls,
       Handler handler)
      : state_(std::make_shared<ServerState>(std::move(handler))),
        service_(loop, state_) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, ServerCredentials(tls), &port_);
    builder.RegisterService(&service_);
    builder.SetMaxReceiveMessageSize(limits::kMaxPeerMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    server_ = builder.BuildAndStart();
  }

  ~Impl() {
    state_->Close();
    if (server_)
      server_->Shutdown(std::chrono::system_clock::now());
  }

  uint16_t port() const {
    return server_ ? static_cast<uint16_t>(port_) : uint16_t{0};
  }
  const PeerStats& stats() const { return state_->stats(); }

 private:
  std::shared_ptr<ServerState> state_;
  PeerService service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

GrpcServer::GrpcServer(EventLoop* loop,
                       const std::string& address,
                       const TlsMaterial& tls,
                       Handler handler)
    : impl_(std::make_unique<Impl>(loop, address, tls, std::move(handler))) {}

GrpcServer::~GrpcServer() = default;

uint16_t GrpcServer::port() const {
  return impl_->port();
}

const PeerStats& GrpcServer::stats() const {
  return impl_->stats();
}

}  // namespace comfreystand::peer
