#ifndef COMFREYSTAND_SRC_EDGE_REQUEST_LOG_H_
#define COMFREYSTAND_SRC_EDGE_REQUEST_LOG_H_

#include "src/edge/relay.h"

namespace comfreystand::edge {

// Logs a finished request: its properties, each attempt with the load that the
// backend server reported, and how it ended. Requests answered without an error
// are logged at debug level, and a share of them also while the minimum level
// is info; all others are logged at info.
void LogRequest(Relay* relay, RequestEnd end, TimePoint now);

// Logs how long a finished answer waited for earlier replies of its connection,
// unless the delay was too short to matter to the caller.
void LogReplyDelay(const Relay* relay, TimePoint now);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_REQUEST_LOG_H_
