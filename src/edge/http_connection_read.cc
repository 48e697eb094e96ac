#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "comfreystand/limits.h"
#include "src/edge/first_piece.h"
#include "src/edge/http_connection.h"

// Answers read from a connection to a backend server.
namespace comfreystand::edge {
namespace {

constexpr int kMinFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr size_t kLineEndBytes = 2;

}  // namespace

void HttpConnection::ResetAnswer() {
  lines_ = LineReader();
  head_ = AnswerHead();
  answer_begun_ = false;
  head_done_ = false;
  head_bytes_ = 0;
  keep_alive_ = true;
  skipping_answer_ = false;
}

void HttpConnection::OnReadable() {
  evbuffer* input = bufferevent_get_input(bev_);
  while (state_ == State::kOpen && evbuffer_get_length(input) > 0) {
    if (!exchange_) {
      Fail(ExchangeFailure::kMalformed);
      return;
    }
    answer_begun_ = true;
    const bool can_continue = head_done_ ? ReadBody(input) : ReadHead(input);
    if (!can_continue) {
      return;
    }
  }
}

bool HttpConnection::ReadHead(evbuffer* input) {
  std::string line;
  const LineReader::Result result =
      lines_.Next(input, limits::kMaxAnswerHeadBytes - head_bytes_, &line);
  if (result == LineReader::Result::kIncomplete &&
      (head_.status != 0 || MayBeginStatusLine(FirstPiece(input)))) {
    return false;
  }
  head_bytes_ += line.size() + kLineEndBytes;
  parsing_ = true;
  const bool valid = result == LineReader::Result::kLine && OnHeadLine(line);
  parsing_ = false;
  if (close_after_parsing_) {
    Fail(ExchangeFailure::kClosed);
    return false;
  }
  if (!valid) {
    Fail(ExchangeFailure::kMalformed);
    return false;
  }
  return head_done_ && body_.complete() ? OnAnswerEnd(input) : true;
}

bool HttpConnection::OnHeadLine(const std::string& line) {
  if (head_.status == 0) {
    StatusLine status_line;
    const bool valid = ParseStatusLine(line, &status_line);
    head_.status = status_line.status;
    http11_ = status_line.http11;
    return valid;
  }
  if (line.empty()) {
    return OnHeadComplete();
  }
  return ParseFieldLine(line, &head_.headers.emplace_back());
}

bool HttpConnection::ReadBody(evbuffer* input) {
  std::array<char, kMaxJoinedBytes> space;
  const BodyPiece piece = body_.ReadJoined(FirstPiece(input), space);
  if (!skipping_answer_ && !piece.content.empty()) {
    parsing_ = true;
    exchange_->OnAnswerBody(piece.content.data(), piece.content.size());
    parsing_ = false;
  }
  if (close_after_parsing_) {
    Fail(ExchangeFailure::kClosed);
    return false;
  }
  const bool too_much_framing =
      body_.framing_bytes() > limits::kMaxAnswerHeadBytes;
  if (too_much_framing && body_.content_complete() && !skipping_answer_) {
    // Trailers without end.
    keep_alive_ = false;
    FinishExchange();
    return false;
  }
  if (body_.malformed() || too_much_framing) {
    Fail(ExchangeFailure::kMalformed);
    return false;
  }
  if (skipping_answer_) {
    skipped_bytes_ += piece.size;
    if (!MaySkipMore()) {
      return false;
    }
  }
  evbuffer_drain(input, piece.size);
  return body_.complete() ? OnAnswerEnd(input) : true;
}

// Gives the connection up when too much of earlier answers has been skipped.
bool HttpConnection::MaySkipMore() {
  const bool skippable = skipped_bytes_ <= limits::kMaxSkippedAnswerBytes;
  if (!skippable) {
    Fail(ExchangeFailure::kBroken);
  }
  return skippable;
}

bool HttpConnection::OnAnswerEnd(evbuffer* input) {
  if (skipping_answer_) {
    skipped_bytes_ += head_bytes_;
    ResetAnswer();
    return MaySkipMore();
  }
  keep_alive_ = keep_alive_ && evbuffer_get_length(input) == 0;
  FinishExchange();
  return false;
}

void HttpConnection::ReadKeepAliveTimeout() {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string* value = head_.Find("Keep-Alive");
  const size_t at = value ? value->find(kTimeout) : std::string::npos;
  if (at == std::string::npos) {
    return;
  }
  int64_t seconds = 0;
  std::from_chars(value->data() + at + kTimeout.size(),
                  value->data() + value->size(), seconds);
  keep_alive_timeout_ = std::chrono::seconds(seconds);
}

bool HttpConnection::OnHeadComplete() {
  DeclaredBody declared;
  // No request sent here allows interim answers (1xx) or protocol upgrades.
  if (!ReadDeclaredBody(head_.headers, &declared) ||
      head_.status < kMinFinalStatus) {
    return false;
  }
  head_done_ = true;
  keep_alive_ = KeepsAlive(http11_, head_.headers);
  head_.content_length = declared.length;
  head_.no_body = head_request_ || head_.status == kNoContent ||
                  head_.status == kNotModified;
  StartBody(declared);
  if (!exchange_->IsMatchingAnswer(head_)) {
    skipping_answer_ = true;
    // Without a known length the start of the expected answer can't be found.
    return body_.end() != BodyEnd::kClose && keep_alive_;
  }
  ReadKeepAliveTimeout();
  exchange_->OnAnswerHead(std::move(head_));
  return true;
}

void HttpConnection::StartBody(const DeclaredBody& declared) {
  if (head_.no_body) {
    body_.Start(BodyEnd::kLength, 0);
  } else if (declared.chunked) {
    body_.Start(BodyEnd::kChunks, 0);
  } else if (declared.length >= 0) {
    body_.Start(BodyEnd::kLength, declared.length);
  } else {
    body_.Start(BodyEnd::kClose, 0);
  }
}

}  // namespace comfreystand::edge
