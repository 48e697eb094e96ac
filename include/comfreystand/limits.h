#ifndef COMFREYSTAND_LIMITS_H_
#define COMFREYSTAND_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

// All limits of the system, with their units, grouped by library.
namespace comfreystand::limits {

using namespace std::chrono_literals;

// Rules.
// Two rule files and their difference must fit into one store value.
constexpr size_t kMaxRuleFileBytes = 240'000;
constexpr size_t kMaxRuleLineBytes = 4'096;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxRuleRegions = 64;
constexpr size_t kMaxRuleDomains = 1'024;
constexpr size_t kMaxRuleSites = 4'096;
constexpr size_t kMaxRuleServices = 256;
constexpr size_t kMaxRuleClasses = 32;
constexpr int kMaxEntryVmsPerDomain = 10'000;
// Cap of a change when the rule file has none: share of all traffic that it may
// move, and time over which it moves.
constexpr double kDefaultCapShare = 0.10;
constexpr std::chrono::seconds kDefaultCapRamp = 60s;

// Settings.
constexpr size_t kMaxSettingsFileBytes = 65'536;

// Dispatch.
constexpr size_t kMaxServices = 256;
constexpr size_t kMaxOrganisations = 65'536;
constexpr size_t kMaxBackends = 16'384;
constexpr size_t kMaxLearnedDurations = 4'096;
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
// Status line and headers of an answer, or its chunk framing between two bytes
// of the body.
constexpr size_t kMaxAnswerHeadBytes = size_t{64} << 10;
// Answers to earlier requests that are read past on a connection.
constexpr size_t kMaxSkippedAnswerBytes = size_t{8} << 20;
// Body of an answer that refuses a request; the body isn't forwarded.
constexpr size_t kMaxRefusalBodyBytes = size_t{64} << 10;
constexpr size_t kMaxReplayBodyBytes = size_t{256} << 10;
// Request bodies up to this size arrive whole before they are sent on.
constexpr size_t kMaxBufferedRequestBytes = size_t{64} << 10;
// Upload bodies up to this size do, as far as the budget has room.
constexpr size_t kMaxBufferedUploadBytes = size_t{1} << 20;
// Budget of the bytes held for callers where the memory of the VM is unknown:
// that of the smallest VM, 112 MB; more where it has more connections.
constexpr size_t kMaxBufferedBytes = size_t{42} << 20;
constexpr size_t kMaxBufferedBytesPerCaller = size_t{32} << 10;
// Bytes buffered for a slow receiver before reading from the sender is paused.
constexpr size_t kRelayBufferBytes = size_t{256} << 10;
constexpr int kMaxBackendConnections = 2'000;
constexpr int kMaxConnectionsPerBackend = 48;
constexpr int kMaxCallerConnections = 10'000;
// Connections and buffered bytes of callers at the addresses other than that of
// traffic, which have descriptors of their own.
constexpr int kMaxDirectoryConnections = 96;
constexpr size_t kMaxDirectoryBytes = size_t{4} << 20;
constexpr int kMaxReadinessConnections = 24;
constexpr size_t kMaxReadinessBytes = size_t{1} << 20;
constexpr int kMaxPeerConnections = 112;
constexpr size_t kMaxPeerBytes = size_t{16} << 20;
constexpr int kMaxMetricsConnections = 16;
constexpr size_t kMaxMetricsBytes = size_t{2} << 20;
// Descriptors for listeners, files, and calls to the store and other nodes.
constexpr int kOwnDescriptors = 52;
constexpr std::chrono::milliseconds kCallerProgressTimeout = 30'000ms;
constexpr std::chrono::milliseconds kBackendConnectTimeout = 1'000ms;
constexpr std::chrono::milliseconds kBackendProgressTimeout = 10'000ms;
constexpr std::chrono::milliseconds kBackendIdleTimeout = 60'000ms;
// Idle connections are closed this long before the idle limit of the backend
// server, so that no request is sent while the server closes the connection.
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
// The unconfirmed entries in the rule document are dropped when they reach this
// number or size and are in the audit trail.
constexpr size_t kAuditDropEntries = 8;
constexpr size_t kAuditDropBytes = size_t{64} << 10;
constexpr std::chrono::hours kAuditRetention = 24h * 800;

// Member.
constexpr std::chrono::milliseconds kHeartbeatPeriod = 1'000ms;
// Time without a heartbeat after which a member counts as dead.
constexpr std::chrono::milliseconds kMemberTimeout = 7'000ms;
// Age after which the summary of another failure domain counts as lost.
constexpr std::chrono::milliseconds kSummaryTimeout = 15'000ms;
// Time for which dead members are kept, so that delayed messages from them are
// ignored.
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
// Prefix length of a client unit: its clients are steered together.
constexpr int kUnitBitsIpv4 = 24;
constexpr int kUnitBitsIpv6 = 48;
constexpr std::chrono::seconds kAnswerTtl = 30s;
constexpr std::chrono::seconds kAnswerTtlInChange = 5s;

// Changes.
// Period over which the share of moved traffic is measured.
constexpr std::chrono::seconds kCapPeriod = 5s;
// Maximum unused moves that are saved up, as a share of the moves that the cap
// allows in one period. To compensate for them, look-ups earn moves at a rate
// that is lower than the cap by the same share.
constexpr double kCapCreditShare = 0.05;
// While moved traffic is below kCapRaiseBelow (a share of the cap), the share
// of units that move is raised by kCapRaiseStep per period.
constexpr double kCapRaiseBelow = 0.8;
constexpr double kCapRaiseStep = 0.01;

// Administration.
// Large enough for a rule file in which every byte is escaped.
constexpr size_t kMaxAdminBodyBytes = 1'500'000;
// A larger body closes the connection instead of being read to its end.
constexpr size_t kMaxAdminSkippedBytes = 16'000'000;
constexpr size_t kMaxAdminHeaderBytes = 16'384;
constexpr size_t kMaxAdminConnections = 256;
constexpr std::chrono::seconds kAdminConnectionTimeout = 30s;
constexpr size_t kMaxReasonBytes = 256;
constexpr size_t kMaxHistoryEntries = 100;

// Grants.
constexpr std::chrono::seconds kGrantLifetime = 10s;
constexpr std::chrono::seconds kGrantRenewalInterval = 2s;
constexpr std::chrono::milliseconds kGrantMargin = 50ms;
constexpr double kClockDrift = 0.01;
constexpr double kMaxLentShare = 0.5;
// Longer than the time until a rule file is in force on all nodes, plus the
// lifetime of a grant.
constexpr std::chrono::seconds kShareRaiseDelay = 20s;

// Regions.
// Maximum number of nodes that a node borrows slots from, in its own region and
// in other regions each.
constexpr size_t kMaxOwners = 8;
// Maximum unused link budget that is saved up, as time at the full rate.
constexpr std::chrono::milliseconds kLinkBurst = 20ms;
// Slots requested beyond the estimated demand, as a share of it.
constexpr double kDemandHeadroom = 0.15;
// Smoothing factor per renewal for a demand estimate that falls.
constexpr double kDemandDecay = 0.3;

}  // namespace comfreystand::limits

#endif  // COMFREYSTAND_LIMITS_H_
