#ifndef COMFREYSTAND_LOG_H_
#define COMFREYSTAND_LOG_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Structured log lines, written for changes of state only; what happens often
// is counted in metrics instead.
namespace comfreystand {

// Event of the lines that are written for single requests.
constexpr std::string_view kRequestEvent = "request";

enum class LogLevel : uint8_t { kDebug, kInfo, kWarn, kError };

struct LogField {
  std::string key;
  std::string value;
};

// One line. `event` is a fixed lower-case name such as "rules-installed".
struct LogEntry {
  LogLevel level = LogLevel::kInfo;
  std::string_view component;
  std::string_view event;
  std::span<const LogField> fields;
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

// Writes an entry. Call it from the loop's thread only.
void LogStateChange(std::string_view component,
                    std::string_view event,
                    const std::vector<LogField>& fields = {},
                    LogLevel level = LogLevel::kInfo);

}  // namespace comfreystand

#endif  // COMFREYSTAND_LOG_H_
