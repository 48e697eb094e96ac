#ifndef COMFREYSTAND_CLI_LOGGING_H_
#define COMFREYSTAND_CLI_LOGGING_H_

#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/log.h"
#include "comfreystand/settings.h"

namespace comfreystand::cli {

// Writes log entries of at least the configured level to standard output,
// formatted by log4cxx. Never blocks on a slow reader: lines beyond the limits
// are dropped and counted, and the count is logged once the queue is empty. A
// second call applies changed settings.
void StartLogging(const LogSettings& settings);

// Writes queued lines until the queue is empty or the reader accepts no more.
void FlushLog();

// Calls FlushLog() at intervals while the loop runs, so that lines are written
// in batches.
void FlushLogPeriodically(EventLoop* loop);

// Number of lines dropped since the start.
uint64_t DroppedLogLineCount();

// Flushes the queue and drops all later entries.
void StopLogging();

// Formats the part of a line after its time and level: key=value pairs, or the
// members of a JSON object.
std::string FormatLogEntry(const LogEntry& entry, LogFormat format);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_LOGGING_H_
