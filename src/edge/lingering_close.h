#ifndef COMFREYSTAND_SRC_EDGE_LINGERING_CLOSE_H_
#define COMFREYSTAND_SRC_EDGE_LINGERING_CLOSE_H_

#include <memory>
#include <unordered_map>

#include "src/edge/event_handles.h"

namespace comfreystand::edge {

// Keeps sockets open for a moment after an early answer and reads what the
// caller still sends, so that the kernel doesn't reset the connection before
// the answer was read. Bounded in number and time.
class LingeringClose {
 public:
  explicit LingeringClose(event_base* base);
  ~LingeringClose();
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

  // Takes over a duplicate of `fd`, which the caller of this closes as usual.
  void Adopt(int fd);

 private:
  struct Entry;
  void OnReady(Entry* entry, short events);

  event_base* const base_;
  std::unordered_map<Entry*, std::unique_ptr<Entry>> entries_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_LINGERING_CLOSE_H_
