#ifndef COMFREYSTAND_LIMITS_H_
#define COMFREYSTAND_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

// Every limit of the system, with its unit. Sections follow the libraries.
namespace comfreystand::limits {

using namespace std::chrono_literals;

// Rules.
constexpr size_t kMaxRuleFileBytes = 900'000;
constexpr size_t kMaxRuleLineBytes = 4'096;
constexpr size_t kMaxNameBytes = 64;

// Edge.
constexpr size_t kMaxRequestHeaderBytes = 16'384;
constexpr size_t kMaxRequestBodyBytes = size_t{8} << 20;
constexpr size_t kMaxAnswerBodyBytes = size_t{64} << 20;

// Platform.
constexpr size_t kMaxStoreValueBytes = size_t{1} << 20;
constexpr std::chrono::milliseconds kStoreCallTimeout = 2'000ms;
constexpr std::chrono::milliseconds kStoreWatchTimeout = 30'000ms;

// Acceptance.
constexpr size_t kMaxChangeIdBytes = 128;
constexpr size_t kMaxAuditSegmentBytes = size_t{512} << 10;
constexpr size_t kAuditEntriesPerSegment = 16;
// Unconfirmed entries that the document gathers before they are dropped.
constexpr size_t kAuditDropEntries = 8;
constexpr size_t kAuditDropBytes = size_t{64} << 10;
constexpr std::chrono::hours kAuditRetention = 24h * 800;

// Member.
constexpr std::chrono::milliseconds kHeartbeatPeriod = 1'000ms;
// Silence after which a member counts as dead.
constexpr std::chrono::milliseconds kMemberTimeout = 7'000ms;
// Age after which another failure domain's summary counts as lost.
constexpr std::chrono::milliseconds kSummaryTimeout = 15'000ms;
// Time that dead members are remembered, so that late messages are ignored.
constexpr std::chrono::minutes kDeadRetention = 10min;
constexpr size_t kMaxDomainMembers = 256;
constexpr size_t kMaxDomains = 128;
constexpr size_t kMaxSiteLoads = 256;
constexpr size_t kMaxLeavingBackends = 4'096;
constexpr std::chrono::hours kLeavingRetention = 6h;
constexpr std::chrono::milliseconds kSummaryPeriod = 2'000ms;
constexpr std::chrono::milliseconds kLoadPeriod = 5'000ms;

// Hours.
constexpr std::chrono::hours kHourUnstoredRetention = 72h;
constexpr std::chrono::hours kHourStoredRetention = 24h * 800;
constexpr size_t kMaxHourRecords = 65'536;

// Peer.
constexpr size_t kMaxPeerMessageBytes = size_t{2} << 20;
constexpr std::chrono::milliseconds kPeerCallTimeout = 1'000ms;
constexpr std::chrono::milliseconds kPeerReconnectBackoff = 2'000ms;

}  // namespace comfreystand::limits

#endif  // COMFREYSTAND_LIMITS_H_
