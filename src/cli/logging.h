#ifndef COMFREYSTAND_CLI_LOGGING_H_
#define COMFREYSTAND_CLI_LOGGING_H_

#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/log.h"
#include "comfreystand/settings.h"

namespace comfreystand::cli {

// Sends log entries of at least the level to standard output, formatted by
// log4cxx. Never waits for a slow reader: lines beyond the bounds are left out
// and counted, and the count is logged once there is room.
void StartLogging(const LogSettings& settings);

// Writes what waits for the reader, as far as that one takes it.
void FlushLog();

// Does so at intervals for as long as the loop runs; lines wait for each other
// until then.
void FlushLogOften(EventLoop* loop);

// Lines left out since the start.
uint64_t LogLinesLeftOut();

// Writes out what is pending and drops entries from now on.
void StopLogging();

// The part of a line after its time and level: key=value pairs, or the
// members of a JSON object.
std::string FormatLogEntry(const LogEntry& entry, LogFormat format);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_LOGGING_H_
