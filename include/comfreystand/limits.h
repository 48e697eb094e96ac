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
constexpr size_t kMaxRuleServices = 256;
constexpr size_t kMaxRuleClasses = 32;
constexpr int kMaxEntryVmsPerDomain = 10'000;
// Share of all traffic and time of one change when the rule file has no cap.
constexpr double kDefaultCapShare = 0.10;
constexpr std::chrono::seconds kDefaultCapRamp = 60s;

// Settings.
constexpr size_t kMaxSettingsFileBytes = 65'536;

// Dispatch.
constexpr size_t kMaxServices = 256;
constexpr size_t kMaxBackends = 16'384;
constexpr size_t kLearnedDurations = 4'096;
constexpr size_t kMaxTrackedCallers = 8'192;
constexpr std::chrono::milliseconds kBalanceInterval = 50ms;
constexpr std::chrono::milliseconds kMinRetryAfter = 100ms;
constexpr std::chrono::seconds kMaxRetryAfter = 30s;

// Tickets.
constexpr size_t kMaxTicketBytes = 128;
constexpr size_t kTicketsPerWindow = 4'096;
constexpr size_t kMaxTicketWindows = 1'024;

// Edge.
constexpr size_t kMaxRequestHeaderBytes = 16'384;
constexpr size_t kMaxRequestBodyBytes = size_t{8} << 20;
constexpr size_t kMaxAnswerBodyBytes = size_t{64} << 20;
constexpr size_t kMaxReplayBodyBytes = size_t{256} << 10;
// Bytes that wait for a slow receiver before the sender is held back.
constexpr size_t kRelayBufferBytes = size_t{256} << 10;
constexpr int kMaxBackendConnections = 2'000;
constexpr int kMaxConnectionsPerBackend = 48;
constexpr int kMaxCallerConnections = 10'000;
constexpr std::chrono::milliseconds kCallerProgressTimeout = 30'000ms;
constexpr std::chrono::milliseconds kBackendConnectTimeout = 1'000ms;
constexpr std::chrono::milliseconds kBackendProgressTimeout = 10'000ms;
constexpr std::chrono::milliseconds kBackendIdle = 60'000ms;
// Part of a backend server's idle limit that is left unused, so that a request
// doesn't meet the close.
constexpr std::chrono::milliseconds kBackendIdleMargin = 1'500ms;
constexpr std::chrono::milliseconds kCancelTimeout = 1'000ms;
constexpr std::chrono::milliseconds kProbeTimeout = 1'000ms;
constexpr std::chrono::milliseconds kDefaultDeadline = 10'000ms;
constexpr std::chrono::milliseconds kMaxDeadline = 600'000ms;
constexpr std::chrono::milliseconds kLoadPollInterval = 1'000ms;

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

// Look-up.
constexpr size_t kMaxBlocks = 4'000'000;
constexpr size_t kMaxSites = 4'096;
constexpr size_t kMaxOrders = 65'535;
constexpr size_t kMaxOrderSites = 8;
constexpr size_t kMaxDeltaOrders = 4'096;
// Length of the client prefix that is steered as one unit.
constexpr int kUnitBitsIpv4 = 24;
constexpr int kUnitBitsIpv6 = 48;
constexpr std::chrono::seconds kAnswerTtl = 30s;
constexpr std::chrono::seconds kAnswerTtlInChange = 5s;

// Changes.
// Period over which moved and total traffic are compared.
constexpr std::chrono::seconds kCapPeriod = 5s;
// Share of one period's allowed moves that may be saved up, and that the
// allowance is kept below the cap by.
constexpr double kCapCreditShare = 0.05;
// The share of units that move is raised by a step a period while moved
// traffic is below this share of the cap.
constexpr double kCapRaiseBelow = 0.8;
constexpr double kCapRaiseStep = 0.01;

// Administration.
// A rule file with every byte escaped still fits.
constexpr size_t kMaxAdminBodyBytes = 1'500'000;
// Bodies above it end the connection instead of being read to their end.
constexpr size_t kMaxAdminSkippedBytes = 16'000'000;
constexpr size_t kMaxAdminHeaderBytes = 16'384;
constexpr size_t kMaxAdminConnections = 256;
constexpr std::chrono::seconds kAdminConnectionTimeout = 30s;
constexpr size_t kMaxReasonBytes = 256;
constexpr size_t kMaxHistoryEntries = 100;

// Grants.
constexpr std::chrono::seconds kGrantLifetime = 10s;
constexpr std::chrono::seconds kGrantRenewal = 2s;
constexpr std::chrono::milliseconds kGrantMargin = 50ms;
constexpr double kClockDrift = 0.01;
constexpr double kMaxLentShare = 0.5;
// Longer than a rule file takes to be in force everywhere and a loan to end.
constexpr std::chrono::seconds kShareRaiseDelay = 20s;

// Regions.
// Most other nodes of the own region, and of other regions, that a node borrows
// from.
constexpr size_t kMaxOwners = 8;
// Unused link budget that may be saved up.
constexpr std::chrono::milliseconds kLinkBurst = 20ms;
// Slots asked for beyond the demand seen, as a share of it.
constexpr double kDemandHeadroom = 0.15;
// Part of the way that the estimate falls towards a lower demand per renewal.
constexpr double kDemandDecay = 0.3;

}  // namespace comfreystand::limits

#endif  // COMFREYSTAND_LIMITS_H_
