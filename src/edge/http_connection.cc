#include "src/edge/http_connection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <utility>

#include "src/edge/compact_buffer.h"
#include "src/loop/reset_on_close.h"

namespace comfreystand::edge {
namespace {

constexpr size_t kMaxReadBytes = size_t{64} << 10;

std::string FormatAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" +
         std::to_string(ntohs(address.sin_port));
}

}  // namespace

bool ParseAddress(const std::string& text, sockaddr_in* address) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const char* end = text.data() + text.size();
  uint16_t port = 0;
  const auto result = std::from_chars(text.data() + colon + 1, end, port);
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons(port);
  return result.ec == std::errc() && result.ptr == end &&
         inet_pton(AF_INET, text.substr(0, colon).c_str(),
                   &address->sin_addr) == 1;
}

HttpConnection::HttpConnection(event_base* base,
                               const sockaddr_in& address,
                               const Timeouts& timeouts,
                               HttpConnectionDelegate* delegate)
    : base_(base),
      address_(address),
      host_(FormatAddress(address)),
      timeouts_(timeouts),
      delegate_(delegate) {}

HttpConnection::~HttpConnection() {
  FreeSocket();
}

void HttpConnection::FreeSocket() {
  if (bev_) {
    if (peer_watch_) {
      peer_watch_->Stop();
    }
    input_meter_.reset();
    output_meter_.reset();
    socket_charge_.Set(0);
    bufferevent_free(std::exchange(bev_, nullptr));
  }
}

void HttpConnection::SetAccount(const BufferAccountPtr& account) {
  if (bev_) {
    socket_charge_.Set(0);
    socket_charge_.SetAccount(account);
    input_meter_->SetAccount(account);
    output_meter_->SetAccount(account);
  }
}

void HttpConnection::MeasureSocket() {
  if (state_ == State::kOpen) {
    socket_charge_.Set(SocketBytes(bufferevent_getfd(bev_)));
  }
}

bool HttpConnection::Connect() {
  state_ = State::kConnecting;
  bev_ = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      bev_,
      [](bufferevent*, void* self) {
        static_cast<HttpConnection*>(self)->OnReadable();
      },
      [](bufferevent*, void* self) {
        static_cast<HttpConnection*>(self)->OnWritable();
      },
      [](bufferevent*, short events, void* self) {
        static_cast<HttpConnection*>(self)->OnEvent(events);
      },
      this);
  bufferevent_set_max_single_read(bev_, kMaxReadBytes);
  input_meter_ =
      std::make_unique<BufferMeter>(bufferevent_get_input(bev_), nullptr);
  output_meter_ =
      std::make_unique<BufferMeter>(bufferevent_get_output(bev_), nullptr,
                                    [this](size_t) { OnOutputRemoved(); });
  const timeval connect = ToTimeval(timeouts_.connect);
  bufferevent_set_timeouts(bev_, nullptr, &connect);
  return bufferevent_socket_connect(
             bev_, reinterpret_cast<const sockaddr*>(&address_),
             sizeof(address_)) == 0;
}

void HttpConnection::Start(Exchange* exchange,
                           evbuffer* request,
                           bool head_request) {
  exchange_ = exchange;
  request_begun_ = false;
  head_request_ = head_request;
  request_ended_ = false;
  wrote_since_timeout_ = false;
  skipped_bytes_ = 0;
  ResetAnswer();
  if (state_ == State::kOpen) {
    SetProgressTimeout(true);
  }
  Write(request);
}

void HttpConnection::Write(evbuffer* data) {
  if (bev_) {
    MoveCompact(bufferevent_get_output(bev_), data);
  }
}

void HttpConnection::Write(std::string_view data) {
  if (bev_) {
    bufferevent_write(bev_, data.data(), data.size());
  }
}

size_t HttpConnection::UnwrittenBytes() const {
  return bev_ ? evbuffer_get_length(bufferevent_get_output(bev_)) : 0;
}

void HttpConnection::PauseReading() {
  if (state_ == State::kOpen) {
    bufferevent_disable(bev_, EV_READ);
  }
}

void HttpConnection::ResumeReading() {
  if (state_ == State::kOpen) {
    bufferevent_enable(bev_, EV_READ);
  }
}

void HttpConnection::Close() {
  Fail(ExchangeFailure::kClosed);
}

void HttpConnection::SetProgressTimeout(bool enabled) {
  const timeval progress = ToTimeval(timeouts_.progress);
  bufferevent_set_timeouts(bev_, enabled ? &progress : nullptr, &progress);
}

void HttpConnection::OnEvent(short events) {
  if (events & BEV_EVENT_CONNECTED) {
    state_ = State::kOpen;
    if (exchange_ && !exchange_->IsStillWanted()) {
      Close();
      return;
    }
    const int on = 1;
    const int fd = bufferevent_getfd(bev_);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    // Fails the connection earlier than the progress timeout and the kernel's
    // retransmission timeout do.
    if (timeouts_.unacknowledged > Duration::zero()) {
      peer_watch_.emplace(base_, fd, timeouts_.unacknowledged,
                          [this] { Fail(ExchangeFailure::kBroken); });
    }
    SetProgressTimeout(exchange_ != nullptr);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    delegate_->OnConnected(this);
    return;
  }
  if (state_ == State::kConnecting) {
    Fail(events & BEV_EVENT_TIMEOUT ? ExchangeFailure::kConnectTimeout
                                    : ExchangeFailure::kConnectFailed);
    return;
  }
  // While the request is still being sent, a read timeout is not a failure.
  const bool sending_request = wrote_since_timeout_ || !request_ended_;
  if (events == (BEV_EVENT_TIMEOUT | BEV_EVENT_READING) && exchange_ &&
      sending_request) {
    wrote_since_timeout_ = false;
    bufferevent_enable(bev_, EV_READ);
    return;
  }
  if (events & BEV_EVENT_TIMEOUT) {
    Fail(exchange_ ? ExchangeFailure::kProgressTimeout
                   : ExchangeFailure::kBroken);
    return;
  }
  const bool ends_body =
      head_done_ && !skipping_answer_ &&
      (body_.end() == BodyEnd::kClose || body_.content_complete());
  if (exchange_ && ends_body && (events & BEV_EVENT_EOF) != 0) {
    keep_alive_ = false;
    FinishExchange();
    return;
  }
  Fail(ExchangeFailure::kBroken);
}

void HttpConnection::OnOutputRemoved() {
  wrote_since_timeout_ = true;
  if (peer_watch_) {
    peer_watch_->OnWritten();
  }
  if (request_begun_ || !exchange_ || state_ != State::kOpen) {
    return;
  }
  request_begun_ = true;
  exchange_->OnFirstByteWritten();
}

void HttpConnection::OnWritable() {
  if (exchange_ && state_ == State::kOpen) {
    exchange_->OnWriteFlushed();
  }
}

void HttpConnection::FinishExchange() {
  Exchange* exchange = exchange_;
  // If the answer arrived before the whole request was sent, the connection
  // is in the middle of a message and can't be reused.
  const bool reusable = keep_alive_ && request_ended_ && UnwrittenBytes() == 0;
  exchange_ = nullptr;
  SetProgressTimeout(false);
  SetAccount(nullptr);
  exchange->OnAnswerComplete();
  if (state_ != State::kOpen) {
    return;
  }
  if (reusable) {
    bufferevent_enable(bev_, EV_READ);
    delegate_->OnIdle(this);
  } else {
    Fail(ExchangeFailure::kClosed);
  }
}

void HttpConnection::Fail(ExchangeFailure failure) {
  if (state_ == State::kClosed) {
    return;
  }
  if (parsing_) {
    close_after_parsing_ = true;
    return;
  }
  if (exchange_ && state_ == State::kOpen) {
    // The request is given up, so it must not arrive later.
    EnableResetOnClose(bufferevent_getfd(bev_));
  }
  state_ = State::kClosed;
  input_meter_.reset();
  output_meter_.reset();
  // A bufferevent that is freed in its own callback still sends what it has,
  // unless writing is disabled.
  bufferevent_disable(bev_, EV_READ | EV_WRITE);
  FreeSocket();
  Exchange* exchange = exchange_;
  exchange_ = nullptr;
  if (exchange) {
    exchange->OnExchangeFailed(failure, request_begun_);
  }
  delegate_->OnClosed(this, failure);
}

}  // namespace comfreystand::edge
