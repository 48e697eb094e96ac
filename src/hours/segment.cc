#include "src/hours/segment.h"

#include <algorithm>

namespace comfreystand::hours {

Hour HourOf(WallSeconds when) {
  return {when.value / kSecondsPerHour};
}

RegionKey MakeRegionKey(std::string_view name) {
  return {static_cast<uint32_t>(StableHash(name))};
}

std::string DayKey(std::string_view prefix,
                   int64_t day,
                   std::string_view domain) {
  std::string key(prefix);
  key += std::to_string(day);
  key += '/';
  key += domain;
  return key;
}

bool Segment::Add(const wire::HourRecord& record) {
  if (records_.size() >= limits::kMaxHourRecords) {
    return false;
  }
  HourCounts& counts = records_[{record.hour(), record.node(),
                                 record.incarnation(), record.region()}];
  const bool changed =
      record.answered() > counts.answered || record.failed() > counts.failed;
  counts.answered = std::max(counts.answered, record.answered());
  counts.failed = std::max(counts.failed, record.failed());
  return changed;
}

bool Segment::Add(const wire::HourReporter& from) {
  Reporter& reporter = reporters_[{from.node(), from.incarnation()}];
  const bool changed = from.reported() > reporter.reported ||
                       (from.finished() && !reporter.finished);
  reporter.started = from.started();
  reporter.reported = std::max(reporter.reported, from.reported());
  reporter.finished |= from.finished();
  return changed;
}

bool Segment::Merge(const wire::HourSegment& other) {
  bool changed = false;
  for (const wire::HourRecord& record : other.records()) {
    changed |= Add(record);
  }
  for (const wire::HourReporter& reporter : other.reporters()) {
    changed |= Add(reporter);
  }
  return changed;
}

bool Segment::Merge(const Segment& other) {
  wire::HourSegment message;
  other.AppendTo(&message);
  return Merge(message);
}

void Segment::AppendTo(wire::HourSegment* message) const {
  for (const auto& [key, counts] : records_) {
    wire::HourRecord* record = message->add_records();
    record->set_hour(std::get<0>(key));
    record->set_node(std::get<1>(key));
    record->set_incarnation(std::get<2>(key));
    record->set_region(std::get<3>(key));
    record->set_answered(counts.answered);
    record->set_failed(counts.failed);
  }
  for (const auto& [key, reporter] : reporters_) {
    wire::HourReporter* added = message->add_reporters();
    added->set_node(key.first);
    added->set_incarnation(key.second);
    added->set_started(reporter.started);
    added->set_reported(reporter.reported);
    added->set_finished(reporter.finished);
  }
}

Segment Segment::SelectHours(int64_t first, int64_t end) const {
  Segment selected;
  for (const auto& [key, counts] : records_) {
    if (std::get<0>(key) >= first && std::get<0>(key) < end) {
      selected.records_[key] = counts;
    }
  }
  for (const auto& [key, reporter] : reporters_) {
    if (reporter.reported >= first * kSecondsPerHour &&
        reporter.started < end * kSecondsPerHour) {
      selected.reporters_[key] = reporter;
    }
  }
  return selected;
}

void Segment::DropBefore(int64_t first) {
  std::erase_if(records_, [first](const auto& item) {
    return std::get<0>(item.first) < first;
  });
  std::erase_if(reporters_, [first](const auto& item) {
    return item.second.reported < first * kSecondsPerHour;
  });
}

}  // namespace comfreystand::hours
