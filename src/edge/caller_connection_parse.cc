#include <algorithm>
#include <utility>

#include "src/edge/caller_connection.h"
#include "src/edge/parse_piece.h"

// From the bytes of a caller's connection to requests.
namespace comfreystand::edge {
namespace {

CallerConnection* Self(htparser* parser) {
  return static_cast<CallerConnection*>(htparser_get_userdata(parser));
}

}  // namespace

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
  parsing_ = true;
  const auto [size, parsed] =
      ParseFirstPiece(parser_.get(), ParserHooks(), input);
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
      parsed < size) {
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
      self->incoming_->head.headers.back().value += TrimSpace({data, size});
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

}  // namespace comfreystand::edge
