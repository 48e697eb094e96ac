#ifndef COMFREYSTAND_SRC_STEER_TICKET_WINDOW_H_
#define COMFREYSTAND_SRC_STEER_TICKET_WINDOW_H_

#include <bitset>
#include <cstdint>
#include <deque>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"

namespace comfreystand::steer {

// Remembers which serial numbers have been used: one bit each, in windows of
// consecutive numbers that are dropped once all of their tickets have expired.
class SerialWindows {
 public:
  static constexpr uint64_t kNoSerial = UINT64_MAX;

  explicit SerialWindows(Duration lifetime) : lifetime_(lifetime) {}

  // Next serial number, or kNoSerial when no window may be added.
  uint64_t Next(TimePoint now);

  // Marks a serial number as used. Returns false when it was used before or
  // its window has been dropped.
  bool Use(uint64_t serial);

  // Takes a mark back. Returns false when there was none.
  bool Unuse(uint64_t serial);

  size_t MemoryBytes() const { return windows_.size() * sizeof(Window); }

 private:
  struct Window {
    std::bitset<limits::kTicketsPerWindow> used;
    TimePoint opened;
    TimePoint last_issue;
  };

  void DropExpired(TimePoint now);
  Window* Find(uint64_t serial);

  Duration lifetime_;
  std::deque<Window> windows_;
  // Number of the window at the front.
  uint64_t first_window_ = 0;
  uint64_t next_serial_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_TICKET_WINDOW_H_
