#include "src/edge/lingering_close.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace comfreystand::edge {
namespace {

constexpr size_t kMaxEntries = 256;
constexpr size_t kMaxBytes = size_t{1} << 20;
constexpr Duration kMaxWait = std::chrono::seconds(1);
constexpr size_t kMinCharge = size_t{4} << 10;
constexpr size_t kReadBytes = size_t{16} << 10;

}  // namespace

struct LingeringClose::Entry {
  Entry(LingeringClose* owner, int fd) : owner(owner), fd(fd) {}
  ~Entry() {
    ready.reset();
    close(fd);
  }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  LingeringClose* const owner;
  const int fd;
  size_t bytes = 0;
  EventPtr ready;
};

LingeringClose::LingeringClose(event_base* base) : base_(base) {}

LingeringClose::~LingeringClose() = default;

void LingeringClose::Adopt(int fd) {
  if (entries_.size() >= kMaxEntries) {
    return;
  }
  const int own = fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (own < 0) {
    return;
  }
  shutdown(own, SHUT_WR);
  auto entry = std::make_unique<Entry>(this, own);
  entry->ready.reset(event_new(
      base_, own, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short events, void* arg) {
        auto* self = static_cast<Entry*>(arg);
        self->owner->OnReady(self, events);
      },
      entry.get()));
  const timeval wait = ToTimeval(kMaxWait);
  event_add(entry->ready.get(), &wait);
  Entry* key = entry.get();
  entries_.emplace(key, std::move(entry));
}

void LingeringClose::OnReady(Entry* entry, short events) {
  if (events & EV_TIMEOUT) {
    entries_.erase(entry);
    return;
  }
  std::array<char, kReadBytes> discarded;
  const ssize_t count =
      recv(entry->fd, discarded.data(), discarded.size(), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  // Small reads count as more, so that their number is bounded too.
  entry->bytes +=
      count > 0 ? std::max(static_cast<size_t>(count), kMinCharge) : 0;
  if (count <= 0 || entry->bytes > kMaxBytes) {
    entries_.erase(entry);
  }
}

}  // namespace comfreystand::edge
