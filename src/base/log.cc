#include "comfreystand/log.h"

#include <utility>

namespace comfreystand {
namespace {

LogSink& CurrentSink() {
  static LogSink sink;
  return sink;
}

LogLevel& MinLevel() {
  static LogLevel level = LogLevel::kDebug;
  return level;
}

double& SuccessShare() {
  static double share = 0;
  return share;
}

}  // namespace

void SetLogLevel(LogLevel level) {
  MinLevel() = level;
}

bool LogEnabled(LogLevel level) {
  return CurrentSink() && level >= MinLevel();
}

void SetLogSink(LogSink sink) {
  CurrentSink() = std::move(sink);
}

void SetLogSuccessShare(Fraction share) {
  SuccessShare() = share.value;
}

bool ShouldLogRequest(LogSubject subject, std::string_view id) {
  if (subject != LogSubject::kSuccessfulRequest) {
    return LogEnabled(LogLevel::kInfo);
  }
  if (LogEnabled(LogLevel::kDebug)) {
    return true;
  }
  if (!LogEnabled(LogLevel::kInfo) || SuccessShare() <= 0) {
    return false;
  }
  constexpr uint64_t kBuckets = 1'000'000;
  const auto bucket = static_cast<double>(StableHash(id) % kBuckets);
  return bucket < SuccessShare() * static_cast<double>(kBuckets);
}

void LogRequestLine(std::string_view event,
                    LogSubject subject,
                    const std::vector<LogField>& fields) {
  const bool successful = subject == LogSubject::kSuccessfulRequest;
  CurrentSink()({successful ? LogLevel::kDebug : LogLevel::kInfo, "relay",
                 event, fields, subject});
}

void LogStateChange(std::string_view component,
                    std::string_view event,
                    const std::vector<LogField>& fields,
                    LogLevel level) {
  if (LogEnabled(level)) {
    CurrentSink()({level, component, event, fields, LogSubject::kState});
  }
}

}  // namespace comfreystand
