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

// Grants.
constexpr std::chrono::seconds kGrantLifetime = 10s;
constexpr std::chrono::seconds kGrantRenewal = 2s;
constexpr std::chrono::milliseconds kGrantMargin = 50ms;
constexpr double kClockDrift = 0.01;
constexpr double kMaxLentShare = 0.5;

// Regions.
// Most other nodes of the own region, and of other regions, that a node borrows
// from.
constexpr size_t kMaxOwners = 8;
// Unused link budget that may be saved up.
constexpr std::chrono::milliseconds kLinkBurst = 250ms;
// Slots asked for beyond the demand seen, as a share of it.
constexpr double kDemandHeadroom = 0.15;
// Part of the way that the estimate falls towards a lower demand per renewal.
constexpr double kDemandDecay = 0.3;

}  // namespace comfreystand::limits

#endif  // COMFREYSTAND_LIMITS_H_
