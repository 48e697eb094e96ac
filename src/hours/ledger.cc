#include <algorithm>
#include <pcg_random.hpp>
#include <utility>

#include "src/hours/segment.h"

namespace comfreystand::hours {
namespace {

constexpr int64_t kSecondsPerDay = kSecondsPerHour * kHoursPerDay;

int64_t InHours(std::chrono::hours span) {
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
  // A counter of the hour under way; the map's nodes stay in place.
  struct Current {
    RegionKey region;
    HourCounts* counts = nullptr;
  };

  void Tick();
  HourCounts* FindCounts(RegionKey region);
  void NoteOwnReport();
  void Report(const std::function<void()>& done);
  void TakeStored(const wire::HoursMessage& reply);
  void WriteDays();
  void WriteDay(int64_t day);
  void MergeAndWrite(int64_t day,
                     const std::string& key,
                     const platform::StoreEntry& entry);
  void NoteStored(const Segment& written);
  void DropStored();
  void CheckFinished();

  LedgerInit init_;
  Loop& loop_;
  const Clock& clock_;
  platform::KeyValueStore& store_;
  peer::Transport& transport_;
  const LedgerPeers& peers_;
  pcg32 random_;

  Segment held_;
  // Up to when the reports of each life are in the store.
  std::map<LifeKey, int64_t> stored_;
  std::vector<Current> current_;
  int64_t current_hour_ = -1;
  Incarnation current_life_;
  int64_t started_ = 0;
  bool finished_ = false;
  int64_t finish_reported_ = 0;
  // Set while Finish() waits for the store or a keeper.
  std::function<void()> finish_done_;
  TimePoint next_write_{};
  int64_t written_hour_ = -1;
};

void HourLedger::Impl::Start() {
  started_ = clock_.WallNow().value;
  NoteOwnReport();
  const auto period = static_cast<uint32_t>(init_.report_period.count());
  loop_.PostDelayed(Duration{random_(period)},
                    [self = shared_from_this()] { self->Tick(); });
}

HourCounts* HourLedger::Impl::FindCounts(RegionKey region) {
  const int64_t hour = HourOf(clock_.WallNow()).value;
  const Incarnation life = peers_.OwnIncarnation();
  if (hour != current_hour_ || life != current_life_) {
    current_.clear();
    current_hour_ = hour;
    current_life_ = life;
  }
  for (const Current& current : current_) {
    if (current.region == region) {
      return current.counts;
    }
  }
  HourCounts* counts = &held_.MutableRecords()[{hour, init_.node.value,
                                                life.value, region.value}];
  current_.push_back({region, counts});
  return counts;
}

void HourLedger::Impl::Count(RegionKey region, bool answered) {
  HourCounts* counts = FindCounts(region);
  (answered ? counts->answered : counts->failed) += 1;
}

void HourLedger::Impl::NoteOwnReport() {
  wire::HourReporter own;
  own.set_node(init_.node.value);
  own.set_incarnation(peers_.OwnIncarnation().value);
  own.set_started(started_);
  own.set_reported(clock_.WallNow().value);
  own.set_finished(finished_);
  held_.Add(own);
}

void HourLedger::Impl::Tick() {
  NoteOwnReport();
  held_.DropBefore(HourOf(clock_.WallNow()).value -
                   InHours(limits::kHourUnstoredRetention));
  Report([] {});
  const int64_t hour = HourOf(clock_.WallNow()).value;
  if (peers_.OwnRank() == 0 &&
      (loop_.Now() >= next_write_ || hour != written_hour_)) {
    WriteDays();
  }
  DropStored();
  stats.unstored_records = held_.Records().size();
  // A fifth of jitter keeps the nodes' reports apart.
  const int64_t period = init_.report_period.count();
  const Duration wait{period * 9 / 10 +
                      random_(static_cast<uint32_t>(period / 5 + 1))};
  loop_.PostDelayed(wait, [self = shared_from_this()] { self->Tick(); });
}

void HourLedger::Impl::Report(const std::function<void()>& done) {
  wire::Envelope request;
  request.set_from_node(init_.node.value);
  wire::HoursMessage* message = request.mutable_hours();
  message->set_domain(MakeRegionKey(init_.domain).value);
  wire::HourSegment held;
  held_.Fill(&held);
  message->mutable_records()->Swap(held.mutable_records());
  message->mutable_reporters()->Swap(held.mutable_reporters());
  const std::vector<std::string> ranked = peers_.RankedAddresses();
  const size_t keepers =
      std::min(ranked.size(), static_cast<size_t>(init_.keepers));
  for (size_t i = 0; i < keepers; ++i) {
    if (ranked[i].empty()) {
      continue;
    }
    ++stats.reports;
    transport_.Call(ranked[i], request,
                    [self = shared_from_this(), done](
                        bool ok, const wire::Envelope& reply) {
                      if (ok && reply.has_hours()) {
                        self->TakeStored(reply.hours());
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
    held_.Add(record);
  }
  for (const wire::HourReporter& reporter : request.reporters()) {
    held_.Add(reporter);
    const auto it = stored_.find({reporter.node(), reporter.incarnation()});
    if (it != stored_.end()) {
      wire::HourReporter* stored = reply->add_stored();
      stored->set_node(reporter.node());
      stored->set_incarnation(reporter.incarnation());
      stored->set_reported(it->second);
    }
  }
}

void HourLedger::Impl::TakeStored(const wire::HoursMessage& reply) {
  for (const wire::HourReporter& reporter : reply.stored()) {
    int64_t& stored = stored_[{reporter.node(), reporter.incarnation()}];
    stored = std::max(stored, reporter.reported());
  }
}

void HourLedger::Impl::WriteDays() {
  const Hour now = HourOf(clock_.WallNow());
  std::vector<int64_t> days{now.value / kHoursPerDay};
  for (const auto& [key, counts] : held_.Records()) {
    days.push_back(std::get<0>(key) / kHoursPerDay);
  }
  for (const auto& [key, reporter] : held_.Reporters()) {
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
    // Kept as it is for inspection; counting goes on beside it.
    ++stats.damaged_values;
    const std::string beside = key + "-beside";
    store_.Get(beside, [self = shared_from_this(), day, beside](
                           platform::StoreStatus status,
                           const platform::StoreEntry& other) {
      wire::HourSegment parsed;
      if ((status == platform::StoreStatus::kOk ||
           status == platform::StoreStatus::kNotFound) &&
          parsed.ParseFromString(other.value)) {
        self->MergeAndWrite(day, beside, other);
      }
    });
    return;
  }
  const Segment written =
      held_.Between(day * kHoursPerDay, (day + 1) * kHoursPerDay);
  Segment merged;
  merged.Merge(stored);
  if (!merged.Merge(written)) {
    NoteStored(written);
    return;
  }
  wire::HourSegment value;
  merged.Fill(&value);
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
                          self->NoteStored(written);
                          self->written_hour_ = hour;
                          self->next_write_ =
                              self->loop_.Now() + self->init_.write_period;
                        });
}

void HourLedger::Impl::NoteStored(const Segment& written) {
  for (const auto& [life, reporter] : written.Reporters()) {
    int64_t& stored = stored_[life];
    stored = std::max(stored, reporter.reported);
  }
  CheckFinished();
}

// Ends Finish() once the store has this life's last report.
void HourLedger::Impl::CheckFinished() {
  if (!finish_done_) {
    return;
  }
  const auto it =
      stored_.find({init_.node.value, peers_.OwnIncarnation().value});
  if (it != stored_.end() && it->second >= finish_reported_) {
    std::exchange(finish_done_, nullptr)();
  }
}

void HourLedger::Impl::DropStored() {
  const int64_t now_hour = HourOf(clock_.WallNow()).value;
  auto& records = held_.MutableRecords();
  std::erase_if(records, [&](const auto& item) {
    const auto& [hour, node, life, region] = item.first;
    const auto it = stored_.find({node, life});
    return hour < now_hour && it != stored_.end() &&
           it->second >= (hour + 1) * kSecondsPerHour;
  });
  // Lives that ended and are stored need no more reports.
  const int64_t old = (now_hour - 2) * kSecondsPerHour;
  std::erase_if(stored_, [old](const auto& item) { return item.second < old; });
}

void HourLedger::Impl::Finish(std::function<void()> done) {
  finished_ = true;
  finish_reported_ = clock_.WallNow().value;
  finish_done_ = std::move(done);
  NoteOwnReport();
  if (peers_.OwnRank() == 0) {
    WriteDays();
  }
  Report([self = shared_from_this()] {
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
