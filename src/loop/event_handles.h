#ifndef COMFREYSTAND_SRC_LOOP_EVENT_HANDLES_H_
#define COMFREYSTAND_SRC_LOOP_EVENT_HANDLES_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/time.h>

#include <algorithm>
#include <cstdint>
#include <memory>

#include "comfreystand/base.h"

// Owning pointers for libevent objects, and conversion to its time type.
namespace comfreystand {

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

// Converts a duration; negative ones become zero.
inline timeval ToTimeval(Duration duration) {
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  const int64_t micros = std::max<int64_t>(0, duration.count());
  return {micros / kMicrosPerSecond, micros % kMicrosPerSecond};
}

}  // namespace comfreystand

#endif  // COMFREYSTAND_SRC_LOOP_EVENT_HANDLES_H_
