#ifndef COMFREYSTAND_SRC_EDGE_BUFFER_CHOICE_H_
#define COMFREYSTAND_SRC_EDGE_BUFFER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "comfreystand/base.h"

// Which connections of callers give way when memory or connections run out.
// Without I/O; time is an argument.
namespace comfreystand::edge {

// The rate of a transfer over the last second or so, and when it last was
// worth waiting for.
class ProgressMeter {
 public:
  explicit ProgressMeter(TimePoint now) : updated_(now), last_progress_(now) {}

  void Add(TimePoint now, size_t bytes);
  // Bytes per second.
  double RateAt(TimePoint now) const;
  // When the rate last was at least kMinProgressRate.
  TimePoint last_progress() const { return last_progress_; }

 private:
  double bytes_ = 0;
  TimePoint updated_;
  TimePoint last_progress_;
};

// A slower transfer counts as no progress, bytes per second.
constexpr double kMinProgressRate = 1'024;

// One holder of buffered bytes.
struct BufferHolder {
  size_t bytes = 0;
  // Of the transfer between the holder and this process, bytes per second.
  double rate = 0;
  // The holder has to send or to read before its bytes can be released; if not,
  // they wait for this process or a backend server.
  bool due = false;
};

// Returns the indexes of holders to drop, so that at least `excess` bytes are
// freed or no holder is left: first those that have to act themselves, and
// among them those that at their rate would hold their bytes for longest.
std::vector<size_t> ChooseDropped(std::span<const BufferHolder> holders,
                                  size_t excess);

// What a caller's connection is used for.
struct ConnectionUse {
  enum class Phase : uint8_t {
    // Between two requests.
    kIdle,
    // A request or an answer is being transferred.
    kTransfer,
    // A request waits for this process or a backend server.
    kServed,
  };
  Phase phase = Phase::kServed;
  // Without a request, or without progress.
  Duration waiting{0};
};

// Returns the index of the connection that is closed in favour of a new one:
// the one that has been idle or without progress for longest. None if all make
// progress or are being served.
std::optional<size_t> ChooseReplaced(std::span<const ConnectionUse> uses);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_BUFFER_CHOICE_H_
