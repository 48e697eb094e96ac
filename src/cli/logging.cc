#include "src/cli/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <memory>

#include <nlohmann/json.hpp>

namespace comfreystand::cli {
namespace {

// Times are in UTC. %m is what FormatLogEntry() returns.
constexpr std::string_view kTextPattern =
    "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{UTC} level=%p %m%n";
constexpr std::string_view kJsonPattern =
    "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{UTC}\",\"level\":\"%p\",%m}%n";

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

std::string JsonString(std::string_view text) {
  return nlohmann::json(std::string(text))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool IsPlain(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

std::string TextValue(std::string_view text) {
  return IsPlain(text) ? std::string(text) : JsonString(text);
}

std::string FormatText(const LogEntry& entry) {
  std::string line = "component=" + TextValue(entry.component) +
                     " event=" + TextValue(entry.event);
  for (const LogField& field : entry.fields) {
    line += ' ' + field.key + '=' + TextValue(field.value);
  }
  return line;
}

std::string FormatJson(const LogEntry& entry) {
  std::string line = "\"component\":" + JsonString(entry.component) +
                     ",\"event\":" + JsonString(entry.event);
  for (const LogField& field : entry.fields) {
    line += ',' + JsonString(field.key) + ':' + JsonString(field.value);
  }
  return line;
}

}  // namespace

void StartLogging(LogLevel level, LogFormat format) {
  const std::string_view pattern =
      format == LogFormat::kJson ? kJsonPattern : kTextPattern;
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(std::string(pattern));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemOut());
  log4cxx::BasicConfigurator::configure(appender);
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  logger->setLevel(ToLog4cxx(level));
  SetLogLevel(level);
  SetLogSink([logger, format](const LogEntry& entry) {
    const log4cxx::LevelPtr entry_level = ToLog4cxx(entry.level);
    if (logger->isEnabledFor(entry_level)) {
      logger->forcedLog(entry_level, FormatLogEntry(entry, format));
    }
  });
}

void StopLogging() {
  SetLogSink({});
  log4cxx::LogManager::shutdown();
}

std::string FormatLogEntry(const LogEntry& entry, LogFormat format) {
  return format == LogFormat::kJson ? FormatJson(entry) : FormatText(entry);
}

}  // namespace comfreystand::cli
