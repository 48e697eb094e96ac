#ifndef COMFREYSTAND_SRC_STEER_ADMISSION_LEARN_H_
#define COMFREYSTAND_SRC_STEER_ADMISSION_LEARN_H_

#include <array>
#include <cstdint>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

namespace comfreystand::steer {

// Queue that a request waits in. Short work may use all slots; long work is
// limited to a share of them.
enum class Lane : uint8_t { kShort, kLong };
constexpr size_t kLanes = 2;

// Identifies requests whose durations are learned together.
struct WorkKey {
  ServiceId service;
  ClassId request_class;
  uint64_t path_hash = 0;
};

// Learns the duration of work per service, class and path, and detects long
// work that is not declared as long. The table has a fixed size; a key replaces
// any other key that maps to the same entry.
class DurationLearner {
 public:
  explicit DurationLearner(double long_factor);

  // Expected latency of work with `key`: the learned mean of the key, else of
  // its class, else of the service's short work.
  Duration Expected(const WorkKey& key) const;

  // True when the key itself has enough observations.
  bool HasLearned(const WorkKey& key) const;

  // True when the class of the key has enough observations.
  bool HasLearnedClass(const WorkKey& key) const;

  // Mean latency of the service's short work.
  Duration TypicalShortLatency(ServiceId service) const;

  // True when the work was long on two backend servers. One alone isn't enough
  // because it may be slow itself.
  bool IsLong(const WorkKey& key) const;

  void OnFinished(const WorkKey& key,
                  Lane lane,
                  BackendId backend,
                  Duration latency);

  // Reports unfinished work that has been running for `age`. Returns true when
  // it exceeds the duration of short work.
  bool OnRunning(const WorkKey& key, BackendId backend, Duration age);

 private:
  struct Entry {
    uint64_t tag = 0;
    double mean_us = 0;
    uint32_t count = 0;
    BackendId last_long_backend;
    uint8_t long_votes = 0;
  };

  struct Mean {
    double us = 0;
    uint32_t count = 0;
  };

  Duration LearnedMean(const WorkKey& key) const;
  Entry& FindOrReplace(const WorkKey& key);
  const Entry* Find(const WorkKey& key) const;
  void AddLongVote(Entry* entry, BackendId backend);
  static void AddObservation(Mean* mean, double us);

  double long_factor_;
  std::vector<Entry> entries_;
  // Mean duration of short work by service.
  std::vector<Mean> short_mean_;
  // Mean duration by service and class.
  std::vector<std::array<Mean, 256>> class_mean_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_ADMISSION_LEARN_H_
