#include "src/steer/admission_learn.h"

#include <algorithm>

#include "comfreystand/limits.h"

namespace comfreystand::steer {
namespace {

// Minimum weight of a new observation in a mean; reached at 20 observations.
constexpr double kMinObservationWeight = 0.05;
constexpr uint32_t kMinObservations = 3;
constexpr uint8_t kMinLongVotes = 2;
constexpr uint8_t kMaxLongVotes = 4;
// Expected latency until any has been learned.
constexpr Duration kUnknownLatency{20'000};
// Lower limit of the expected latency, because timers are set to multiples of
// it.
constexpr Duration kMinExpectedLatency{500};

uint64_t EntryTag(const WorkKey& key) {
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
  return std::max(kMinExpectedLatency, LearnedMean(key));
}

Duration DurationLearner::LearnedMean(const WorkKey& key) const {
  const Entry* entry = Find(key);
  if (entry != nullptr && entry->count >= kMinObservations) {
    return Duration(static_cast<int64_t>(entry->mean_us));
  }
  if (HasLearnedClass(key)) {
    const Mean& mean = class_mean_[key.service.value][key.request_class.value];
    return Duration(static_cast<int64_t>(mean.us));
  }
  return TypicalShortLatency(key.service);
}

bool DurationLearner::HasLearned(const WorkKey& key) const {
  const Entry* entry = Find(key);
  return entry != nullptr && entry->count >= kMinObservations;
}

bool DurationLearner::HasLearnedClass(const WorkKey& key) const {
  return key.service.value < class_mean_.size() &&
         class_mean_[key.service.value][key.request_class.value].count >=
             kMinObservations;
}

Duration DurationLearner::TypicalShortLatency(ServiceId service) const {
  if (service.value >= short_mean_.size() ||
      short_mean_[service.value].count < kMinObservations) {
    return kUnknownLatency;
  }
  return Duration(static_cast<int64_t>(short_mean_[service.value].us));
}

bool DurationLearner::IsLong(const WorkKey& key) const {
  const Entry* entry = Find(key);
  return entry != nullptr && entry->long_votes >= kMinLongVotes;
}

void DurationLearner::OnFinished(const WorkKey& key,
                                 Lane lane,
                                 BackendId backend,
                                 Duration latency) {
  const size_t service = key.service.value;
  if (service >= short_mean_.size()) {
    short_mean_.resize(service + 1);
    class_mean_.resize(service + 1);
  }
  const bool is_long = OnRunning(key, backend, latency);
  Entry& entry = FindOrReplace(key);
  if (!is_long && entry.long_votes > 0) {
    --entry.long_votes;
  }
  ++entry.count;
  const double weight =
      std::max(kMinObservationWeight, 1.0 / static_cast<double>(entry.count));
  entry.mean_us += (Micros(latency) - entry.mean_us) * weight;
  // Outliers don't count for short work: they are undeclared long work or come
  // from a slow backend server.
  if (lane == Lane::kShort && !is_long) {
    AddObservation(&short_mean_[service], Micros(latency));
  }
  if (lane == Lane::kLong || !is_long) {
    AddObservation(&class_mean_[service][key.request_class.value],
                   Micros(latency));
  }
}

bool DurationLearner::OnRunning(const WorkKey& key,
                                BackendId backend,
                                Duration age) {
  const size_t service = key.service.value;
  if (service >= short_mean_.size() ||
      short_mean_[service].count < kMinObservations) {
    return false;
  }
  if (Micros(age) < long_factor_ * short_mean_[service].us) {
    return false;
  }
  AddLongVote(&FindOrReplace(key), backend);
  return true;
}

DurationLearner::Entry& DurationLearner::FindOrReplace(const WorkKey& key) {
  const uint64_t tag = EntryTag(key);
  Entry& entry = entries_[tag % entries_.size()];
  if (entry.tag != tag) {
    entry = Entry();
    entry.tag = tag;
  }
  return entry;
}

const DurationLearner::Entry* DurationLearner::Find(const WorkKey& key) const {
  const uint64_t tag = EntryTag(key);
  const Entry& entry = entries_[tag % entries_.size()];
  return entry.tag == tag ? &entry : nullptr;
}

void DurationLearner::AddLongVote(Entry* entry, BackendId backend) {
  const bool same_backend =
      entry->long_votes == 1 && entry->last_long_backend == backend;
  entry->last_long_backend = backend;
  if (!same_backend && entry->long_votes < kMaxLongVotes) {
    ++entry->long_votes;
  }
}

void DurationLearner::AddObservation(Mean* mean, double us) {
  ++mean->count;
  const double weight =
      std::max(kMinObservationWeight, 1.0 / static_cast<double>(mean->count));
  mean->us += (us - mean->us) * weight;
}

}  // namespace comfreystand::steer
