#include "comfreystand/base.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace comfreystand {
namespace {

constexpr std::array<std::pair<RunVerdict, std::string_view>, 3> kVerdictNames =
    {{
        {RunVerdict::kNotRun, "not-run"},
        {RunVerdict::kMayHaveRun, "may-have-run"},
        {RunVerdict::kRan, "ran"},
    }};

}  // namespace

std::string_view ToString(RunVerdict verdict) {
  return kVerdictNames[static_cast<size_t>(verdict)].second;
}

bool ParseRunVerdict(std::string_view text, RunVerdict* verdict) {
  for (const auto& [value, name] : kVerdictNames) {
    if (name == text) {
      *verdict = value;
      return true;
    }
  }
  return false;
}

TimePoint SystemClock::Now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

WallSeconds SystemClock::WallNow() const {
  return WallSeconds{std::chrono::duration_cast<std::chrono::seconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count()};
}

uint64_t StableHash(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t StableHash(uint64_t a, uint64_t b) {
  const std::array<uint64_t, 2> words = {a, b};
  return XXH3_64bits(words.data(), sizeof(words));
}

}  // namespace comfreystand
