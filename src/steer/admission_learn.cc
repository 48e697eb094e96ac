#include "src/steer/admission_learn.h"

#include <algorithm>

#include "comfreystand/limits.h"

namespace comfreystand::steer {
namespace {

// Weight of a new observation once a mean has settled.
constexpr double kLearnWeight = 0.05;
constexpr uint32_t kMinObservations = 3;
constexpr uint8_t kVotesForLong = 2;
constexpr uint8_t kMaxVotes = 4;
// Expected latency of work that nothing is known of.
constexpr Duration kUnknownLatency{20'000};
// Least expected latency; timers are set by multiples of it.
constexpr Duration kLeastExpected{500};

uint64_t TagOf(const WorkKey& key) {
  const uint64_t kind =
      (uint64_t{key.service.value} << 8) | key.request_class.value;
  return StableHash(kind, key.path_hash) | 1;
}

double Micros(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

DurationLearner::DurationLearner(double long_factor)
    : long_factor_(long_factor), entries_(limits::kMaxLearnedDurations) {}

Duration DurationLearner::Expected(const WorkKey& key) const {
  return std::max(kLeastExpected, LearnedMean(key));
}

Duration DurationLearner::LearnedMean(const WorkKey& key) const {
  const Entry* entry = Find(key);
  if (entry != nullptr && entry->count >= kMinObservations) {
    return Duration(static_cast<int64_t>(entry->mean_us));
  }
  if (KnowsClass(key)) {
    const Mean& mean = class_[key.service.value][key.request_class.value];
    return Duration(static_cast<int64_t>(mean.us));
  }
  return TypicalShort(key.service);
}

bool DurationLearner::Knows(const WorkKey& key) const {
  const Entry* entry = Find(key);
  return entry != nullptr && entry->count >= kMinObservations;
}

bool DurationLearner::KnowsClass(const WorkKey& key) const {
  return key.service.value < class_.size() &&
         class_[key.service.value][key.request_class.value].count >=
             kMinObservations;
}

Duration DurationLearner::TypicalShort(ServiceId service) const {
  if (service.value >= short_.size() ||
      short_[service.value].count < kMinObservations) {
    return kUnknownLatency;
  }
  return Duration(static_cast<int64_t>(short_[service.value].us));
}

bool DurationLearner::IsLong(const WorkKey& key) const {
  const Entry* entry = Find(key);
  return entry != nullptr && entry->long_votes >= kVotesForLong;
}

void DurationLearner::OnFinished(const WorkKey& key,
                                 Lane lane,
                                 BackendId backend,
                                 Duration latency) {
  const size_t service = key.service.value;
  if (service >= short_.size()) {
    short_.resize(service + 1);
    class_.resize(service + 1);
  }
  const bool is_long = OnRunning(key, backend, latency);
  Entry& entry = Slot(key);
  if (!is_long && entry.long_votes > 0) {
    --entry.long_votes;
  }
  ++entry.count;
  const double weight =
      std::max(kLearnWeight, 1.0 / static_cast<double>(entry.count));
  entry.mean_us += (Micros(latency) - entry.mean_us) * weight;
  // Outliers of short work are left out: they are long work or come from a
  // slow backend server.
  if (lane == Lane::kShort && !is_long) {
    Add(&short_[service], Micros(latency));
  }
  if (lane == Lane::kLong || !is_long) {
    Add(&class_[service][key.request_class.value], Micros(latency));
  }
}

bool DurationLearner::OnRunning(const WorkKey& key,
                                BackendId backend,
                                Duration age) {
  const size_t service = key.service.value;
  if (service >= short_.size() || short_[service].count < kMinObservations) {
    return false;
  }
  if (Micros(age) < long_factor_ * short_[service].us) {
    return false;
  }
  Vote(&Slot(key), backend);
  return true;
}

DurationLearner::Entry& DurationLearner::Slot(const WorkKey& key) {
  const uint64_t tag = TagOf(key);
  Entry& entry = entries_[tag % entries_.size()];
  if (entry.tag != tag) {
    entry = Entry();
    entry.tag = tag;
  }
  return entry;
}

const DurationLearner::Entry* DurationLearner::Find(const WorkKey& key) const {
  const uint64_t tag = TagOf(key);
  const Entry& entry = entries_[tag % entries_.size()];
  return entry.tag == tag ? &entry : nullptr;
}

void DurationLearner::Vote(Entry* entry, BackendId backend) {
  const bool same_backend =
      entry->long_votes == 1 && entry->last_long == backend;
  entry->last_long = backend;
  if (!same_backend && entry->long_votes < kMaxVotes) {
    ++entry->long_votes;
  }
}

void DurationLearner::Add(Mean* mean, double us) {
  ++mean->count;
  const double weight =
      std::max(kLearnWeight, 1.0 / static_cast<double>(mean->count));
  mean->us += (us - mean->us) * weight;
}

}  // namespace comfreystand::steer
