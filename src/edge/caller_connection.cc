#include "src/edge/caller_connection.h"

#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::edge {
namespace {

constexpr size_t kReadBytes = size_t{64} << 10;
// Requests of one connection that are under way at once.
constexpr size_t kMaxPipelined = 32;
constexpr std::chrono::seconds kLingerTime{1};

bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

CallerConnection* Self(htparser* parser) {
  return static_cast<CallerConnection*>(htparser_get_userdata(parser));
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Makes a close visible to the caller as an error, even where the end of the
// connection would end the answer.
void ResetOnClose(int fd) {
  const linger reset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

}  // namespace

CallerConnection::CallerConnection(event_base* base,
                                   int fd,
                                   uint32_t address,
                                   const CallerBounds& bounds,
                                   CallerOwner* owner)
    : base_(base),
      address_(address),
      bounds_(bounds),
      owner_(owner),
      bev_(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)),
      timer_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<CallerConnection*>(self)->OnTimer();
          },
          this)),
      parser_(htparser_new(), &std::free) {
  htparser_init(parser_.get(), htp_type_request);
  htparser_set_userdata(parser_.get(), this);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_setcb(
      bev_,
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->OnReadable();
      },
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->OnWritable();
      },
      [](bufferevent*, short events, void* self) {
        static_cast<CallerConnection*>(self)->OnEvent(events);
      },
      this);
  bufferevent_set_max_single_read(bev_, kReadBytes);
  bufferevent_setwatermark(bev_, EV_READ, 0, kReadBytes);
  const timeval write = ToTimeval(bounds_.progress_timeout);
  bufferevent_set_timeouts(bev_, nullptr, &write);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  SetTimer();
}

CallerConnection::~CallerConnection() {
  if (bev_) {
    bufferevent_free(bev_);
  }
}

void CallerConnection::SetTimer() {
  Duration wait = kLingerTime;
  if (state_ == State::kOpen && paused_) {
    event_del(timer_.get());
    return;
  }
  if (state_ != State::kLingering) {
    if (head_begun_ || line_begun_) {
      wait = bounds_.header_timeout;
    } else if (ReadsBody()) {
      wait = bounds_.progress_timeout;
    } else if (replies_.empty()) {
      wait = bounds_.idle_timeout;
    } else {
      event_del(timer_.get());
      return;
    }
  }
  const timeval delay = ToTimeval(wait);
  event_add(timer_.get(), &delay);
}

void CallerConnection::OnTimer() {
  if (state_ == State::kOpen && ReadsBody()) {
    owner_->OnCallerTimeout();
  }
  Close();
}

void CallerConnection::OnReadable() {
  evbuffer* input = bufferevent_get_input(bev_);
  while (bev_ && evbuffer_get_length(input) > 0) {
    if (state_ != State::kOpen) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    if (paused_ || (!ReadsBody() && !TakesRequests())) {
      return;
    }
    if (AwaitsRequestLine(input)) {
      return;
    }
    const bool reads_on = ParseSome(input);
    if (std::exchange(advance_pending_, false)) {
      Advance();
    }
    if (!reads_on) {
      break;
    }
  }
  if (close_pending_) {
    close_pending_ = false;
    Break();
  }
}

// Whether the next request's line has not arrived whole. libevhtp's parser
// repeats a byte of the target where its input ends in the middle of it, so it
// gets the line in one piece.
bool CallerConnection::AwaitsRequestLine(evbuffer* input) {
  if (head_begun_ || ReadsBody()) {
    return false;
  }
  // Empty lines before a request say nothing.
  char first = 0;
  while (evbuffer_copyout(input, &first, 1) == 1 &&
         (first == '\r' || first == '\n')) {
    evbuffer_drain(input, 1);
  }
  size_t length = 0;
  const evbuffer_ptr end =
      evbuffer_search_eol(input, nullptr, &length, EVBUFFER_EOL_CRLF);
  if (end.pos >= 0) {
    line_begun_ = false;
    evbuffer_pullup(input, end.pos + static_cast<ev_ssize_t>(length));
    return false;
  }
  if (evbuffer_get_length(input) > bounds_.header_bytes) {
    return false;
  }
  if (!line_begun_ && evbuffer_get_length(input) > 0) {
    line_begun_ = true;
    SetTimer();
  }
  return true;
}

// Feeds the parser with the first piece of `input`. Returns false when the
// connection reads no further requests.
bool CallerConnection::ParseSome(evbuffer* input) {
  evbuffer_iovec piece;
  evbuffer_peek(input, -1, nullptr, &piece, 1);
  parsing_ = true;
  const size_t parsed = std::min(
      htparser_run(parser_.get(), const_cast<htparse_hooks*>(&ParserHooks()),
                   static_cast<const char*>(piece.iov_base), piece.iov_len),
      piece.iov_len);
  parsing_ = false;
  if (close_pending_) {
    return false;
  }
  if (message_complete_) {
    message_complete_ = false;
    evbuffer_drain(input, parsed);
    htparser_init(parser_.get(), htp_type_request);
    htparser_set_userdata(parser_.get(), this);
    OnMessageComplete();
    return state_ == State::kOpen;
  }
  const htpparse_error error = htparser_get_error(parser_.get());
  if (headers_too_large_ || bad_framing_ || error != htparse_error_none ||
      parsed < piece.iov_len) {
    // The parser calls a bad length too big, as it does headers.
    const bool at_length =
        incoming_ && !incoming_->head.headers.empty() &&
        EqualNames(incoming_->head.headers.back().name, "Content-Length");
    OnBad(headers_too_large_ || (error == htparse_error_too_big && !at_length));
    return false;
  }
  evbuffer_drain(input, parsed);
  if (ReadsBody()) {
    SetTimer();
  }
  return state_ == State::kOpen;
}

const htparse_hooks& CallerConnection::ParserHooks() {
  static const htparse_hooks kHooks = [] {
    htparse_hooks hooks = {};
    hooks.on_msg_begin = [](htparser* parser) {
      Self(parser)->OnHeadBegin();
      return 0;
    };
    hooks.method = [](htparser* parser, const char* data, size_t size) {
      Self(parser)->incoming_->head.method.append(data, size);
      return 0;
    };
    hooks.path = [](htparser* parser, const char* data, size_t size) {
      Self(parser)->incoming_->head.path.append(data, size);
      return 0;
    };
    hooks.args = [](htparser* parser, const char* data, size_t size) {
      // Called for an empty query too.
      RequestHead& head = Self(parser)->incoming_->head;
      head.query.append(data, size);
      head.has_query = true;
      return 0;
    };
    hooks.hdr_key = [](htparser* parser, const char* data, size_t size) {
      CallerConnection* self = Self(parser);
      if (self->ReadsBody()) {
        // Trailers are not relayed.
        return 0;
      }
      self->incoming_->head.headers.push_back({std::string(data, size), {}});
      self->header_bytes_ += size;
      return 0;
    };
    hooks.hdr_val = [](htparser* parser, const char* data, size_t size) {
      CallerConnection* self = Self(parser);
      if (self->ReadsBody() || self->incoming_->head.headers.empty()) {
        return 0;
      }
      self->incoming_->head.headers.back().value += Trim({data, size});
      self->header_bytes_ += size;
      self->headers_too_large_ =
          self->header_bytes_ > self->bounds_.header_bytes;
      return self->headers_too_large_ ? -1 : 0;
    };
    hooks.on_hdrs_complete = [](htparser* parser) {
      CallerConnection* self = Self(parser);
      return self->ReadsBody() ? 0 : self->OnHeadComplete();
    };
    hooks.body = [](htparser* parser, const char* data, size_t size) {
      Self(parser)->OnBody(data, size);
      return Self(parser)->close_pending_ ? -1 : 0;
    };
    hooks.on_msg_complete = [](htparser* parser) {
      Self(parser)->message_complete_ = true;
      return -1;
    };
    return hooks;
  }();
  return kHooks;
}

void CallerConnection::OnHeadBegin() {
  incoming_ = std::make_unique<Reply>();
  header_bytes_ = 0;
  head_begun_ = true;
  SetTimer();
}

// Reads how the body is framed. Returns false when that is ambiguous.
bool CallerConnection::ReadFraming() {
  RequestHead& head = incoming_->head;
  int lengths = 0;
  bool chunked = false;
  for (const HeaderField& field : head.headers) {
    if (EqualNames(field.name, "Content-Length")) {
      ++lengths;
      if (!ParseInteger(field.value, &head.content_length) ||
          head.content_length < 0) {
        return false;
      }
    } else if (EqualNames(field.name, "Transfer-Encoding")) {
      if (chunked || !EqualNames(field.value, "chunked")) {
        return false;
      }
      chunked = true;
    }
  }
  if (lengths > 1 || (lengths == 1 && chunked)) {
    return false;
  }
  if (chunked) {
    head.content_length = -1;
  }
  return true;
}

int CallerConnection::OnHeadComplete() {
  RequestHead& head = incoming_->head;
  head.http11 = htparser_get_minor(parser_.get()) >= 1;
  head.caller_address = address_;
  head.target = head.has_query ? head.path + "?" + head.query : head.path;
  if (!ReadFraming()) {
    bad_framing_ = true;
    return -1;
  }
  head_begun_ = false;
  replies_.push_back(std::move(incoming_));
  reading_ = replies_.back().get();
  reading_->close_after =
      htparser_should_keep_alive(parser_.get()) == 0 || !reading_->head.http11;
  SetTimer();
  owner_->OnRequestHead(this, reading_);
  return close_pending_ ? -1 : 0;
}

void CallerConnection::OnBody(const char* data, size_t size) {
  if (!reading_) {
    return;
  }
  reading_->body_bytes += size;
  if (reading_->reader && !reading_->finished) {
    const BufferPtr part = NewBuffer();
    evbuffer_add(part.get(), data, size);
    reading_->reader->OnRequestBody(part.get());
  }
}

void CallerConnection::OnMessageComplete() {
  Reply* reply = std::exchange(reading_, nullptr);
  if (!reply) {
    return;
  }
  reply->read_complete = true;
  if (reply->reader && !reply->finished) {
    reply->reader->OnRequestComplete();
  }
  Advance();
}

void CallerConnection::OnBad(bool too_large) {
  const CallerFault fault =
      too_large ? CallerFault::kHeadersTooLarge : CallerFault::kMalformed;
  Reply* reply = nullptr;
  if (ReadsBody()) {
    reply = reading_;
    reading_ = nullptr;
  } else {
    if (!incoming_) {
      incoming_ = std::make_unique<Reply>();
    }
    replies_.push_back(std::move(incoming_));
    reply = replies_.back().get();
  }
  head_begun_ = false;
  reply->read_complete = true;
  reply->close_after = true;
  evbuffer* input = bufferevent_get_input(bev_);
  evbuffer_drain(input, evbuffer_get_length(input));
  state_ = State::kClosing;
  SetTimer();
  owner_->OnBadRequest(this, reply, fault);
}

void CallerConnection::Write(Reply* reply, evbuffer* data) {
  if (!bev_) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  const bool first = !replies_.empty() && replies_.front().get() == reply;
  evbuffer_add_buffer(first ? bufferevent_get_output(bev_) : reply->held.get(),
                      data);
}

void CallerConnection::Write(Reply* reply, std::string_view text) {
  if (!bev_) {
    return;
  }
  const bool first = !replies_.empty() && replies_.front().get() == reply;
  evbuffer_add(first ? bufferevent_get_output(bev_) : reply->held.get(),
               text.data(), text.size());
}

size_t CallerConnection::UnsentBytes(const Reply* reply) const {
  const bool first = !replies_.empty() && replies_.front().get() == reply;
  const evbuffer* buffer =
      first && bev_ ? bufferevent_get_output(bev_) : reply->held.get();
  return evbuffer_get_length(buffer);
}

// Only the last answer ends the connection: requests behind it may have been
// handed out already.
bool CallerConnection::MayKeepAlive(Reply* reply) {
  if (close_after_answers_ && replies_.back().get() == reply) {
    reply->close_after = true;
  }
  return !reply->close_after;
}

bool CallerConnection::TakesRequests() const {
  return replies_.size() < kMaxPipelined &&
         (replies_.empty() || !replies_.back()->close_after);
}

void CallerConnection::Finish(Reply* reply) {
  reply->finished = true;
  if (parsing_) {
    advance_pending_ = true;
    return;
  }
  Advance();
}

// Sends what is ready, in order, and lets go of what is done.
void CallerConnection::Advance() {
  while (!replies_.empty() && state_ != State::kClosed) {
    Reply* front = replies_.front().get();
    if (bev_) {
      evbuffer_add_buffer(bufferevent_get_output(bev_), front->held.get());
    }
    if (!front->finished) {
      break;
    }
    if (front->close_after) {
      Linger();
      return;
    }
    if (!front->read_complete) {
      break;
    }
    const std::unique_ptr<Reply> done = std::move(replies_.front());
    replies_.pop_front();
    Done(done.get());
  }
  if (state_ != State::kOpen) {
    return;
  }
  if (close_when_idle_ && idle()) {
    Linger();
    return;
  }
  SetTimer();
  // Requests that waited for their turn to be parsed.
  if (bev_ && !paused_ && !parsing_ &&
      evbuffer_get_length(bufferevent_get_input(bev_)) > 0) {
    bufferevent_trigger(bev_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

void CallerConnection::Done(Reply* reply) {
  if (RequestReader* reader = std::exchange(reply->reader, nullptr)) {
    reader->OnReplyDone();
  }
}

// Drops the requests that are still under way.
void CallerConnection::Drain() {
  reading_ = nullptr;
  while (!replies_.empty()) {
    const std::unique_ptr<Reply> reply = std::move(replies_.front());
    replies_.pop_front();
    RequestReader* reader = std::exchange(reply->reader, nullptr);
    if (!reader) {
      continue;
    }
    if (reply->finished) {
      reader->OnReplyDone();
    } else {
      reader->OnCallerGone();
    }
  }
}

// Sends what is left, ends our side and reads on, so that the kernel doesn't
// reset the connection before the answer was read.
void CallerConnection::Linger() {
  state_ = State::kClosing;
  Drain();
  if (!bev_) {
    return;
  }
  bufferevent_enable(bev_, EV_READ);
  if (evbuffer_get_length(bufferevent_get_output(bev_)) == 0) {
    OnWritable();
  }
}

void CallerConnection::OnWritable() {
  if (state_ == State::kClosing && replies_.empty()) {
    state_ = State::kLingering;
    shutdown(bufferevent_getfd(bev_), SHUT_WR);
    SetTimer();
    return;
  }
  if (!replies_.empty() && replies_.front()->reader &&
      !replies_.front()->finished) {
    replies_.front()->reader->OnReplyDrained();
  }
}

void CallerConnection::OnEvent(short events) {
  if ((events & BEV_EVENT_ERROR) != 0 && state_ == State::kOpen) {
    owner_->OnCallerReset();
  }
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    Close();
  }
}

void CallerConnection::Break() {
  if (state_ == State::kClosed) {
    return;
  }
  if (parsing_) {
    close_pending_ = true;
    return;
  }
  ResetOnClose(bufferevent_getfd(bev_));
  Close();
}

void CallerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  event_del(timer_.get());
  bufferevent_free(bev_);
  bev_ = nullptr;
  Drain();
  owner_->OnCallerClosed(this);
}

void CallerConnection::PauseReading() {
  if (!paused_ && bev_) {
    paused_ = true;
    bufferevent_disable(bev_, EV_READ);
    SetTimer();
  }
}

void CallerConnection::ResumeReading() {
  if (paused_ && bev_) {
    paused_ = false;
    bufferevent_enable(bev_, EV_READ);
    SetTimer();
    bufferevent_trigger(bev_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

void CallerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (state_ == State::kOpen && idle()) {
    Linger();
  }
}

}  // namespace comfreystand::edge
