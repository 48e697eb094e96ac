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

// Whether the text needs no escapes in a JSON string.
bool NeedsNoJsonEscape(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c < 0x7f && c != '"' && c != '\\';
  });
}

// Quotes the text as a JSON string. Invalid UTF-8 is replaced.
std::string JsonString(std::string_view text) {
  if (NeedsNoJsonEscape(text)) {
    std::string quoted;
    quoted.reserve(text.size() + 2);
    quoted += '"';
    quoted += text;
    return quoted += '"';
  }
  return nlohmann::json(std::string(text))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Whether the text can be a value of a text line without quotes.
bool NeedsNoQuotes(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

std::string QuoteIfNeeded(std::string_view text) {
  return NeedsNoQuotes(text) ? std::string(text) : JsonString(text);
}

std::string FormatText(const LogEntry& entry) {
  std::string line = "component=" + QuoteIfNeeded(entry.component) +
                     " event=" + QuoteIfNeeded(entry.event);
  for (const LogField& field : entry.fields) {
    line += ' ' + field.key + '=' + QuoteIfNeeded(field.value);
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

// PIPE_BUF: once poll() reports a pipe as writable, a write of up to this size
// does not block.
constexpr size_t kPipeWriteBytes = 4'096;

bool IsWritable(int fd) {
  pollfd poll_entry = {.fd = fd, .events = POLLOUT, .revents = 0};
  return poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

// Formats entries with a log4cxx layout, queues the lines and writes them to
// standard output without blocking.
class QueueAppender final : public log4cxx::AppenderSkeleton {
 public:
  QueueAppender() : queue_(LogLimits{}) {}

  void SetLimits(const LogLimits& limits) { queue_.SetLimits(limits); }

  // Sets the subject of the entry that is appended next.
  void SetSubject(LogSubject subject) { subject_ = subject; }

  void Flush() {
    while (!queue_.empty() && IsWritable(STDOUT_FILENO)) {
      const std::string bytes = queue_.PopLines(kPipeWriteBytes);
      if (write(STDOUT_FILENO, bytes.data(), bytes.size()) < 0) {
        // The reader has closed the pipe; the error can't be reported anywhere.
        return;
      }
    }
    if (queue_.empty()) {
      ReportDroppedCount();
    }
  }

  uint64_t dropped_count() const { return queue_.total_dropped_count(); }

  void close() override {}
  bool requiresLayout() const override { return true; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    queue_.Add(SystemClock().Now(), subject_, line);
    // Each write wakes the reader, so lines are written in batches; warnings
    // and errors are written at once.
    const bool urgent =
        event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
    if (urgent || queue_.queued_bytes() >= kPipeWriteBytes) {
      Flush();
    }
  }

 private:
  // Logs the number of dropped lines, at most once per interval.
  void ReportDroppedCount() {
    const TimePoint now = SystemClock().Now();
    if (now - last_report_ < kReportInterval) {
      return;
    }
    const uint64_t count = queue_.TakeDroppedCount();
    if (count > 0) {
      last_report_ = now;
      LogStateChange("log", "lines-left-out",
                     {{"count", std::to_string(count)}}, LogLevel::kWarn);
    }
  }

  static constexpr std::chrono::seconds kReportInterval{1};
  LogQueue queue_;
  LogSubject subject_ = LogSubject::kState;
  TimePoint last_report_{};
};

std::shared_ptr<QueueAppender>& CurrentAppender() {
  static std::shared_ptr<QueueAppender> appender;
  return appender;
}

}  // namespace

void StartLogging(const LogSettings& settings) {
  const LogFormat format = settings.format;
  const std::string_view layout_pattern =
      format == LogFormat::kJson ? kJsonPattern : kTextPattern;
  auto& appender = CurrentAppender();
  const bool already_started = appender != nullptr;
  if (!already_started) {
    appender = std::make_shared<QueueAppender>();
    log4cxx::BasicConfigurator::configure(appender);
  }
  appender->setLayout(
      std::make_shared<log4cxx::PatternLayout>(std::string(layout_pattern)));
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  logger->setLevel(ToLog4cxx(settings.level));
  SetLogLevel(settings.level);
  SetLogSuccessShare(settings.success_share);
  LogLimits limits;
  limits.request_lines_per_second = settings.request_lines_per_second;
  appender->SetLimits(limits);
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

void FlushLogPeriodically(EventLoop* loop) {
  constexpr std::chrono::milliseconds kFlushInterval{200};
  loop->PostDelayed(kFlushInterval, [loop] {
    FlushLog();
    FlushLogPeriodically(loop);
  });
}

uint64_t DroppedLogLineCount() {
  const auto& appender = CurrentAppender();
  return appender ? appender->dropped_count() : 0;
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
