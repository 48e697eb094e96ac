#include "src/steer/ticket_window.h"

namespace comfreystand::steer {
namespace {

// A window takes no more tickets after this part of their lifetime, so that
// slow issuers can drop windows too.
constexpr int kWindowsPerLifetime = 16;

}  // namespace

uint64_t SerialWindows::Next(TimePoint now) {
  DropExpired(now);
  const uint64_t place = next_serial_ % limits::kTicketsPerWindow;
  const bool full = windows_.empty() || place == 0;
  if (full || now - windows_.back().opened > lifetime_ / kWindowsPerLifetime) {
    if (windows_.size() >= limits::kMaxTicketWindows) {
      return kNoSerial;
    }
    next_serial_ =
        (first_window_ + windows_.size()) * limits::kTicketsPerWindow;
    windows_.push_back({.used = {}, .opened = now, .last_issue = now});
  }
  windows_.back().last_issue = now;
  return next_serial_++;
}

bool SerialWindows::Use(uint64_t serial) {
  Window* window = Find(serial);
  const uint64_t place = serial % limits::kTicketsPerWindow;
  if (window == nullptr || window->used.test(place)) {
    return false;
  }
  window->used.set(place);
  return true;
}

bool SerialWindows::Unuse(uint64_t serial) {
  Window* window = Find(serial);
  const uint64_t place = serial % limits::kTicketsPerWindow;
  if (window == nullptr || !window->used.test(place)) {
    return false;
  }
  window->used.reset(place);
  return true;
}

void SerialWindows::DropExpired(TimePoint now) {
  while (!windows_.empty() && now - windows_.front().last_issue > lifetime_) {
    windows_.pop_front();
    ++first_window_;
  }
}

SerialWindows::Window* SerialWindows::Find(uint64_t serial) {
  const uint64_t number = serial / limits::kTicketsPerWindow;
  if (serial >= next_serial_ || number < first_window_ ||
      number - first_window_ >= windows_.size()) {
    return nullptr;
  }
  return &windows_[number - first_window_];
}

}  // namespace comfreystand::steer
