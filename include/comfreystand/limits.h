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
constexpr size_t kMaxRequestBodyBytes = 8 * 1024 * 1024;
constexpr size_t kMaxAnswerBodyBytes = 64 * 1024 * 1024;
constexpr size_t kMaxReplayBodyBytes = 256 * 1024;
// Bytes that wait for a slow receiver before the sender is held back.
constexpr size_t kRelayBufferBytes = 256 * 1024;
constexpr int kMaxBackendConnections = 2'000;
constexpr int kMaxConnectionsPerBackend = 48;
constexpr int kMaxCallerConnections = 10'000;
constexpr std::chrono::milliseconds kCallerProgressTimeout = 30'000ms;
constexpr std::chrono::milliseconds kBackendConnectTimeout = 1'000ms;
constexpr std::chrono::milliseconds kBackendProgressTimeout = 10'000ms;
constexpr std::chrono::milliseconds kCancelTimeout = 1'000ms;
constexpr std::chrono::milliseconds kProbeTimeout = 1'000ms;
constexpr std::chrono::milliseconds kDefaultDeadline = 10'000ms;
constexpr std::chrono::milliseconds kMaxDeadline = 600'000ms;
constexpr std::chrono::milliseconds kLoadPollInterval = 1'000ms;

// Platform.
constexpr size_t kMaxStoreValueBytes = 1024 * 1024;
constexpr std::chrono::milliseconds kStoreCallTimeout = 2'000ms;
constexpr std::chrono::milliseconds kStoreWatchTimeout = 30'000ms;

// Peer.
constexpr size_t kMaxPeerMessageBytes = 2 * 1024 * 1024;
constexpr std::chrono::milliseconds kPeerCallTimeout = 1'000ms;

}  // namespace comfreystand::limits

#endif  // COMFREYSTAND_LIMITS_H_
