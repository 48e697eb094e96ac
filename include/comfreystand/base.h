#ifndef COMFREYSTAND_BASE_H_
#define COMFREYSTAND_BASE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

namespace comfreystand {

// A typed index. Handles with different tags are different types. A
// default-constructed handle is invalid.
template <typename Tag, typename Rep = uint32_t>
struct Handle {
  static constexpr Rep kInvalid = std::numeric_limits<Rep>::max();

  constexpr Handle() = default;
  constexpr explicit Handle(Rep value) : value(value) {}

  constexpr bool IsValid() const { return value != kInvalid; }
  constexpr auto operator<=>(const Handle&) const =
      default;  // NOLINT(modernize-use-nullptr)

  Rep value = kInvalid;
};

struct NodeTag;
struct SiteTag;
struct RegionTag;
struct DomainTag;
struct ServiceTag;
struct BackendTag;
struct ClassTag;
struct CallerTag;
struct RequestTag;
struct AttemptTag;

// An entry VM's position in the deployment; it stays the same when the VM is
// replaced.
using NodeId = Handle<NodeTag>;
// A group of entry VMs in one failure domain; look-ups answer with sites.
using SiteId = Handle<SiteTag, uint16_t>;
using RegionId = Handle<RegionTag, uint16_t>;
// A failure domain.
using DomainId = Handle<DomainTag, uint16_t>;
using ServiceId = Handle<ServiceTag, uint16_t>;
// A backend server of one service.
using BackendId = Handle<BackendTag>;
// A class of requests, for example "short" or "report".
using ClassId = Handle<ClassTag, uint8_t>;
// A caller; queueing is fair between callers.
using CallerId = Handle<CallerTag>;
// One request at one entry VM.
using RequestHandle = Handle<RequestTag, uint64_t>;
// One attempt of a request at one backend server.
using AttemptHandle = Handle<AttemptTag, uint64_t>;

// A span of time with microsecond resolution.
using Duration = std::chrono::microseconds;

// Clock type of the time points that decision code takes as arguments. They
// come from a steady clock or from virtual time.
struct SteadyTime {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyTime>;
  static constexpr bool is_steady = true;
};
using TimePoint = SteadyTime::time_point;

// Seconds since the Unix epoch, UTC. Used only for audit entries and hour
// records.
struct WallSeconds {
  constexpr auto operator<=>(const WallSeconds&) const = default;
  int64_t value = 0;
};

// Version of the accepted rule file. Zero means none has been accepted.
struct RuleVersion {
  constexpr auto operator<=>(const RuleVersion&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint64_t value = 0;
};

// Identifies one run of a node process. Later runs of the same node compare
// greater.
struct Incarnation {
  constexpr auto operator<=>(const Incarnation&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint64_t value = 0;
};

// A customer of the operators. Zero means none.
struct OrganisationId {
  constexpr auto operator<=>(const OrganisationId&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint32_t value = 0;
};

// Traffic volume in bytes.
struct Bytes {
  constexpr auto operator<=>(const Bytes&) const = default;
  int64_t value = 0;
};

// Concurrent work slots of backend servers.
struct Slots {
  constexpr auto operator<=>(const Slots&) const = default;
  int32_t value = 0;
};

// Rate of work, per second.
struct PerSecond {
  constexpr auto operator<=>(const PerSecond&) const = default;
  double value = 0;
};

// A share of a whole, from 0 to 1.
struct Fraction {
  constexpr auto operator<=>(const Fraction&) const = default;
  double value = 0;
};

// Whether a request may have had an effect at a backend server.
enum class RunVerdict : uint8_t {
  // No backend server started it and none will.
  kNotRun,
  // It may have started; the caller must not assume either way.
  kMayHaveRun,
  // It ran and its whole answer was received.
  kRan,
};

// Name of a verdict as used in headers and logs: "not-run", "may-have-run",
// "ran".
std::string_view ToString(RunVerdict verdict);

// Parses the output of ToString(). Returns false for anything else.
bool ParseRunVerdict(std::string_view text, RunVerdict* verdict);

// Source of the current time; tests and experiments supply their own.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallSeconds WallNow() const = 0;
};

// The operating system's steady and wall clocks.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallSeconds WallNow() const override;
};

// 64-bit hash of `bytes`, the same on every node and in every version.
uint64_t StableHash(std::string_view bytes, uint64_t seed = 0);

// StableHash() of two integers, for rendezvous hashing.
uint64_t StableHash(uint64_t a, uint64_t b);

// Maps a hash to the interval [0, 1).
constexpr double HashToUnitInterval(uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

}  // namespace comfreystand

template <typename Tag, typename Rep>
struct std::hash<comfreystand::Handle<Tag, Rep>> {
  size_t operator()(comfreystand::Handle<Tag, Rep> handle) const {
    return std::hash<Rep>()(handle.value);
  }
};

#endif  // COMFREYSTAND_BASE_H_
