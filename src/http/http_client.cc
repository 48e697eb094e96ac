#include "comfreystand/http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/http/client_connections.h"
#include "src/loop/event_handles.h"

namespace comfreystand::http {
namespace {

constexpr std::array<evhttp_cmd_type, 4> kCommands = {
    EVHTTP_REQ_GET, EVHTTP_REQ_PUT, EVHTTP_REQ_POST, EVHTTP_REQ_DELETE};

// The timeout of a call ends it when nothing arrives for so long; in this many
// timeouts the whole answer has to be there.
constexpr int kMaxTimeouts = 2;

std::string ReadBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  const size_t size = evbuffer_get_length(input);
  std::string body(size, '\0');
  evbuffer_remove(input, body.data(), size);
  return body;
}

}  // namespace

// Owns all connections and all calls in flight.
class Client::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(event_base* base, const std::string& address)
      : base_(base),
        connections_(base, address),
        deferred_event_(event_new(
            base,
            -1,
            0,
            [](evutil_socket_t, short, void* self) {
              static_cast<Impl*>(self)->shared_from_this()->RunDeferred();
            },
            this)) {}

  ~Impl() { Close(); }

  void Call(Request request, ResponseCallback done) {
    if (!connections_.valid()) {
      PostFailure(std::move(done));
      return;
    }
    auto call = std::make_unique<PendingCall>();
    call->owner = this;
    call->connection = connections_.Acquire(request.timeout);
    call->done = std::move(done);
    evhttp_request* native_request =
        evhttp_request_new(&Impl::OnDone, call.get());
    evhttp_request_set_error_cb(native_request, &Impl::OnError);
    evhttp_request_set_header_cb(native_request, &Impl::OnHead);
    FillHeaders(request, native_request);
    const auto command = kCommands[static_cast<size_t>(request.method)];
    PendingCall* key = call.get();
    key->overdue_event.reset(event_new(
        base_, -1, 0, [](evutil_socket_t, short, void* arg) { OnOverdue(arg); },
        key));
    const timeval limit = ToTimeval(request.timeout * kMaxTimeouts);
    event_add(key->overdue_event.get(), &limit);
    pending_calls_[key] = std::move(call);
    starting_call_ = key;
    const int result = evhttp_make_request(key->connection, native_request,
                                           command, request.target.c_str());
    // Null when libevent has reported the call as failed in the meantime.
    if (std::exchange(starting_call_, nullptr) && result != 0) {
      FailStart(key);
    }
  }

  // Aborts all calls without running their callbacks.
  void Close() {
    closed_ = true;
    failed_callbacks_.clear();
    connections_.FreeIdle();
    for (const auto& [key, call] : std::exchange(pending_calls_, {})) {
      connections_.Free(call->connection);
    }
    for (const FinishedCall& finished : std::exchange(finished_calls_, {})) {
      connections_.Free(finished.connection);
    }
  }

 private:
  struct PendingCall {
    Impl* owner = nullptr;
    evhttp_connection* connection = nullptr;
    ResponseCallback done;
    // Outcome that is reported when no answer arrives.
    Outcome failure = Outcome::kNotSent;
    bool head_complete = false;
    // Ends a call whose answer keeps arriving.
    EventPtr overdue_event;
  };

  // A connection whose call has completed.
  struct FinishedCall {
    evhttp_connection* connection;
    bool reusable;
  };

  void FillHeaders(const Request& request,
                   evhttp_request* native_request) const {
    evkeyvalq* headers = evhttp_request_get_output_headers(native_request);
    if (!request.headers.contains("Host")) {
      evhttp_add_header(headers, "Host", connections_.host().c_str());
    }
    for (const auto& [name, value] : request.headers)
      evhttp_add_header(headers, name.c_str(), value.c_str());
    if (!request.body.empty()) {
      evbuffer_add(evhttp_request_get_output_buffer(native_request),
                   request.body.data(), request.body.size());
    }
  }

  void PostFailure(ResponseCallback done) {
    failed_callbacks_.push_back(std::move(done));
    event_active(deferred_event_.get(), EV_TIMEOUT, 0);
  }

  // libevent calls this only for failures after the connection was established.
  static void OnError(evhttp_request_error error, void* arg) {
    auto* call = static_cast<PendingCall*>(arg);
    const bool body_too_large =
        error == EVREQ_HTTP_DATA_TOO_LONG && call->head_complete;
    call->failure = body_too_large ? Outcome::kTooLarge : Outcome::kNoAnswer;
  }

  static int OnHead(evhttp_request*, void* arg) {
    static_cast<PendingCall*>(arg)->head_complete = true;
    return 0;
  }

  static void OnDone(evhttp_request* native_request, void* arg) {
    auto* call = static_cast<PendingCall*>(arg);
    // The callback may destroy the client.
    const std::shared_ptr<Impl> self = call->owner->shared_from_this();
    if (call == self->starting_call_) {
      self->starting_call_ = nullptr;
      self->FailStart(call);
      return;
    }
    self->Complete(call, native_request);
  }

  // Ends a call that can't have a connection. Its callback runs from the loop,
  // not from within Call().
  void FailStart(PendingCall* key) {
    const auto node = pending_calls_.extract(key);
    finished_calls_.push_back({node.mapped()->connection, false});
    PostFailure(std::move(node.mapped()->done));
  }

  static void OnOverdue(void* arg) {
    auto* key = static_cast<PendingCall*>(arg);
    // The callback may destroy the client.
    const std::shared_ptr<Impl> self = key->owner->shared_from_this();
    const auto node = self->pending_calls_.extract(key);
    const PendingCall& call = *node.mapped();
    self->connections_.Reset(call.connection);
    Response response;
    response.outcome = Outcome::kNoAnswer;
    call.done(response);
  }

  void Complete(PendingCall* key, evhttp_request* native_request) {
    const auto node = pending_calls_.extract(key);
    const PendingCall& call = *node.mapped();
    Response response;
    response.outcome = call.failure;
    const int status =
        native_request ? evhttp_request_get_response_code(native_request) : 0;
    if (status != 0) {
      response.outcome = Outcome::kAnswered;
      response.status = status;
      const evkeyvalq* headers =
          evhttp_request_get_input_headers(native_request);
      for (evkeyval* at = headers->tqh_first; at; at = at->next.tqe_next)
        response.headers.emplace(at->key, at->value);
      response.body = ReadBody(native_request);
    }
    // The connection may not be freed or reused from inside its callback.
    finished_calls_.push_back({call.connection, status != 0});
    event_active(deferred_event_.get(), EV_TIMEOUT, 0);
    connections_.set_in_callback(call.connection);
    call.done(response);
    connections_.set_in_callback(nullptr);
  }

  void RunDeferred() {
    for (const FinishedCall& finished : std::exchange(finished_calls_, {})) {
      if (finished.reusable) {
        connections_.Release(finished.connection);
      } else {
        connections_.Reset(finished.connection);
      }
    }
    for (const ResponseCallback& done : std::exchange(failed_callbacks_, {})) {
      if (!closed_) {
        done(Response{});
      }
    }
  }

  event_base* const base_;
  ClientConnections connections_;
  bool closed_ = false;
  std::unordered_map<PendingCall*, std::unique_ptr<PendingCall>> pending_calls_;
  // The call that is being passed to libevent, until that has failed or has
  // returned.
  PendingCall* starting_call_ = nullptr;
  std::vector<FinishedCall> finished_calls_;
  std::vector<ResponseCallback> failed_callbacks_;
  // Processes `finished_calls_` and `failed_callbacks_` from the loop, outside
  // all callbacks.
  EventPtr deferred_event_;
};

Client::Client(event_base* base, std::string address)
    : impl_(std::make_shared<Impl>(base, address)) {}

Client::~Client() {
  impl_->Close();
}

void Client::Call(Request request, ResponseCallback done) {
  impl_->Call(std::move(request), std::move(done));
}

}  // namespace comfreystand::http
