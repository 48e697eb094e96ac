#include "src/edge/request_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <string_view>

#include "comfreystand/log.h"

namespace comfreystand::edge {
namespace {

constexpr int kMinErrorStatus = 400;
// A longer request target is truncated in the log.
constexpr size_t kMaxLoggedTargetBytes = 200;

// Shorter head-of-line delays are not logged, as callers don't notice them.
constexpr std::chrono::milliseconds kMinLoggedReplyDelay{100};

// Indexed by RequestEnd.
constexpr std::array<std::string_view, 4> kRequestEndNames = {
    "answered", "refused", "cut-off", "caller-left"};

// Indexed by steer::AttemptEvent.
constexpr std::array<std::string_view, 8> kAttemptEventNames = {
    "open",    "answer-begun",           "answered",
    "not-run", "cancelled-before-start", "no-connection",
    "broken",  "earlier-answer"};

// Indexed by steer::HoldReason.
constexpr std::array<std::string_view, 8> kHoldNames = {
    "",        "leaving",   "evacuated", "asked-to-wait",
    "refused", "unhealthy", "cold",      "limited"};

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Time from arrival to deadline; 0 when the request was refused before its
// deadline was read.
int64_t TimeLimitMillis(const steer::RequestTraits& traits) {
  return std::max<int64_t>(0, Millis(traits.deadline - traits.arrival));
}

std::string FormatRate(double per_second) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", per_second);
  return text.data();
}

// "BACKEND START+DURATION EVENT", what the answer said, and the connection and
// process, in milliseconds; START counts from the arrival of the request.
std::string FormatAttempt(const Relay::AttemptRecord& record,
                          TimePoint arrival,
                          TimePoint now) {
  const TimePoint ended = record.ended == TimePoint() ? now : record.ended;
  std::string text =
      record.backend + " " + std::to_string(Millis(record.started - arrival)) +
      "+" + std::to_string(Millis(ended - record.started)) + " " +
      std::string(kAttemptEventNames[static_cast<size_t>(record.event)]);
  if (record.load) {
    text += " load=" + std::to_string(record.load->running) + "+" +
            std::to_string(record.load->waiting) + "/" +
            std::to_string(record.load->slots) + " work=" +
            std::to_string(static_cast<int>(record.load->work_factor * 100));
  }
  if (record.max_rate && *record.max_rate < steer::kUnlimitedRate) {
    text += " limit=" + FormatRate(*record.max_rate);
  }
  if (record.leaving) {
    text += " leaving";
  }
  if (record.wait) {
    text += " wait=" + std::to_string(Millis(*record.wait));
  }
  if (record.remaining_cold_time) {
    text += " cold=" + std::to_string(Millis(*record.remaining_cold_time));
  }
  if (record.new_connection) {
    text += " new-connection";
  }
  if (record.process_started_at_ms != 0) {
    text += " born=" + std::to_string(record.process_started_at_ms);
  }
  return text;
}

}  // namespace

void LogRequest(Relay* relay, RequestEnd end, TimePoint now) {
  const bool succeeded =
      end == RequestEnd::kAnswered && relay->status() < kMinErrorStatus;
  const LogSubject subject =
      succeeded ? LogSubject::kSuccessfulRequest : LogSubject::kRequest;
  const RelayRequest& request = relay->request();
  if (!ShouldLogRequest(subject, request.request_id)) {
    return;
  }
  const steer::RequestTraits& traits = request.traits;
  std::string attempts;
  for (const Relay::AttemptRecord& record : relay->attempt_records()) {
    attempts += attempts.empty() ? "" : "; ";
    attempts += FormatAttempt(record, traits.arrival, now);
  }
  LogRequestLine(
      "request", subject,
      {{"id", request.request_id},
       {"route", request.route},
       {"organisation", request.organisation_name},
       {"method", request.method},
       {"target", request.target.substr(0, kMaxLoggedTargetBytes)},
       {"config", std::to_string(request.config_version)},
       {"end", std::string(kRequestEndNames[static_cast<size_t>(end)])},
       {"status", std::to_string(relay->status())},
       {"reason", relay->reason()},
       {"held_by", std::string(kHoldNames[static_cast<size_t>(relay->hold())])},
       {"ms", std::to_string(Millis(now - traits.arrival))},
       {"limit_ms", std::to_string(TimeLimitMillis(traits))},
       {"object", std::to_string(traits.object)},
       {"attempts", attempts}});
}

void LogReplyDelay(const Relay* relay, TimePoint now) {
  const Duration delay = now - relay->finished_at();
  if (delay < kMinLoggedReplyDelay) {
    return;
  }
  const RelayRequest& request = relay->request();
  if (!ShouldLogRequest(LogSubject::kRequest, request.request_id)) {
    return;
  }
  LogRequestLine("answer-waited", LogSubject::kRequest,
                 {{"id", request.request_id},
                  {"route", request.route},
                  {"status", std::to_string(relay->status())},
                  {"waited_ms", std::to_string(Millis(delay))}});
}

}  // namespace comfreystand::edge
