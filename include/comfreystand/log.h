#ifndef COMFREYSTAND_LOG_H_
#define COMFREYSTAND_LOG_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"

// Structured log lines, for changes of state and for single requests.
namespace comfreystand {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarn, kError };

struct LogField {
  std::string key;
  std::string value;
};

// Subject of a line. At the info level only a share of the lines of successful
// requests is written; see SetLogSuccessShare().
enum class LogSubject : uint8_t {
  // The state of the process and its actions.
  kState,
  // A request that failed, was refused or needs an explanation.
  kRequest,
  // A request that was served successfully.
  kSuccessfulRequest,
};

// One line. `event` is a fixed lower-case name such as "rules-installed".
struct LogEntry {
  LogLevel level = LogLevel::kInfo;
  std::string_view component;
  std::string_view event;
  std::span<const LogField> fields;
  LogSubject subject = LogSubject::kState;
};

using LogSink = std::function<void(const LogEntry& entry)>;

// Sets the destination of entries. Without a sink, and with an empty one,
// entries are dropped. Call it from the loop's thread only.
void SetLogSink(LogSink sink);

// Sets the minimum level of the entries that are written. The default is
// kDebug.
void SetLogLevel(LogLevel level);

// Whether an entry of `level` would be written. Lets callers skip collecting
// its fields.
bool LogEnabled(LogLevel level);

// Sets the share of successful requests that is logged while the minimum
// level is kInfo.
void SetLogSuccessShare(Fraction share);

// Whether the line of a request would be written. Sampling of successful
// requests depends on the id only, so that all nodes log the same requests.
bool ShouldLogRequest(LogSubject subject, std::string_view id);

// Writes the line of a request for which ShouldLogRequest() is true.
void LogRequestLine(std::string_view event,
                    LogSubject subject,
                    const std::vector<LogField>& fields);

// Writes an entry. Call it from the loop's thread only.
void LogStateChange(std::string_view component,
                    std::string_view event,
                    const std::vector<LogField>& fields = {},
                    LogLevel level = LogLevel::kInfo);

}  // namespace comfreystand

#endif  // COMFREYSTAND_LOG_H_
