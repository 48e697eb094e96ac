#ifndef COMFREYSTAND_SRC_STEER_TICKET_WINDOW_H_
#define COMFREYSTAND_SRC_STEER_TICKET_WINDOW_H_

#include <bitset>
#include <cstdint>
#include <deque>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"

namespace comfreystand::steer {

// Stores which serial numbers have been used, with one bit each. Windows of
// consecutive numbers are dropped once all of their tickets have expired.
class SerialWindows {
 public:
  static constexpr uint64_t kNoSerial = UINT64_MAX;

  explicit SerialWindows(Duration lifetime) : lifetime_(lifetime) {}

  // Returns the next serial number, or kNoSerial when a new window is needed
  // and limits::kMaxTicketWindows are in use.
  uint64_t NextSerial(TimePoint now);

  // Marks a serial number as used. Returns false when it was used before or
  // its window has been dropped.
  bool MarkUsed(uint64_t serial);

  // Marks a used serial number as unused. Returns false when it isn't marked as
  // used or its window has been dropped.
  bool MarkUnused(uint64_t serial);

  size_t MemoryBytes() const { return windows_.size() * sizeof(Window); }

 private:
  struct Window {
    std::bitset<limits::kTicketsPerWindow> used;
    TimePoint opened_at;
    TimePoint last_issued_at;
  };

  void DropExpired(TimePoint now);
  Window* FindWindow(uint64_t serial);

  Duration lifetime_;
  std::deque<Window> windows_;
  // Number of the oldest window.
  uint64_t first_window_ = 0;
  uint64_t next_serial_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_TICKET_WINDOW_H_
