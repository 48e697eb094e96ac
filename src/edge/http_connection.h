#ifndef COMFREYSTAND_SRC_EDGE_HTTP_CONNECTION_H_
#define COMFREYSTAND_SRC_EDGE_HTTP_CONNECTION_H_

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/relay_protocol.h"
#include "src/edge/body_reader.h"
#include "src/edge/buffer_budget.h"
#include "src/edge/message_lines.h"
#include "src/edge/peer_watch.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// Why an exchange ended without a complete answer.
enum class ExchangeFailure : uint8_t {
  kConnectFailed,
  // No connection was established within the connect timeout.
  kConnectTimeout,
  // The peer closed or reset the connection.
  kBroken,
  // The peer sent bytes that are no HTTP/1.1 answer, or that nothing asked for.
  kMalformed,
  // No byte was read or written for the progress timeout.
  kProgressTimeout,
  // The connection was closed locally.
  kClosed,
};

// Receives the events of one request and its answer on a connection. None of
// the calls may destroy the connection.
class Exchange {
 public:
  virtual ~Exchange() = default;
  // Asked when the connection has been established, before the request is sent.
  // If not, the connection is closed.
  virtual bool IsStillWanted() { return true; }
  // The first byte of the request was written to the connected socket.
  virtual void OnFirstByteWritten() = 0;
  // The output buffer is empty; more may be written.
  virtual void OnWriteFlushed() {}
  // Whether the answer belongs to this exchange. One that belongs to an earlier
  // request is skipped.
  virtual bool IsMatchingAnswer(const AnswerHead& head) { return true; }
  virtual void OnAnswerHead(AnswerHead head) = 0;
  virtual void OnAnswerBody(const char* data, size_t size) = 0;
  // Last call of a successful exchange.
  virtual void OnAnswerComplete() = 0;
  // Last call of a failed exchange. `written` is true when a byte of the
  // request was written to the socket.
  virtual void OnExchangeFailed(ExchangeFailure failure, bool written) = 0;
};

class HttpConnection;

// Implemented by the owner of the connections, such as a connection pool.
class HttpConnectionDelegate {
 public:
  virtual ~HttpConnectionDelegate() = default;
  virtual void OnConnected(HttpConnection* connection) = 0;
  // The exchange is complete and another one may start.
  virtual void OnIdle(HttpConnection* connection) = 0;
  // The connection is closed. It must not be destroyed inside this call.
  virtual void OnClosed(HttpConnection* connection,
                        ExchangeFailure failure) = 0;
};

// One HTTP/1.1 client connection over libevent. Carries one exchange at a time.
class HttpConnection {
 public:
  struct Timeouts {
    Duration connect;
    Duration progress;
    // The connection fails when sent bytes are not acknowledged for this long;
    // zero: no limit. A peer that acknowledges but reads slowly does not fail.
    Duration unacknowledged;
  };

  HttpConnection(event_base* base,
                 const sockaddr_in& address,
                 const Timeouts& timeouts,
                 HttpConnectionDelegate* delegate);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Starts connecting. Returns false when no socket could be opened; all other
  // failures are reported from the loop.
  bool Connect();

  // Counts the bytes of the next exchange in `account`, which may be null.
  void SetAccount(const BufferAccountPtr& account);
  // Counts what the socket holds at the moment.
  void MeasureSocket();

  // Starts an exchange with the first part of a request, or all of it. The
  // bytes are sent once the connection is established.
  void Start(Exchange* exchange, evbuffer* request, bool head_request);

  // Append to the current request. The first removes all bytes from `data`.
  void Write(evbuffer* data);
  void Write(std::string_view data);
  // Marks the request as complete. From here on the progress timeout applies to
  // the answer.
  void EndRequest() { request_ended_ = true; }
  size_t UnwrittenBytes() const;

  void PauseReading();
  void ResumeReading();

  // Closes the connection. The current exchange, if any, fails with kClosed.
  void Close();

  bool IsIdle() const { return state_ == State::kOpen && !exchange_; }
  bool IsClosed() const { return state_ == State::kClosed; }
  bool connected() const { return state_ == State::kOpen; }
  // Idle time after which the peer closes the connection, from its Keep-Alive
  // header; zero when it sent none.
  Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  // Whether any byte of the current exchange's answer has arrived.
  bool answer_begun() const { return answer_begun_; }
  // Address of the peer, "a.b.c.d:port".
  const std::string& host() const { return host_; }

 private:
  enum class State : uint8_t { kNew, kConnecting, kOpen, kClosed };

  void OnReadable();
  void OnEvent(short events);
  void OnWritable();
  void OnOutputRemoved();
  // Read the next line of a head, or the first contiguous piece of a body.
  // Return false when no further input can be read.
  bool ReadHead(evbuffer* input);
  bool ReadBody(evbuffer* input);
  // Return false when the answer is malformed.
  bool OnHeadLine(const std::string& line);
  bool OnHeadComplete();
  bool MaySkipMore();
  // The last byte of an answer has been removed from `input`.
  bool OnAnswerEnd(evbuffer* input);
  void ReadKeepAliveTimeout();
  void StartBody(const DeclaredBody& declared);
  void FinishExchange();
  void Fail(ExchangeFailure failure);
  void ResetAnswer();
  void FreeSocket();
  void SetProgressTimeout(bool enabled);

  event_base* const base_;
  const sockaddr_in address_;
  const std::string host_;
  const Timeouts timeouts_;
  HttpConnectionDelegate* const delegate_;
  bufferevent* bev_ = nullptr;
  std::unique_ptr<BufferMeter> input_meter_;
  std::unique_ptr<BufferMeter> output_meter_;
  BufferCharge socket_charge_{nullptr};
  // Set once the connection is established.
  std::optional<PeerWatch> peer_watch_;
  LineReader lines_;
  State state_ = State::kNew;
  Exchange* exchange_ = nullptr;
  // A callback of the exchange is running; the connection must not be closed
  // until it returns.
  bool parsing_ = false;
  // Fail() was called while `parsing_` was set.
  bool close_after_parsing_ = false;
  bool request_begun_ = false;
  // Bytes were written to the socket since the last progress timeout.
  bool wrote_since_timeout_ = false;
  bool request_ended_ = false;
  bool answer_begun_ = false;
  bool head_request_ = false;
  bool head_done_ = false;
  // The answer being read is of HTTP/1.1, not HTTP/1.0.
  bool http11_ = true;
  bool keep_alive_ = true;
  BodyReader body_;
  // The answer being read belongs to an earlier request.
  bool skipping_answer_ = false;
  size_t head_bytes_ = 0;
  // Of answers to earlier requests, since the start of the exchange.
  size_t skipped_bytes_ = 0;
  Duration keep_alive_timeout_{0};
  AnswerHead head_;
};

// Parses "a.b.c.d:port". Returns false for anything else.
bool ParseAddress(const std::string& text, sockaddr_in* address);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_HTTP_CONNECTION_H_
