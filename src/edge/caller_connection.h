#ifndef COMFREYSTAND_SRC_EDGE_CALLER_CONNECTION_H_
#define COMFREYSTAND_SRC_EDGE_CALLER_CONNECTION_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/relay_protocol.h"
#include "src/edge/body_reader.h"
#include "src/edge/buffer_budget.h"
#include "src/edge/message_lines.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

class CallerConnection;

// Receives the body of one request and the events of its reply. None of the
// calls may destroy the connection.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual void OnRequestBody(std::string_view data) = 0;
  virtual void OnRequestComplete() = 0;
  // The connection's output buffer is empty; more may be written.
  virtual void OnReplyFlushed() = 0;
  // The connection ended before the answer was finished. Last call.
  virtual void OnCallerDisconnected() = 0;
  // The answer is finished and the request needs no further reading. Last
  // call.
  virtual void OnReplyDone() = 0;
};

// One request of a connection and its answer. Answers are sent in the order of
// the requests; what is written before its turn is stored in `buffered`.
struct Reply {
  explicit Reply(const BufferAccountPtr& account)
      : head_charge(account), buffered_meter(buffered.get(), account) {
    head_charge.Set(kRequestBytes);
  }

  // Memory of a request beside its head and body, in this process.
  static constexpr size_t kRequestBytes = 4'096;

  RequestHead head;
  BufferCharge head_charge;
  RequestHandler* handler = nullptr;
  BufferPtr buffered = NewBuffer();
  BufferMeter buffered_meter;
  // Bytes of the body that have arrived.
  uint64_t body_bytes = 0;
  bool read_complete = false;
  bool finished = false;
  // The answer was finished while an earlier reply was still pending
  // (head-of-line blocking).
  bool delayed_by_earlier_reply = false;
  // The connection is closed after this answer. Set for the newest reply only.
  bool close_after = false;
};

// Why received bytes could not be parsed as a request.
enum class CallerFault : uint8_t { kMalformed, kHeadersTooLarge };

// Implemented by the server that owns the connections.
class CallerConnectionDelegate {
 public:
  virtual ~CallerConnectionDelegate() = default;
  // The head of a request has arrived. Must set `reply->handler` or finish the
  // reply at once.
  virtual void OnRequestHead(CallerConnection* connection, Reply* reply) = 0;
  // The received bytes are not a valid request. Must finish `reply`; the
  // connection is closed after it.
  virtual void OnBadRequest(CallerConnection* connection,
                            Reply* reply,
                            CallerFault fault) = 0;
  virtual void OnCallerTimeout() = 0;
  virtual void OnCallerReset() = 0;
  // What had arrived has been read. Other connections, and this one, may be
  // closed inside this call.
  virtual void OnCallerRead() {}
  // The connection is closed. It must not be destroyed inside this call.
  virtual void OnCallerClosed(CallerConnection* connection) = 0;
};

// Limits of one caller connection.
struct CallerConnectionLimits {
  size_t header_bytes = 0;
  // From the first byte of a request head to its last.
  Duration header_timeout{0};
  // Without a request in progress.
  Duration idle_timeout{0};
  // Without a byte transferred while a body is read or an answer is written,
  // or acknowledged while the connection is closed.
  Duration progress_timeout{0};
};

// One HTTP/1.1 connection of a caller over libevent. Pipelined requests are
// passed to the delegate as they arrive, before earlier ones are answered.
class CallerConnection {
 public:
  // Takes ownership of `fd`. `address` is the caller's IPv4 address in network
  // byte order. `budget` may be null.
  CallerConnection(event_base* base,
                   int fd,
                   uint32_t address,
                   const CallerConnectionLimits& limits,
                   CallerConnectionDelegate* delegate,
                   BufferBudget* budget = nullptr);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Writes a part of the answer. Removes all bytes from `data`.
  void Write(Reply* reply, evbuffer* data);
  void Write(Reply* reply, std::string_view text);
  // Bytes of the answer that are still buffered.
  size_t UnsentBytes(const Reply* reply) const;
  // Takes back what was written of the answer. Returns false when it can't be:
  // it is this answer's turn, and some of it may have been sent.
  bool Retract(Reply* reply);
  // Marks the answer as complete.
  void Finish(Reply* reply);
  // Whether the connection may stay open after an answer that begins now. Marks
  // the reply as the last one when the connection is to be closed.
  bool MayKeepAlive(Reply* reply);
  // Closes the connection after this answer, or after the last one while
  // requests behind this one are pending: they may already be at work.
  void CloseAfter(Reply* reply);
  // Resets the connection, so that the caller can't mistake a truncated answer
  // for a complete one.
  void Abort();

  // Closes the connection if the caller has closed or reset its end, which this
  // process may not have read yet. Returns whether the connection is closed.
  bool CloseIfCallerLeft();

  // Flow control: stops and resumes reading from the socket.
  void PauseReading();
  void ResumeReading();

  // Makes the last pending answer, or any answer that follows, close the
  // connection.
  void CloseAfterAnswers() { close_after_answers_ = true; }
  // Closes the connection as soon as no request is in progress.
  void CloseWhenIdle();

  bool idle() const {
    return replies_.empty() && !head_begun_ && !request_line_begun_;
  }
  bool closed() const { return state_ == State::kClosed; }

  // Bytes held for this connection and its requests.
  const BufferAccountPtr& account() const { return account_; }
  // Counts what the socket holds at the moment.
  void MeasureSocket();
  BufferHolder HolderAt(TimePoint now) const;
  ConnectionUse UseAt(TimePoint now) const;
  // Whether bytes of the caller wait to be read, in this process or in the
  // socket.
  bool HasUnreadInput() const;
  // Handlers of the requests whose answers are not finished, in their order.
  std::vector<RequestHandler*> PendingHandlers() const;
  // Closes the connection after an attempt to send what is left to send.
  void CloseNow();

 private:
  enum class State : uint8_t {
    kOpen,
    // The last answer is being sent; further input is discarded.
    kClosing,
    // The sending side is shut down; reads until the caller closes too or has
    // acknowledged all that was sent.
    kLingering,
    kClosed,
  };

  void OnReadable();
  void ReadInput();
  void FreeSocket();
  static void SkipEmptyLines(evbuffer* input);
  // Read the next line of a head, or the first contiguous piece of a body.
  // Return false when no further input can be read.
  bool ReadHead(evbuffer* input);
  bool ReadBody(evbuffer* input);
  void OnPartOfRequestLine();
  void OnHeadBegin();
  // Return false when the request is malformed.
  bool OnHeadLine(const std::string& line);
  bool OnRequestLine(std::string_view line);
  bool OnFieldLine(std::string_view line);
  bool OnHeadComplete();
  void OnBody(std::string_view content);
  void OnMessageComplete();
  void OnParseError(bool too_large);
  void OnWritable();
  void OnEvent(short events);
  void SendReadyReplies();
  void CompleteReply(Reply* reply);
  void ReleaseReplies();
  void Linger();
  void ShutDownSending();
  void ContinueLinger();
  // Whether the caller has acknowledged some bytes of its answers since the
  // last call, and has not acknowledged all of them.
  bool IsCallerReading();
  void Close();
  void SetTimer();
  void OnTimer();
  bool IsReadingBody() const { return reading_reply_ != nullptr; }
  // Whether another request may be read.
  bool CanReadRequest() const;

  event_base* const base_;
  const uint32_t address_;
  const CallerConnectionLimits limits_;
  CallerConnectionDelegate* const delegate_;
  const BufferAccountPtr account_;
  ProgressMeter progress_;
  BufferCharge connection_charge_;
  BufferCharge socket_charge_;
  // Since when there is no request in progress, or its head is being read.
  TimePoint phase_since_;
  bufferevent* bev_ = nullptr;
  std::unique_ptr<BufferMeter> input_meter_;
  std::unique_ptr<BufferMeter> output_meter_;
  EventPtr timer_;
  LineReader lines_;
  State state_ = State::kOpen;
  std::deque<std::unique_ptr<Reply>> replies_;
  // The request whose head is being read.
  std::unique_ptr<Reply> incoming_reply_;
  // The request whose body is being read.
  Reply* reading_reply_ = nullptr;
  BodyReader body_;
  size_t header_bytes_ = 0;
  // Part of a request line has arrived.
  bool request_line_begun_ = false;
  bool head_begun_ = false;
  // A part of a request is being passed on; the connection must not be closed
  // until that returns.
  bool parsing_ = false;
  // Abort() was called while `parsing_` was set.
  bool abort_pending_ = false;
  // Finish() was called while `parsing_` was set.
  bool send_pending_ = false;
  bool reading_paused_ = false;
  bool close_after_answers_ = false;
  bool close_when_idle_ = false;
  // As of the last call of IsCallerReading().
  size_t unacknowledged_bytes_ = 0;
  // While lingering: when the caller was last seen to read.
  TimePoint acknowledged_at_{};
};

// Returns the connection that is closed in favour of a new one, or null if all
// make progress or are being served.
CallerConnection* ChooseReplacedConnection(
    std::span<CallerConnection* const> connections,
    TimePoint now);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_CALLER_CONNECTION_H_
