#ifndef COMFREYSTAND_SRC_EDGE_BUFFER_BUDGET_H_
#define COMFREYSTAND_SRC_EDGE_BUFFER_BUDGET_H_

#include <event2/buffer.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "src/edge/buffer_choice.h"

// Counts the bytes that a server holds for its callers: input that is not
// parsed yet, heads and bodies of requests, answers that wait for their
// callers, and control calls.
namespace comfreystand::edge {

// The sum of the bytes of all accounts, and its limit. Must outlive its
// accounts.
class BufferBudget {
 public:
  // `on_exceeded` is called from within the change that reaches the limit, once
  // until the sum has been below it again. A limit of zero is none.
  BufferBudget(size_t limit, std::function<void()> on_exceeded)
      : limit_(limit), on_exceeded_(std::move(on_exceeded)) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  void Add(size_t bytes);
  void Remove(size_t bytes);

  size_t held() const { return held_; }
  size_t limit() const { return limit_; }
  bool exceeded() const { return exceeded_; }
  // Whether `bytes` more leave a part of the budget to others.
  bool HasRoomFor(size_t bytes) const {
    return limit_ == 0 || held_ + bytes <= limit_ / 2;
  }
  // Bytes to free when the limit is reached, which leaves room until the next
  // time.
  size_t Excess() const;

 private:
  const size_t limit_;
  const std::function<void()> on_exceeded_;
  size_t held_ = 0;
  bool exceeded_ = false;
};

// The bytes held for one holder, such as a caller's connection and everything
// done for it.
class BufferAccount {
 public:
  // `budget` may be null.
  explicit BufferAccount(BufferBudget* budget) : budget_(budget) {}
  ~BufferAccount() { Remove(held_); }
  BufferAccount(const BufferAccount&) = delete;
  BufferAccount& operator=(const BufferAccount&) = delete;

  void Add(size_t bytes);
  void Remove(size_t bytes);
  size_t held() const { return held_; }

 private:
  BufferBudget* const budget_;
  size_t held_ = 0;
};

using BufferAccountPtr = std::shared_ptr<BufferAccount>;

// An amount of bytes that counts in an account until it is changed or
// destroyed. The account may be null.
class BufferCharge {
 public:
  explicit BufferCharge(BufferAccountPtr account)
      : account_(std::move(account)) {}
  ~BufferCharge() { Set(0); }
  BufferCharge(const BufferCharge&) = delete;
  BufferCharge& operator=(const BufferCharge&) = delete;

  void Set(size_t bytes);
  size_t bytes() const { return bytes_; }
  // Moves the amount to another account.
  void SetAccount(BufferAccountPtr account);

 private:
  BufferAccountPtr account_;
  size_t bytes_ = 0;
};

// Counts the bytes of a buffer in an account. Must be destroyed before the
// buffer.
class BufferMeter {
 public:
  // `on_removed` is told how many bytes were removed; may be empty.
  BufferMeter(evbuffer* buffer,
              BufferAccountPtr account,
              std::function<void(size_t removed)> on_removed = {});
  ~BufferMeter();
  BufferMeter(const BufferMeter&) = delete;
  BufferMeter& operator=(const BufferMeter&) = delete;

  void SetAccount(BufferAccountPtr account) {
    charge_.SetAccount(std::move(account));
  }

 private:
  evbuffer* const buffer_;
  const std::function<void(size_t removed)> on_removed_;
  BufferCharge charge_;
  evbuffer_cb_entry* callback_;
};

// Bytes in the socket's own buffers: received and not yet read, and sent and
// not yet acknowledged.
size_t SocketBytes(int fd);
// Those of them that were sent.
size_t UnacknowledgedBytes(int fd);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_BUFFER_BUDGET_H_
