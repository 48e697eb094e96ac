#include "comfreystand/log.h"

#include <utility>

namespace comfreystand {
namespace {

LogSink& CurrentSink() {
  static LogSink sink;
  return sink;
}

LogLevel& LeastLevel() {
  static LogLevel level = LogLevel::kDebug;
  return level;
}

}  // namespace

void SetLogLevel(LogLevel level) {
  LeastLevel() = level;
}

bool LogEnabled(LogLevel level) {
  return CurrentSink() && level >= LeastLevel();
}

void SetLogSink(LogSink sink) {
  CurrentSink() = std::move(sink);
}

void LogStateChange(std::string_view component,
                    std::string_view event,
                    const std::vector<LogField>& fields,
                    LogLevel level) {
  if (LogEnabled(level)) {
    CurrentSink()({level, component, event, fields});
  }
}

}  // namespace comfreystand
