#include <algorithm>
#include <pcg_random.hpp>
#include <utility>

#include "src/hours/segment.h"

namespace comfreystand::hours {
namespace {

constexpr int64_t kSecondsPerDay = kSecondsPerHour * kHoursPerDay;

int64_t ToHours(std::chrono::hours span) {
  return span.count();
}

}  // namespace

class HourLedger::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const LedgerInit& init,
       Loop& loop,
       const Clock& clock,
       platform::KeyValueStore& store,
       peer::Transport& transport,
       const LedgerPeers& peers)
      : init_(init),
        loop_(loop),
        clock_(clock),
        store_(store),
        transport_(transport),
        peers_(peers),
        random_(init.seed) {}

  void Start();
  void Count(RegionKey region, bool answered);
  void Handle(const wire::HoursMessage& request, wire::HoursMessage* reply);
  void Finish(std::function<void()> done);

  LedgerStats stats;

 private:
  // Pointer to a counter of the current hour in segment_. It stays valid,
  // because the elements of a std::map don't move.
  struct CurrentCounter {
    RegionKey region;
    HourCounts* counts = nullptr;
  };

  void Tick();
  HourCounts* FindOrAddCounts(RegionKey region);
  void RecordOwnReport();
  void SendReports(const std::function<void()>& done);
  void MergeStoredTimes(const wire::HoursMessage& reply);
  void WriteDays();
  void WriteDay(int64_t day);
  void MergeAndWrite(int64_t day,
                     const std::string& key,
                     const platform::StoreEntry& entry);
  void MarkStored(const Segment& written);
  void DropStored();
  void CompleteFinishIfStored();

  LedgerInit init_;
  Loop& loop_;
  const Clock& clock_;
  platform::KeyValueStore& store_;
  peer::Transport& transport_;
  const LedgerPeers& peers_;
  pcg32 random_;

  Segment segment_;
  // Time up to which the reports of each incarnation are in the store, in
  // seconds since the Unix epoch.
  std::map<IncarnationKey, int64_t> stored_until_;
  std::vector<CurrentCounter> current_counters_;
  int64_t current_hour_ = -1;
  Incarnation current_incarnation_;
  int64_t started_at_ = 0;
  bool finished_ = false;
  int64_t finish_reported_at_ = 0;
  // Set while Finish() waits for the store or a replica.
  std::function<void()> finish_done_;
  TimePoint next_write_{};
  int64_t written_hour_ = -1;
};

void HourLedger::Impl::Start() {
  started_at_ = clock_.WallNow().value;
  RecordOwnReport();
  const auto period = static_cast<uint32_t>(init_.report_period.count());
  loop_.PostDelayed(Duration{random_(period)},
                    [self = shared_from_this()] { self->Tick(); });
}

HourCounts* HourLedger::Impl::FindOrAddCounts(RegionKey region) {
  const int64_t hour = HourOf(clock_.WallNow()).value;
  const Incarnation incarnation = peers_.OwnIncarnation();
  if (hour != current_hour_ || incarnation != current_incarnation_) {
    current_counters_.clear();
    current_hour_ = hour;
    current_incarnation_ = incarnation;
  }
  for (const CurrentCounter& current : current_counters_) {
    if (current.region == region) {
      return current.counts;
    }
  }
  HourCounts* counts = &segment_.MutableRecords()[{
      hour, init_.node.value, incarnation.value, region.value}];
  current_counters_.push_back({region, counts});
  return counts;
}

void HourLedger::Impl::Count(RegionKey region, bool answered) {
  HourCounts* counts = FindOrAddCounts(region);
  (answered ? counts->answered : counts->failed) += 1;
}

void HourLedger::Impl::RecordOwnReport() {
  wire::HourReporter own;
  own.set_node(init_.node.value);
  own.set_incarnation(peers_.OwnIncarnation().value);
  own.set_started(started_at_);
  own.set_reported(clock_.WallNow().value);
  own.set_finished(finished_);
  segment_.Add(own);
}

void HourLedger::Impl::Tick() {
  RecordOwnReport();
  segment_.DropBefore(HourOf(clock_.WallNow()).value -
                      ToHours(limits::kHourUnstoredRetention));
  SendReports([] {});
  const int64_t hour = HourOf(clock_.WallNow()).value;
  if (peers_.OwnRank() == 0 &&
      (loop_.Now() >= next_write_ || hour != written_hour_)) {
    WriteDays();
  }
  DropStored();
  stats.unstored_records = segment_.Records().size();
  // Jitter of a fifth of the period spreads the reports of the nodes in time.
  const int64_t period = init_.report_period.count();
  const Duration wait{period * 9 / 10 +
                      random_(static_cast<uint32_t>(period / 5 + 1))};
  loop_.PostDelayed(wait, [self = shared_from_this()] { self->Tick(); });
}

void HourLedger::Impl::SendReports(const std::function<void()>& done) {
  wire::Envelope request;
  request.set_from_node(init_.node.value);
  wire::HoursMessage* message = request.mutable_hours();
  message->set_domain(MakeRegionKey(init_.domain).value);
  wire::HourSegment held_segment;
  segment_.AppendTo(&held_segment);
  message->mutable_records()->Swap(held_segment.mutable_records());
  message->mutable_reporters()->Swap(held_segment.mutable_reporters());
  const std::vector<std::string> addresses = peers_.RankedAddresses();
  const size_t replicas =
      std::min(addresses.size(), static_cast<size_t>(init_.replicas));
  for (size_t i = 0; i < replicas; ++i) {
    if (addresses[i].empty()) {
      continue;
    }
    ++stats.reports;
    transport_.Call(addresses[i], request,
                    [self = shared_from_this(), done](
                        bool ok, const wire::Envelope& reply) {
                      if (ok && reply.has_hours()) {
                        self->MergeStoredTimes(reply.hours());
                        done();
                      }
                    });
  }
}

void HourLedger::Impl::Handle(const wire::HoursMessage& request,
                              wire::HoursMessage* reply) {
  if (request.domain() != MakeRegionKey(init_.domain).value) {
    return;
  }
  reply->set_domain(request.domain());
  for (const wire::HourRecord& record : request.records()) {
    segment_.Add(record);
  }
  for (const wire::HourReporter& reporter : request.reporters()) {
    segment_.Add(reporter);
    const auto it =
        stored_until_.find({reporter.node(), reporter.incarnation()});
    if (it != stored_until_.end()) {
      wire::HourReporter* stored = reply->add_stored();
      stored->set_node(reporter.node());
      stored->set_incarnation(reporter.incarnation());
      stored->set_reported(it->second);
    }
  }
}

void HourLedger::Impl::MergeStoredTimes(const wire::HoursMessage& reply) {
  for (const wire::HourReporter& reporter : reply.stored()) {
    int64_t& stored = stored_until_[{reporter.node(), reporter.incarnation()}];
    stored = std::max(stored, reporter.reported());
  }
}

void HourLedger::Impl::WriteDays() {
  const Hour now = HourOf(clock_.WallNow());
  std::vector<int64_t> days{now.value / kHoursPerDay};
  for (const auto& [key, counts] : segment_.Records()) {
    days.push_back(std::get<0>(key) / kHoursPerDay);
  }
  for (const auto& [key, reporter] : segment_.Reporters()) {
    days.push_back(reporter.reported / kSecondsPerDay);
  }
  std::sort(days.begin(), days.end());
  days.erase(std::unique(days.begin(), days.end()), days.end());
  for (const int64_t day : days) {
    WriteDay(day);
  }
}

void HourLedger::Impl::WriteDay(int64_t day) {
  const std::string key = DayKey(init_.key_prefix, day, init_.domain);
  store_.Get(key, [self = shared_from_this(), day, key](
                      platform::StoreStatus status,
                      const platform::StoreEntry& entry) {
    if (status == platform::StoreStatus::kOk ||
        status == platform::StoreStatus::kNotFound) {
      self->MergeAndWrite(day, key, entry);
    } else {
      ++self->stats.failed_writes;
    }
  });
}

void HourLedger::Impl::MergeAndWrite(int64_t day,
                                     const std::string& key,
                                     const platform::StoreEntry& entry) {
  wire::HourSegment stored;
  if (!stored.ParseFromString(entry.value)) {
    // The damaged value is kept for inspection. Counts are written under a
    // second key.
    ++stats.damaged_values;
    const std::string fallback_key = key + "-beside";
    store_.Get(fallback_key, [self = shared_from_this(), day, fallback_key](
                                 platform::StoreStatus status,
                                 const platform::StoreEntry& other) {
      wire::HourSegment parsed;
      if ((status == platform::StoreStatus::kOk ||
           status == platform::StoreStatus::kNotFound) &&
          parsed.ParseFromString(other.value)) {
        self->MergeAndWrite(day, fallback_key, other);
      }
    });
    return;
  }
  const Segment written =
      segment_.SelectHours(day * kHoursPerDay, (day + 1) * kHoursPerDay);
  Segment merged;
  merged.Merge(stored);
  if (!merged.Merge(written)) {
    MarkStored(written);
    return;
  }
  wire::HourSegment value;
  merged.AppendTo(&value);
  ++stats.writes;
  const int64_t hour = HourOf(clock_.WallNow()).value;
  store_.CompareAndSwap(key, entry.revision, value.SerializeAsString(),
                        limits::kHourStoredRetention,
                        [self = shared_from_this(), written, hour](
                            platform::StoreStatus status, platform::Revision) {
                          if (status != platform::StoreStatus::kOk) {
                            ++self->stats.failed_writes;
                            return;
                          }
                          self->MarkStored(written);
                          self->written_hour_ = hour;
                          self->next_write_ =
                              self->loop_.Now() + self->init_.write_period;
                        });
}

void HourLedger::Impl::MarkStored(const Segment& written) {
  for (const auto& [incarnation, reporter] : written.Reporters()) {
    int64_t& stored = stored_until_[incarnation];
    stored = std::max(stored, reporter.reported);
  }
  CompleteFinishIfStored();
}

// Completes Finish() once the store has the last report of this incarnation.
void HourLedger::Impl::CompleteFinishIfStored() {
  if (!finish_done_) {
    return;
  }
  const auto it =
      stored_until_.find({init_.node.value, peers_.OwnIncarnation().value});
  if (it != stored_until_.end() && it->second >= finish_reported_at_) {
    std::exchange(finish_done_, nullptr)();
  }
}

void HourLedger::Impl::DropStored() {
  const int64_t now_hour = HourOf(clock_.WallNow()).value;
  auto& records = segment_.MutableRecords();
  std::erase_if(records, [&](const auto& item) {
    const auto& [hour, node, incarnation, region] = item.first;
    const auto it = stored_until_.find({node, incarnation});
    return hour < now_hour && it != stored_until_.end() &&
           it->second >= (hour + 1) * kSecondsPerHour;
  });
  // Incarnations without a stored report in the last hours have ended and send
  // no more reports.
  const int64_t oldest_kept = (now_hour - 2) * kSecondsPerHour;
  std::erase_if(stored_until_, [oldest_kept](const auto& item) {
    return item.second < oldest_kept;
  });
}

void HourLedger::Impl::Finish(std::function<void()> done) {
  finished_ = true;
  finish_reported_at_ = clock_.WallNow().value;
  finish_done_ = std::move(done);
  RecordOwnReport();
  if (peers_.OwnRank() == 0) {
    WriteDays();
  }
  SendReports([self = shared_from_this()] {
    if (self->finish_done_) {
      std::exchange(self->finish_done_, nullptr)();
    }
  });
}

HourLedger::HourLedger(const LedgerInit& init,
                       Loop& loop,
                       const Clock& clock,
                       platform::KeyValueStore& store,
                       peer::Transport& transport,
                       const LedgerPeers& peers)
    : impl_(
          std::make_shared<Impl>(init, loop, clock, store, transport, peers)) {}

HourLedger::~HourLedger() = default;

void HourLedger::Start() {
  impl_->Start();
}

void HourLedger::Count(RegionKey region, bool answered) {
  impl_->Count(region, answered);
}

void HourLedger::Handle(const wire::Envelope& request, wire::Envelope* reply) {
  if (request.has_hours()) {
    impl_->Handle(request.hours(), reply->mutable_hours());
  }
}

void HourLedger::Finish(std::function<void()> done) {
  impl_->Finish(std::move(done));
}

const LedgerStats& HourLedger::GetStats() const {
  return impl_->stats;
}

}  // namespace comfreystand::hours
