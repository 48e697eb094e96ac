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

double& SuccessShare() {
  static double share = 0;
  return share;
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

void SetLogSuccessShare(Fraction share) {
  SuccessShare() = share.value;
}

bool LogsRequest(LogSubject subject, std::string_view id) {
  if (subject != LogSubject::kOrdinaryRequest) {
    return LogEnabled(LogLevel::kInfo);
  }
  if (LogEnabled(LogLevel::kDebug)) {
    return true;
  }
  if (!LogEnabled(LogLevel::kInfo) || SuccessShare() <= 0) {
    return false;
  }
  constexpr uint64_t kParts = 1'000'000;
  const auto part = static_cast<double>(StableHash(id) % kParts);
  return part < SuccessShare() * static_cast<double>(kParts);
}

void LogRequestLine(std::string_view event,
                    LogSubject subject,
                    const std::vector<LogField>& fields) {
  const bool ordinary = subject == LogSubject::kOrdinaryRequest;
  CurrentSink()({ordinary ? LogLevel::kDebug : LogLevel::kInfo, "relay", event,
                 fields, subject});
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
