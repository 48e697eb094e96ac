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

// One life of a node, as far as it has reported.
struct Reporter {
  int64_t started = 0;
  int64_t reported = 0;
  bool finished = false;
};

using LifeKey = std::pair<uint32_t, uint64_t>;
using RecordKey = std::tuple<int64_t, uint32_t, uint64_t, uint32_t>;

// Records and reporters that only ever grow, so that merging is idempotent and
// the order does not matter.
class Segment {
 public:
  // Each returns true when something was news.
  bool Add(const wire::HourRecord& record);
  bool Add(const wire::HourReporter& reporter);
  bool Merge(const Segment& other);
  bool Merge(const wire::HourSegment& other);

  void Fill(wire::HourSegment* message) const;
  // Parts that concern the hours from `first` up to, but not at, `end`.
  Segment Between(int64_t first, int64_t end) const;
  // Drops hours before `first` and lives that ended before it.
  void DropBefore(int64_t first);

  const std::map<RecordKey, HourCounts>& Records() const { return records_; }
  const std::map<LifeKey, Reporter>& Reporters() const { return reporters_; }
  std::map<RecordKey, HourCounts>& MutableRecords() { return records_; }

 private:
  std::map<RecordKey, HourCounts> records_;
  std::map<LifeKey, Reporter> reporters_;
};

// Key of a failure domain's day.
std::string DayKey(std::string_view prefix,
                   int64_t day,
                   std::string_view domain);

}  // namespace comfreystand::hours

#endif  // COMFREYSTAND_SRC_HOURS_SEGMENT_H_
