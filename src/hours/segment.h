#ifndef COMFREYSTAND_SRC_HOURS_SEGMENT_H_
#define COMFREYSTAND_SRC_HOURS_SEGMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "comfreystand/hours.h"
#include "proto/hours.pb.h"

namespace comfreystand::hours {

constexpr int64_t kSecondsPerHour = 3'600;
constexpr int64_t kHoursPerDay = 24;

// The time for which one incarnation of a node has reported its counts. Times
// are in seconds since the Unix epoch.
struct Reporter {
  int64_t started = 0;
  // Time of the latest report.
  int64_t reported = 0;
  // The incarnation has stopped gracefully and reported everything.
  bool finished = false;
};

// Node and incarnation.
using IncarnationKey = std::pair<uint32_t, uint64_t>;
// Hour, node, incarnation and region.
using RecordKey = std::tuple<int64_t, uint32_t, uint64_t, uint32_t>;

// A set of hour records and reporters. Their values only grow, so merging is
// idempotent and doesn't depend on the order.
class Segment {
 public:
  // Each function merges its argument and returns true when the segment
  // changed.
  bool Add(const wire::HourRecord& record);
  bool Add(const wire::HourReporter& reporter);
  bool Merge(const Segment& other);
  bool Merge(const wire::HourSegment& other);

  void AppendTo(wire::HourSegment* message) const;
  // Returns the records and reporters of the hours from `first` (inclusive) to
  // `end` (exclusive).
  Segment SelectHours(int64_t first, int64_t end) const;
  // Drops the records of hours before `first` and the reporters whose latest
  // report is older.
  void DropBefore(int64_t first);

  const std::map<RecordKey, HourCounts>& Records() const { return records_; }
  const std::map<IncarnationKey, Reporter>& Reporters() const {
    return reporters_;
  }
  std::map<RecordKey, HourCounts>& MutableRecords() { return records_; }

 private:
  std::map<RecordKey, HourCounts> records_;
  std::map<IncarnationKey, Reporter> reporters_;
};

// Returns the store key for one day of a failure domain.
std::string DayKey(std::string_view prefix,
                   int64_t day,
                   std::string_view domain);

}  // namespace comfreystand::hours

#endif  // COMFREYSTAND_SRC_HOURS_SEGMENT_H_
