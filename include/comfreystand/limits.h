#ifndef COMFREYSTAND_LIMITS_H_
#define COMFREYSTAND_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

// Every limit of the system, with its unit. Sections follow the libraries.
namespace comfreystand::limits {

using namespace std::chrono_literals;

// Rules.
// Two files and the difference between them fit into one store value.
constexpr size_t kMaxRuleFileBytes = 240'000;
constexpr size_t kMaxRuleLineBytes = 4'096;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxRuleRegions = 64;
constexpr size_t kMaxRuleDomains = 1'024;
constexpr size_t kMaxRuleSites = 4'096;
constexpr size_t kMaxRuleServices = 1'024;
constexpr size_t kMaxRuleClasses = 32;
constexpr int kMaxEntryVmsPerDomain = 10'000;
// Share of all traffic and time of one change when the rule file has no cap.
constexpr double kDefaultCapShare = 0.10;
constexpr std::chrono::seconds kDefaultCapRamp = 60s;

// Settings.
constexpr size_t kMaxSettingsFileBytes = 65'536;

// Edge.
constexpr size_t kMaxRequestHeaderBytes = 16'384;
constexpr size_t kMaxRequestBodyBytes = size_t{8} * 1024 * 1024;
constexpr size_t kMaxAnswerBodyBytes = size_t{64} * 1024 * 1024;

// Platform.
constexpr size_t kMaxStoreValueBytes = size_t{1024} * 1024;
constexpr std::chrono::milliseconds kStoreCallTimeout = 2'000ms;
constexpr std::chrono::milliseconds kStoreWatchTimeout = 30'000ms;

// Peer.
constexpr size_t kMaxPeerMessageBytes = size_t{2} * 1024 * 1024;
constexpr std::chrono::milliseconds kPeerCallTimeout = 1'000ms;

}  // namespace comfreystand::limits

#endif  // COMFREYSTAND_LIMITS_H_
