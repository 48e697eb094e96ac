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
