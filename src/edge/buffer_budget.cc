#include "src/edge/buffer_budget.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>

namespace comfreystand::edge {
namespace {

// Share of the budget that stays free once connections have been dropped.
constexpr size_t kFreedShare = 8;

}  // namespace

void BufferBudget::Add(size_t bytes) {
  held_ += bytes;
  if (limit_ > 0 && held_ >= limit_ && !exceeded_) {
    exceeded_ = true;
    on_exceeded_();
  }
}

void BufferBudget::Remove(size_t bytes) {
  held_ -= std::min(bytes, held_);
  exceeded_ = exceeded_ && held_ >= limit_;
}

size_t BufferBudget::Excess() const {
  const size_t target = limit_ - limit_ / kFreedShare;
  return held_ > target ? held_ - target : 0;
}

void BufferAccount::Add(size_t bytes) {
  held_ += bytes;
  if (budget_) {
    budget_->Add(bytes);
  }
}

void BufferAccount::Remove(size_t bytes) {
  held_ -= bytes;
  if (budget_) {
    budget_->Remove(bytes);
  }
}

void BufferCharge::Set(size_t bytes) {
  const size_t before = std::exchange(bytes_, bytes);
  if (!account_ || bytes == before) {
    return;
  }
  if (bytes > before) {
    account_->Add(bytes - before);
  } else {
    account_->Remove(before - bytes);
  }
}

void BufferCharge::SetAccount(BufferAccountPtr account) {
  const size_t bytes = bytes_;
  Set(0);
  account_ = std::move(account);
  Set(bytes);
}

BufferMeter::BufferMeter(evbuffer* buffer,
                         BufferAccountPtr account,
                         std::function<void(size_t removed)> on_removed)
    : buffer_(buffer),
      on_removed_(std::move(on_removed)),
      charge_(std::move(account)),
      callback_(evbuffer_add_cb(
          buffer,
          [](evbuffer* changed, const evbuffer_cb_info* info, void* self) {
            auto* meter = static_cast<BufferMeter*>(self);
            if (meter->on_removed_ && info->n_deleted > 0) {
              meter->on_removed_(info->n_deleted);
            }
            meter->charge_.Set(evbuffer_get_length(changed));
          },
          this)) {
  charge_.Set(evbuffer_get_length(buffer));
}

BufferMeter::~BufferMeter() {
  evbuffer_remove_cb_entry(buffer_, callback_);
}

size_t SocketBytes(int fd) {
  int unread = 0;
  ioctl(fd, SIOCINQ, &unread);
  return static_cast<size_t>(std::max(0, unread)) + UnacknowledgedBytes(fd);
}

size_t UnacknowledgedBytes(int fd) {
  int bytes = 0;
  ioctl(fd, SIOCOUTQ, &bytes);
  return static_cast<size_t>(std::max(0, bytes));
}

}  // namespace comfreystand::edge
