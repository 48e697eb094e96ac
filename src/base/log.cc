#include "comfreystand/log.h"

#include <utility>

namespace comfreystand {
namespace {

LogSink& CurrentSink() {
  static LogSink sink;
  return sink;
}

}  // namespace

void SetLogSink(LogSink sink) {
  CurrentSink() = std::move(sink);
}

void LogStateChange(std::string_view component,
                    std::string_view event,
                    const std::vector<LogField>& fields,
                    LogLevel level) {
  if (CurrentSink()) {
    CurrentSink()({level, component, event, fields});
  }
}

}  // namespace comfreystand
