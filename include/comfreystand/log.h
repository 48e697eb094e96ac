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

// What a line is about; decides what is left out first.
enum class LogSubject : uint8_t {
  // What the process believes or does.
  kState,
  // A request that failed, was refused or needs an explanation.
  kRequest,
  // A request that was served in order.
  kOrdinaryRequest,
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

// Sets where entries go. Entries are dropped until a sink is set, and again
// after an empty one is. Call it from the loop's thread only.
void SetLogSink(LogSink sink);

// Sets the least level that is worth writing; all until it is set.
void SetLogLevel(LogLevel level);

// Whether an entry of `level` would be written, so that its fields are worth
// gathering.
bool LogEnabled(LogLevel level);

// Sets which share of the requests served in order is written although the
// level leaves them out.
void SetLogSuccessShare(Fraction share);

// Whether the line of a request would be written. The choice follows from its
// id, so that all nodes choose the same requests.
bool LogsRequest(LogSubject subject, std::string_view id);

// Writes the line of a request for which LogsRequest() is true.
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
