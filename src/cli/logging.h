#ifndef COMFREYSTAND_CLI_LOGGING_H_
#define COMFREYSTAND_CLI_LOGGING_H_

#include <string>

#include "comfreystand/log.h"
#include "comfreystand/settings.h"

namespace comfreystand::cli {

// Sends log entries of at least `level` to standard error through log4cxx.
void StartLogging(LogLevel level, LogFormat format);

// Writes out what is pending and drops entries from now on.
void StopLogging();

// The part of a line after its time and level: key=value pairs, or the
// members of a JSON object.
std::string FormatLogEntry(const LogEntry& entry, LogFormat format);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_LOGGING_H_
