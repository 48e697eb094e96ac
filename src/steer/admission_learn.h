#ifndef COMFREYSTAND_SRC_STEER_ADMISSION_LEARN_H_
#define COMFREYSTAND_SRC_STEER_ADMISSION_LEARN_H_

#include <array>
#include <cstdint>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

namespace comfreystand::steer {

// Short work shares slots freely; long work is bound to its share.
enum class Lane : uint8_t { kShort, kLong };
constexpr size_t kLanes = 2;

// Identifies requests whose durations are learned together.
struct WorkKey {
  ServiceId service;
  ClassId request_class;
  uint64_t path_hash = 0;
};

// Learns how long work takes per service, class and path, and finds work that
// is long without having been declared so. Bounded in size: keys that share a
// place in the table replace each other.
class DurationLearner {
 public:
  explicit DurationLearner(double long_factor);

  // Expected latency of work under `key`, from its own history or else from
  // that of its class.
  Duration Expected(const WorkKey& key) const;

  // True when work under `key` itself has been seen often enough.
  bool Knows(const WorkKey& key) const;

  // True when Expected() rests on work of the same class.
  bool KnowsClass(const WorkKey& key) const;

  // Latency of typical short work of a service.
  Duration TypicalShort(ServiceId service) const;

  // True when the work has proved to be long on two backend servers, so that
  // one slow backend server does not make work look long.
  bool IsLong(const WorkKey& key) const;

  void OnFinished(const WorkKey& key,
                  Lane lane,
                  BackendId backend,
                  Duration latency);

  // Reports unfinished work that has taken `age` so far. Returns true when it
  // is longer than short work may be.
  bool OnRunning(const WorkKey& key, BackendId backend, Duration age);

 private:
  struct Entry {
    uint64_t tag = 0;
    double mean_us = 0;
    uint32_t count = 0;
    BackendId last_long;
    uint8_t long_votes = 0;
  };

  struct Mean {
    double us = 0;
    uint32_t count = 0;
  };

  Duration LearnedMean(const WorkKey& key) const;
  Entry& Slot(const WorkKey& key);
  const Entry* Find(const WorkKey& key) const;
  void Vote(Entry* entry, BackendId backend);
  static void Add(Mean* mean, double us);

  double long_factor_;
  std::vector<Entry> entries_;
  // By service; of short work.
  std::vector<Mean> short_;
  // By service and class.
  std::vector<std::array<Mean, 256>> class_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_ADMISSION_LEARN_H_
