#ifndef COMFREYSTAND_SRC_EDGE_CALLER_CONNECTION_H_
#define COMFREYSTAND_SRC_EDGE_CALLER_CONNECTION_H_

#include <evhtp/parser.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "comfreystand/relay_protocol.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

class CallerConnection;

// Takes what follows the head of one request. None of the calls may destroy
// the connection.
class RequestReader {
 public:
  virtual ~RequestReader() = default;
  // Takes the bytes of `data` that it wants; the rest is dropped.
  virtual void OnRequestBody(evbuffer* data) = 0;
  virtual void OnRequestComplete() = 0;
  // All that was written for the caller has left.
  virtual void OnReplyDrained() = 0;
  // The caller went away before its answer was finished. Last call.
  virtual void OnCallerGone() = 0;
  // The answer is finished and the request was read to its end. Last call.
  virtual void OnReplyDone() = 0;
};

// One request of a connection and the answer to it. Answers leave in the order
// of the requests; what is written early is held.
struct Reply {
  RequestHead head;
  RequestReader* reader = nullptr;
  BufferPtr held = NewBuffer();
  // Bytes of the body that have arrived.
  uint64_t body_bytes = 0;
  bool read_complete = false;
  bool finished = false;
  // The answer was whole before it was its turn on the connection.
  bool waited_its_turn = false;
  // The head of the answer said that the connection ends after it.
  bool close_after = false;
};

// Why a connection is closed without an answer to what it sent.
enum class CallerFault : uint8_t { kMalformed, kHeadersTooLarge };

// What a connection needs from the server that owns it.
class CallerOwner {
 public:
  virtual ~CallerOwner() = default;
  // The head of a request has arrived. Sets `reply->reader`, or finishes the
  // reply at once.
  virtual void OnRequestHead(CallerConnection* connection, Reply* reply) = 0;
  // What arrived is not a request. Finishes `reply`, with a close.
  virtual void OnBadRequest(CallerConnection* connection,
                            Reply* reply,
                            CallerFault fault) = 0;
  virtual void OnCallerTimeout() = 0;
  virtual void OnCallerReset() = 0;
  // The connection is closed; it may be destroyed from the top of the loop.
  virtual void OnCallerClosed(CallerConnection* connection) = 0;
};

// Bounds on what a caller may send and how long it may take.
struct CallerBounds {
  size_t header_bytes = 0;
  // From the first byte of a head to its last.
  Duration header_timeout{0};
  // Without a request.
  Duration idle_timeout{0};
  // Without a byte while a body or an answer is under way.
  Duration progress_timeout{0};
};

// One HTTP/1.1 connection of a caller over libevent; requests are parsed by
// the parser of libevhtp. Requests that arrive before earlier ones are
// answered are handed out at once.
class CallerConnection {
 public:
  // Takes over `fd`.
  CallerConnection(event_base* base,
                   int fd,
                   uint32_t address,
                   const CallerBounds& bounds,
                   CallerOwner* owner);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Writes a part of the answer; takes all bytes out of `data`.
  void Write(Reply* reply, evbuffer* data);
  void Write(Reply* reply, std::string_view text);
  // Bytes of the answer that have not left.
  size_t UnsentBytes(const Reply* reply) const;
  // The answer is whole.
  void Finish(Reply* reply);
  // Whether an answer that begins now may leave the connection open.
  bool MayKeepAlive(Reply* reply);
  // Says in the head of an answer that the connection ends after it.
  void CloseAfter(Reply* reply) { reply->close_after = true; }
  // Breaks the connection so that the caller can't take its answer for whole.
  void Break();

  // Holds back the body of the request that is being read.
  void PauseReading();
  void ResumeReading();

  // Has the last answer under way, and those that follow, end the connection.
  void CloseAfterAnswers() { close_after_answers_ = true; }
  // Ends the connection once it has no request under way.
  void CloseWhenIdle();

  bool idle() const { return replies_.empty() && !head_begun_ && !line_begun_; }
  bool closed() const { return state_ == State::kClosed; }

 private:
  enum class State : uint8_t {
    kOpen,
    // The last answer is being sent; nothing more is read as a request.
    kClosing,
    // Our side is shut down; reads until the caller closes too.
    kLingering,
    kClosed,
  };

  static const htparse_hooks& ParserHooks();
  void OnReadable();
  bool AwaitsRequestLine(evbuffer* input);
  bool ParseSome(evbuffer* input);
  void OnHeadBegin();
  int OnHeadComplete();
  bool ReadFraming();
  void OnBody(const char* data, size_t size);
  void OnMessageComplete();
  void OnBad(bool too_large);
  void OnWritable();
  void OnEvent(short events);
  void Advance();
  void Done(Reply* reply);
  void Drain();
  void Linger();
  void Close();
  void SetTimer();
  void OnTimer();
  bool ReadsBody() const { return reading_ != nullptr; }
  // Whether a further request may be read.
  bool TakesRequests() const;

  event_base* const base_;
  const uint32_t address_;
  const CallerBounds bounds_;
  CallerOwner* const owner_;
  bufferevent* bev_ = nullptr;
  EventPtr timer_;
  std::unique_ptr<htparser, void (*)(void*)> parser_;
  State state_ = State::kOpen;
  std::deque<std::unique_ptr<Reply>> replies_;
  // The request whose head or body is being read.
  std::unique_ptr<Reply> incoming_;
  Reply* reading_ = nullptr;
  size_t header_bytes_ = 0;
  // Some of a request line has arrived, but not all of it.
  bool line_begun_ = false;
  bool head_begun_ = false;
  bool headers_too_large_ = false;
  bool bad_framing_ = false;
  bool message_complete_ = false;
  bool parsing_ = false;
  bool close_pending_ = false;
  bool advance_pending_ = false;
  bool paused_ = false;
  bool close_after_answers_ = false;
  bool close_when_idle_ = false;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_CALLER_CONNECTION_H_
