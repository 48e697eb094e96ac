#ifndef COMFREYSTAND_SRC_EDGE_HTTP_CONNECTION_H_
#define COMFREYSTAND_SRC_EDGE_HTTP_CONNECTION_H_

#include <evhtp/parser.h>
#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/relay_protocol.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// Why an exchange ended without a whole answer.
enum class ExchangeFailure : uint8_t {
  kConnectFailed,
  // The peer closed or reset the connection, or sent no valid answer.
  kBroken,
  // No byte was read or written for the progress timeout.
  kSilent,
  // The owner closed the connection.
  kClosed,
};

// One request and its answer as seen at the connection that carries them.
// None of the calls may destroy the connection.
class Exchange {
 public:
  virtual ~Exchange() = default;
  // The first byte of the request was handed to the connected socket.
  virtual void OnFirstByteWritten() = 0;
  // Everything written so far was handed to the socket.
  virtual void OnWriteDrained() {}
  // Whether an answer belongs to this exchange; one that does not is skipped.
  virtual bool IsOwnAnswer(const AnswerHead& head) { return true; }
  virtual void OnAnswerHead(AnswerHead head) = 0;
  virtual void OnAnswerBody(const char* data, size_t size) = 0;
  // Last call of a successful exchange.
  virtual void OnAnswerComplete() = 0;
  // Last call of a failed exchange. `written` tells whether a byte of the
  // request was handed to the socket.
  virtual void OnExchangeFailed(ExchangeFailure failure, bool written) = 0;
};

class HttpConnection;

// Who is told when a connection changes hands.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual void OnConnected(HttpConnection* connection) = 0;
  // The exchange is over and another one may start.
  virtual void OnIdle(HttpConnection* connection) = 0;
  // The connection is closed. It may be destroyed once the loop is back at
  // its top, not from inside this call.
  virtual void OnClosed(HttpConnection* connection,
                        ExchangeFailure failure) = 0;
};

// One HTTP/1.1 client connection over libevent; answers are parsed by the
// parser of libevhtp. Carries one exchange at a time.
class HttpConnection {
 public:
  struct Timeouts {
    Duration connect;
    Duration progress;
    // Bytes that the other end has not acknowledged break the connection.
    Duration unacknowledged;
  };

  HttpConnection(event_base* base,
                 const sockaddr_in& address,
                 const Timeouts& timeouts,
                 ConnectionOwner* owner);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Starts connecting. Returns false when no socket could be had; every other
  // failure is reported from the loop.
  bool Connect();

  // Hands over the start of a request, or all of it. The bytes leave once the
  // connection is made.
  void Start(Exchange* exchange, evbuffer* request, bool head_request);

  // Adds to the request under way.
  void Write(evbuffer* data);
  // Tells that the request is whole, so that silence counts from here.
  void EndRequest() { request_ended_ = true; }
  size_t UnwrittenBytes() const;

  void PauseReading();
  void ResumeReading();

  // Closes the connection. The exchange under way, if any, fails as kClosed.
  void Close();

  bool IsIdle() const { return state_ == State::kOpen && !exchange_; }
  bool IsClosed() const { return state_ == State::kClosed; }
  bool connected() const { return state_ == State::kOpen; }
  // Until when the other end keeps the connection without a request; zero when
  // it has not told.
  Duration idle_limit() const { return idle_limit_; }
  // Whether any byte of an answer to the current exchange has arrived.
  bool answer_begun() const { return answer_begun_; }
  // "a.b.c.d:port" of the other end.
  const std::string& host() const { return host_; }

 private:
  enum class State : uint8_t { kNew, kConnecting, kOpen, kClosed };

  static const htparse_hooks& ParserHooks();
  void OnReadable();
  void OnEvent(short events);
  void OnWritable();
  void OnOutputChanged(size_t removed);
  // Feeds the parser with the first piece of `input`.
  bool ParseSome(evbuffer* input);
  bool PassUntilClose(evbuffer* input);
  void ReadIdleLimit();
  int OnHeadComplete();
  int OnMessageComplete();
  void FinishExchange();
  void Fail(ExchangeFailure failure);
  void ResetAnswer();
  void SetProgressTimeout(bool enabled);

  event_base* const base_;
  const sockaddr_in address_;
  const std::string host_;
  const Timeouts timeouts_;
  ConnectionOwner* const owner_;
  bufferevent* bev_ = nullptr;
  evbuffer_cb_entry* output_hook_ = nullptr;
  std::unique_ptr<htparser, void (*)(void*)> parser_;
  State state_ = State::kNew;
  Exchange* exchange_ = nullptr;
  bool parsing_ = false;
  bool close_after_parsing_ = false;
  bool written_ = false;
  // Bytes left for the socket since the last progress timeout.
  bool moved_ = false;
  bool request_ended_ = false;
  bool answer_begun_ = false;
  bool head_request_ = false;
  bool head_done_ = false;
  bool complete_ = false;
  bool until_close_ = false;
  bool keep_alive_ = true;
  bool chunked_ = false;
  bool bad_framing_ = false;
  // The answer being read belongs to an earlier request.
  bool skipping_ = false;
  Duration idle_limit_{0};
  AnswerHead head_;
};

// Parses "a.b.c.d:port". Returns false for anything else.
bool ParseAddress(const std::string& text, sockaddr_in* address);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_HTTP_CONNECTION_H_
