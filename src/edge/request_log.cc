#include "src/edge/request_log.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include "comfreystand/log.h"

namespace comfreystand::edge {
namespace {

constexpr int kFirstError = 400;
// Of a request's target in its line.
constexpr size_t kMostTargetBytes = 200;

// Of an answer behind earlier ones; shorter waits are no caller's complaint.
constexpr std::chrono::milliseconds kLeastLoggedWait{100};

// Indexed by RequestEnd.
constexpr std::array<std::string_view, 4> kEndNames = {
    "answered", "refused", "cut-off", "caller-left"};

// Indexed by steer::AttemptEvent.
constexpr std::array<std::string_view, 7> kEventNames = {
    "open",    "answer-begun",           "answered",
    "not-run", "cancelled-before-start", "no-connection",
    "broken"};

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Time that the request had; 0 when it was refused before that was read.
int64_t LimitMillis(const steer::RequestTraits& traits) {
  return std::max<int64_t>(0, Millis(traits.deadline - traits.arrival));
}

// "BACKEND START+LENGTH EVENT LOAD", times in milliseconds from the arrival.
std::string Describe(const Relay::AttemptNote& note,
                     TimePoint arrival,
                     TimePoint now) {
  const TimePoint ended = note.ended == TimePoint() ? now : note.ended;
  std::string text = note.backend + " " +
                     std::to_string(Millis(note.started - arrival)) + "+" +
                     std::to_string(Millis(ended - note.started)) + " " +
                     std::string(kEventNames[static_cast<size_t>(note.event)]);
  if (note.load) {
    text += " load=" + std::to_string(note.load->running) + "+" +
            std::to_string(note.load->waiting) + "/" +
            std::to_string(note.load->slots) + " work=" +
            std::to_string(static_cast<int>(note.load->work_factor * 100));
  }
  return text;
}

}  // namespace

void LogRequest(Relay* relay, RequestEnd end, TimePoint now) {
  const bool in_order =
      end == RequestEnd::kAnswered && relay->status() < kFirstError;
  const LogSubject subject =
      in_order ? LogSubject::kSuccessfulRequest : LogSubject::kRequest;
  const RelayRequest& spec = relay->spec();
  if (!ShouldLogRequest(subject, spec.request_id)) {
    return;
  }
  const steer::RequestTraits& traits = spec.traits;
  std::string attempts;
  for (const Relay::AttemptNote& note : relay->notes()) {
    attempts += attempts.empty() ? "" : "; ";
    attempts += Describe(note, traits.arrival, now);
  }
  LogRequestLine("request", subject,
                 {{"id", spec.request_id},
                  {"route", spec.route},
                  {"method", spec.method},
                  {"target", spec.target.substr(0, kMostTargetBytes)},
                  {"config", std::to_string(spec.config_version)},
                  {"end", std::string(kEndNames[static_cast<size_t>(end)])},
                  {"status", std::to_string(relay->status())},
                  {"reason", relay->reason()},
                  {"ms", std::to_string(Millis(now - traits.arrival))},
                  {"limit_ms", std::to_string(LimitMillis(traits))},
                  {"object", std::to_string(traits.object)},
                  {"attempts", attempts}});
}

void LogWait(const Relay* relay, TimePoint now) {
  const Duration waited = now - relay->finished_at();
  if (waited < kLeastLoggedWait) {
    return;
  }
  const RelayRequest& spec = relay->spec();
  if (!ShouldLogRequest(LogSubject::kRequest, spec.request_id)) {
    return;
  }
  LogRequestLine("answer-waited", LogSubject::kRequest,
                 {{"id", spec.request_id},
                  {"route", spec.route},
                  {"status", std::to_string(relay->status())},
                  {"waited_ms", std::to_string(Millis(waited))}});
}

}  // namespace comfreystand::edge
