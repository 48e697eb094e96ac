#include "src/edge/request_log.h"

#include <array>
#include <string>
#include <string_view>

#include "comfreystand/log.h"

namespace comfreystand::edge {
namespace {

constexpr int kFirstError = 400;
// Of a request's target in its line.
constexpr size_t kMostTargetBytes = 200;

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
  const LogLevel level = in_order ? LogLevel::kDebug : LogLevel::kInfo;
  if (!LogEnabled(level)) {
    return;
  }
  const RelayRequest& spec = relay->spec();
  const steer::RequestTraits& traits = spec.traits;
  std::string attempts;
  for (const Relay::AttemptNote& note : relay->notes()) {
    attempts += attempts.empty() ? "" : "; ";
    attempts += Describe(note, traits.arrival, now);
  }
  LogStateChange(
      "relay", kRequestEvent,
      {{"id", spec.request_id},
       {"route", spec.route},
       {"method", spec.method},
       {"target", spec.target.substr(0, kMostTargetBytes)},
       {"config", std::to_string(spec.config_version)},
       {"end", std::string(kEndNames[static_cast<size_t>(end)])},
       {"status", std::to_string(relay->status())},
       {"ms", std::to_string(Millis(now - traits.arrival))},
       {"limit_ms", std::to_string(Millis(traits.deadline - traits.arrival))},
       {"object", std::to_string(traits.object)},
       {"attempts", attempts}},
      level);
}

}  // namespace comfreystand::edge
