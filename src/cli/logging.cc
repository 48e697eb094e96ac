#include "src/cli/logging.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>

#include <nlohmann/json.hpp>

#include "src/cli/log_queue.h"

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

// Whether a JSON string holds the text as it is.
bool IsPlainJson(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c < 0x7f && c != '"' && c != '\\';
  });
}

std::string JsonString(std::string_view text) {
  if (IsPlainJson(text)) {
    std::string quoted;
    quoted.reserve(text.size() + 2);
    quoted += '"';
    quoted += text;
    return quoted += '"';
  }
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

// Bytes that a pipe takes without waiting once it is writable.
constexpr size_t kAtomicBytes = 4'096;

bool TakesBytes(int fd) {
  pollfd poller = {.fd = fd, .events = POLLOUT, .revents = 0};
  return poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT) != 0;
}

// Formats by log4cxx's layouts and writes as far as the reader takes it.
class QueueAppender final : public log4cxx::AppenderSkeleton {
 public:
  QueueAppender() : queue_(LogBounds{}) {}

  void SetBounds(const LogBounds& bounds) { queue_.SetBounds(bounds); }

  // Tells of the next entry what its line is about.
  void SetSubject(LogSubject subject) { subject_ = subject; }

  void Flush() {
    while (!queue_.empty() && TakesBytes(STDOUT_FILENO)) {
      const std::string bytes = queue_.Take(kAtomicBytes);
      if (write(STDOUT_FILENO, bytes.data(), bytes.size()) < 0) {
        // The reader is gone; there is nobody left to tell.
        return;
      }
    }
    if (queue_.empty()) {
      ReportLeftOut();
    }
  }

  uint64_t left_out() const { return queue_.left_out_total(); }

  void close() override {}
  bool requiresLayout() const override { return true; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    queue_.Add(SystemClock().Now(), subject_, line);
    // Each write wakes the reader, so lines leave together; warnings at once.
    const bool urgent =
        event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
    if (urgent || queue_.bytes() >= kAtomicBytes) {
      Flush();
    }
  }

 private:
  // One line says how many are missing, once there is room for it.
  void ReportLeftOut() {
    const TimePoint now = SystemClock().Now();
    if (now - reported_ < kReportInterval) {
      return;
    }
    const uint64_t count = queue_.TakeLeftOut();
    if (count > 0) {
      reported_ = now;
      LogStateChange("log", "lines-left-out",
                     {{"count", std::to_string(count)}}, LogLevel::kWarn);
    }
  }

  static constexpr std::chrono::seconds kReportInterval{1};
  LogQueue queue_;
  LogSubject subject_ = LogSubject::kState;
  TimePoint reported_{};
};

std::shared_ptr<QueueAppender>& CurrentAppender() {
  static std::shared_ptr<QueueAppender> appender;
  return appender;
}

}  // namespace

void StartLogging(const LogSettings& settings) {
  const LogFormat format = settings.format;
  const std::string_view pattern =
      format == LogFormat::kJson ? kJsonPattern : kTextPattern;
  auto& appender = CurrentAppender();
  const bool restarted = appender != nullptr;
  if (!restarted) {
    appender = std::make_shared<QueueAppender>();
    log4cxx::BasicConfigurator::configure(appender);
  }
  appender->setLayout(
      std::make_shared<log4cxx::PatternLayout>(std::string(pattern)));
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  logger->setLevel(ToLog4cxx(settings.level));
  SetLogLevel(settings.level);
  SetLogSuccessShare(settings.success_share);
  LogBounds bounds;
  bounds.request_lines_per_second = settings.request_lines_per_second;
  appender->SetBounds(bounds);
  SetLogSink([logger, format](const LogEntry& entry) {
    const log4cxx::LevelPtr entry_level = ToLog4cxx(entry.level);
    CurrentAppender()->SetSubject(entry.subject);
    logger->forcedLog(entry_level, FormatLogEntry(entry, format));
  });
}

void FlushLog() {
  if (const auto& appender = CurrentAppender()) {
    appender->Flush();
  }
}

void FlushLogOften(EventLoop* loop) {
  constexpr std::chrono::milliseconds kInterval{200};
  loop->PostDelayed(kInterval, [loop] {
    FlushLog();
    FlushLogOften(loop);
  });
}

uint64_t LogLinesLeftOut() {
  const auto& appender = CurrentAppender();
  return appender ? appender->left_out() : 0;
}

void StopLogging() {
  FlushLog();
  SetLogSink({});
  log4cxx::LogManager::shutdown();
  CurrentAppender().reset();
}

std::string FormatLogEntry(const LogEntry& entry, LogFormat format) {
  return format == LogFormat::kJson ? FormatJson(entry) : FormatText(entry);
}

}  // namespace comfreystand::cli
