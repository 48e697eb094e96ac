#include "src/steer/ticket_window.h"

namespace comfreystand::steer {
namespace {

// A window accepts no more tickets once it has been open for this fraction of
// their lifetime, so that windows also expire on nodes that issue few tickets.
constexpr int kWindowsPerLifetime = 16;

}  // namespace

uint64_t SerialWindows::NextSerial(TimePoint now) {
  DropExpired(now);
  const uint64_t bit = next_serial_ % limits::kTicketsPerWindow;
  const bool full = windows_.empty() || bit == 0;
  if (full ||
      now - windows_.back().opened_at > lifetime_ / kWindowsPerLifetime) {
    if (windows_.size() >= limits::kMaxTicketWindows) {
      return kNoSerial;
    }
    next_serial_ =
        (first_window_ + windows_.size()) * limits::kTicketsPerWindow;
    windows_.push_back({.used = {}, .opened_at = now, .last_issued_at = now});
  }
  windows_.back().last_issued_at = now;
  return next_serial_++;
}

bool SerialWindows::MarkUsed(uint64_t serial) {
  Window* window = FindWindow(serial);
  const uint64_t bit = serial % limits::kTicketsPerWindow;
  if (window == nullptr || window->used.test(bit)) {
    return false;
  }
  window->used.set(bit);
  return true;
}

bool SerialWindows::MarkUnused(uint64_t serial) {
  Window* window = FindWindow(serial);
  const uint64_t bit = serial % limits::kTicketsPerWindow;
  if (window == nullptr || !window->used.test(bit)) {
    return false;
  }
  window->used.reset(bit);
  return true;
}

void SerialWindows::DropExpired(TimePoint now) {
  while (!windows_.empty() &&
         now - windows_.front().last_issued_at > lifetime_) {
    windows_.pop_front();
    ++first_window_;
  }
}

SerialWindows::Window* SerialWindows::FindWindow(uint64_t serial) {
  const uint64_t number = serial / limits::kTicketsPerWindow;
  if (serial >= next_serial_ || number < first_window_ ||
      number - first_window_ >= windows_.size()) {
    return nullptr;
  }
  return &windows_[number - first_window_];
}

}  // namespace comfreystand::steer
