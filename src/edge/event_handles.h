#ifndef COMFREYSTAND_SRC_EDGE_EVENT_HANDLES_H_
#define COMFREYSTAND_SRC_EDGE_EVENT_HANDLES_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/time.h>

#include <memory>

#include "comfreystand/base.h"

// Owning pointers for libevent objects.
namespace comfreystand::edge {

struct BufferDeleter {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using BufferPtr = std::unique_ptr<evbuffer, BufferDeleter>;

inline BufferPtr NewBuffer() {
  return BufferPtr(evbuffer_new());
}

struct EventDeleter {
  void operator()(event* handle) const { event_free(handle); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

inline timeval ToTimeval(Duration duration) {
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  return {duration.count() / kMicrosPerSecond,
          duration.count() % kMicrosPerSecond};
}

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_EVENT_HANDLES_H_
