#include <algorithm>
#include <array>
#include <utility>

#include "src/edge/caller_connection.h"
#include "src/edge/first_piece.h"

// Request parsing of CallerConnection.
namespace comfreystand::edge {
namespace {

// Of a header line, beside the name and the value.
constexpr size_t kSeparatorBytes = 4;

// The path and query of a request target, which may be a whole URI (RFC 9112,
// section 3.2).
std::string_view PathOf(std::string_view target) {
  constexpr std::string_view kSchemeEnd = "://";
  const size_t scheme_end = std::min(target.find(kSchemeEnd), target.size());
  const std::string_view scheme = target.substr(0, scheme_end);
  if (!EqualNames(scheme, "http") && !EqualNames(scheme, "https")) {
    return target;
  }
  const size_t path = target.find('/', scheme_end + kSchemeEnd.size());
  return path == std::string_view::npos ? "/" : target.substr(path);
}

}  // namespace

// Empty lines before a request are ignored (RFC 9112, section 2.2).
void CallerConnection::SkipEmptyLines(evbuffer* input) {
  char first = 0;
  while (evbuffer_copyout(input, &first, 1) == 1 &&
         (first == '\r' || first == '\n')) {
    evbuffer_drain(input, 1);
  }
}

void CallerConnection::OnPartOfRequestLine() {
  if (!request_line_begun_) {
    request_line_begun_ = true;
    phase_since_ = SystemClock().Now();
    SetTimer();
  }
}

bool CallerConnection::ReadHead(evbuffer* input) {
  if (!head_begun_) {
    SkipEmptyLines(input);
    if (evbuffer_get_length(input) == 0) {
      return false;
    }
  }
  std::string line;
  const LineReader::Result result =
      lines_.Next(input, limits_.header_bytes + kSeparatorBytes, &line);
  if (result == LineReader::Result::kIncomplete) {
    if (!head_begun_) {
      OnPartOfRequestLine();
    }
    return false;
  }
  const bool too_large = result == LineReader::Result::kTooLong;
  parsing_ = true;
  const bool valid = result == LineReader::Result::kLine && OnHeadLine(line);
  parsing_ = false;
  if (abort_pending_) {
    return false;
  }
  if (!valid || header_bytes_ > limits_.header_bytes) {
    OnParseError(too_large || header_bytes_ > limits_.header_bytes);
    return false;
  }
  if (IsReadingBody() && body_.complete()) {
    OnMessageComplete();
  }
  return state_ == State::kOpen;
}

bool CallerConnection::OnHeadLine(const std::string& line) {
  if (!head_begun_) {
    OnHeadBegin();
    return OnRequestLine(line);
  }
  return line.empty() ? OnHeadComplete() : OnFieldLine(line);
}

bool CallerConnection::OnRequestLine(std::string_view line) {
  RequestLine request_line;
  if (!ParseRequestLine(line, &request_line)) {
    return false;
  }
  RequestHead& head = incoming_reply_->head;
  head.method = request_line.method;
  head.target = PathOf(request_line.target);
  head.http11 = request_line.http11;
  const size_t query = head.target.find('?');
  head.has_query = query != std::string::npos;
  head.path = head.target.substr(0, query);
  head.query = head.has_query ? head.target.substr(query + 1) : "";
  BufferCharge& charge = incoming_reply_->head_charge;
  charge.Set(charge.bytes() + 2 * head.target.size());
  return true;
}

bool CallerConnection::OnFieldLine(std::string_view line) {
  HeaderField field;
  if (!ParseFieldLine(line, &field)) {
    return false;
  }
  const size_t size = field.name.size() + field.value.size();
  header_bytes_ += size;
  BufferCharge& charge = incoming_reply_->head_charge;
  // A vector that grows takes up to twice its size.
  charge.Set(charge.bytes() + 2 * sizeof(HeaderField) + size);
  incoming_reply_->head.headers.push_back(std::move(field));
  return true;
}

bool CallerConnection::ReadBody(evbuffer* input) {
  std::array<char, kMaxJoinedBytes> space;
  const BodyPiece piece = body_.ReadJoined(FirstPiece(input), space);
  parsing_ = true;
  OnBody(piece.content);
  parsing_ = false;
  if (abort_pending_) {
    return false;
  }
  if (body_.malformed() || body_.framing_bytes() > limits_.header_bytes) {
    OnParseError(false);
    return false;
  }
  evbuffer_drain(input, piece.size);
  if (body_.complete()) {
    OnMessageComplete();
  } else {
    SetTimer();
  }
  return state_ == State::kOpen;
}

void CallerConnection::OnHeadBegin() {
  incoming_reply_ = std::make_unique<Reply>(account_);
  header_bytes_ = 0;
  phase_since_ = SystemClock().Now();
  request_line_begun_ = false;
  head_begun_ = true;
  SetTimer();
}

bool CallerConnection::OnHeadComplete() {
  RequestHead& head = incoming_reply_->head;
  head.caller_address = address_;
  DeclaredBody declared;
  if (!ReadDeclaredBody(head.headers, &declared)) {
    return false;
  }
  body_.Start(declared.chunked ? BodyEnd::kChunks : BodyEnd::kLength,
              declared.length);
  head.content_length =
      declared.chunked ? -1 : std::max<int64_t>(0, declared.length);
  head_begun_ = false;
  replies_.push_back(std::move(incoming_reply_));
  reading_reply_ = replies_.back().get();
  // A kept connection is not offered to callers of HTTP/1.0.
  reading_reply_->close_after = !reading_reply_->head.http11 ||
                                !KeepsAlive(true, reading_reply_->head.headers);
  SetTimer();
  phase_since_ = SystemClock().Now();
  // The lines to forward are a copy.
  BufferCharge& charge = reading_reply_->head_charge;
  charge.Set(charge.bytes() + header_bytes_ + head.target.size());
  delegate_->OnRequestHead(this, reading_reply_);
  return true;
}

void CallerConnection::OnBody(std::string_view content) {
  if (content.empty() || !reading_reply_) {
    return;
  }
  reading_reply_->body_bytes += content.size();
  progress_.Add(SystemClock().Now(), content.size());
  if (reading_reply_->handler && !reading_reply_->finished) {
    reading_reply_->handler->OnRequestBody(content);
  }
}

void CallerConnection::OnMessageComplete() {
  Reply* reply = std::exchange(reading_reply_, nullptr);
  if (!reply) {
    return;
  }
  reply->read_complete = true;
  if (reply->handler && !reply->finished) {
    reply->handler->OnRequestComplete();
  }
  SendReadyReplies();
}

void CallerConnection::OnParseError(bool too_large) {
  const CallerFault fault =
      too_large ? CallerFault::kHeadersTooLarge : CallerFault::kMalformed;
  Reply* reply = nullptr;
  if (IsReadingBody()) {
    reply = reading_reply_;
    reading_reply_ = nullptr;
  } else {
    if (!incoming_reply_) {
      incoming_reply_ = std::make_unique<Reply>(account_);
    }
    replies_.push_back(std::move(incoming_reply_));
    reply = replies_.back().get();
  }
  head_begun_ = false;
  request_line_begun_ = false;
  reply->read_complete = true;
  reply->close_after = true;
  evbuffer* input = bufferevent_get_input(bev_);
  evbuffer_drain(input, evbuffer_get_length(input));
  state_ = State::kClosing;
  SetTimer();
  delegate_->OnBadRequest(this, reply, fault);
}

}  // namespace comfreystand::edge
