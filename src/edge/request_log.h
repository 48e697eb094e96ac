#ifndef COMFREYSTAND_SRC_EDGE_REQUEST_LOG_H_
#define COMFREYSTAND_SRC_EDGE_REQUEST_LOG_H_

#include "src/edge/relay.h"

namespace comfreystand::edge {

// Writes the line of a finished request: what it was, each attempt with what
// the backend server said, and how it ended. Requests that were answered in
// order are written at debug level, all others at info.
void LogRequest(Relay* relay, RequestEnd end, TimePoint now);

// Writes how long a whole answer waited behind earlier ones of its connection,
// when that is long enough to matter.
void LogWait(const Relay* relay, TimePoint now);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_REQUEST_LOG_H_
