#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "comfreystand/load.h"

// Formats results and parses the command-line options.
namespace comfreystand::load {
namespace {

nlohmann::json LatencyJson(const Latency& latency) {
  return {{"count", latency.count},  {"p50_ms", latency.p50},
          {"p90_ms", latency.p90},   {"p99_ms", latency.p99},
          {"p999_ms", latency.p999}, {"max_ms", latency.max}};
}

std::string LatencyLine(const std::string& name, const Latency& latency) {
  std::array<char, 160> line;
  std::snprintf(line.data(), line.size(),
                "%-12s %9llu %9.2f %9.2f %9.2f %9.2f %9.2f\n", name.c_str(),
                static_cast<unsigned long long>(latency.count), latency.p50,
                latency.p90, latency.p99, latency.p999, latency.max);
  return line.data();
}

bool ParseNumber(std::string_view text, double* value) {
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), *value);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t end = std::min(text.find(separator), text.size());
    parts.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

Duration Millis(double value) {
  constexpr double kMicrosPerMilli = 1'000;
  return Duration(static_cast<int64_t>(value * kMicrosPerMilli));
}

bool SetFraction(std::string_view text, Fraction* fraction) {
  return ParseNumber(text, &fraction->value) && fraction->value >= 0 &&
         fraction->value <= 1;
}

// Parses "NAME:WEIGHT:WORK_MS:BYTES"; all but the name are optional.
bool AddClass(std::string_view text, Options* options) {
  const std::vector<std::string> parts = Split(text, ':');
  RequestClass request_class;
  double work = 2;
  double bytes = static_cast<double>(request_class.answer_bytes);
  constexpr size_t kMaxParts = 4;
  if (parts.empty() || parts.size() > kMaxParts || parts[0].empty() ||
      (parts.size() > 1 && !ParseNumber(parts[1], &request_class.weight)) ||
      (parts.size() > 2 && !ParseNumber(parts[2], &work)) ||
      (parts.size() > 3 && !ParseNumber(parts[3], &bytes))) {
    return false;
  }
  request_class.name = parts[0];
  request_class.work = Millis(work);
  request_class.answer_bytes = static_cast<size_t>(bytes);
  options->classes.push_back(std::move(request_class));
  return true;
}

constexpr std::array<OptionSpec, 11> kOptions = {{
    {"entry-vm", "A.B.C.D:PORT,...", "entry VMs, used in turn",
     [](std::string_view text, Options* options) {
       options->entry_vms = Split(text, ',');
       return !options->entry_vms.empty();
     }},
    {"service", "NAME", "service that requests name",
     [](std::string_view text, Options* options) {
       options->service = text;
       return !text.empty();
     }},
    {"class", "NAME[:WEIGHT[:WORK_MS[:BYTES]]]", "class in the mix; repeatable",
     &AddClass},
    {"rate", "PER_SECOND", "calls a second",
     [](std::string_view text, Options* options) {
       return ParseNumber(text, &options->rate.value) &&
              options->rate.value > 0;
     }},
    {"seconds", "SECONDS", "duration",
     [](std::string_view text, Options* options) {
       double seconds = 0;
       constexpr double kMillisPerSecond = 1'000;
       const bool valid = ParseNumber(text, &seconds) && seconds > 0;
       options->duration = Millis(seconds * kMillisPerSecond);
       return valid;
     }},
    {"deadline-ms", "MILLISECONDS", "deadline of each request",
     [](std::string_view text, Options* options) {
       double millis = 0;
       const bool valid = ParseNumber(text, &millis) && millis > 0;
       options->deadline = Millis(millis);
       return valid;
     }},
    {"lookups", "FRACTION", "share of look-ups among all calls",
     [](std::string_view text, Options* options) {
       return SetFraction(text, &options->lookup_share);
     }},
    {"idempotent", "FRACTION",
     "share of idempotent requests among all requests",
     [](std::string_view text, Options* options) {
       return SetFraction(text, &options->idempotent_share);
     }},
    {"tickets", "yes|no", "fetch a ticket for each non-idempotent request",
     [](std::string_view text, Options* options) {
       options->tickets = text == "yes";
       return text == "yes" || text == "no";
     }},
    {"seed", "NUMBER", "seed of the random choices",
     [](std::string_view text, Options* options) {
       const char* end = text.data() + text.size();
       const auto result = std::from_chars(text.data(), end, options->seed);
       return result.ec == std::errc() && result.ptr == end;
     }},
    {"backends", "A.B.C.D:PORT,...",
     "backend server stand-ins that report how often each operation ran",
     [](std::string_view text, Options* options) {
       options->backends = Split(text, ',');
       return !options->backends.empty();
     }},
}};

}  // namespace

std::span<const OptionSpec> OptionTable() {
  return kOptions;
}

std::string ToJson(const Result& result) {
  nlohmann::json statuses = nlohmann::json::object();
  for (const auto& [status, count] : result.by_status) {
    statuses[std::to_string(status)] = count;
  }
  nlohmann::json verdicts = nlohmann::json::object();
  for (size_t i = 0; i < result.by_verdict.size(); ++i) {
    verdicts[std::string(ToString(static_cast<RunVerdict>(i)))] =
        result.by_verdict[i];
  }
  nlohmann::json requests = nlohmann::json::object();
  for (const auto& [name, latency] : result.requests) {
    requests[name] = LatencyJson(latency);
  }
  nlohmann::json json = {{"seconds", result.seconds},
                         {"sent", result.sent},
                         {"answered", result.answered},
                         {"not_sent", result.not_sent},
                         {"unanswered", result.unanswered},
                         {"truncated", result.truncated},
                         {"mixed_answers", result.mixed_answers},
                         {"by_status", statuses},
                         {"by_verdict", verdicts},
                         {"lookups", LatencyJson(result.lookups)},
                         {"requests", requests}};
  if (result.runs_checked) {
    json["duplicate_runs"] = result.duplicate_runs;
    json["false_not_run"] = result.false_not_run;
  }
  return json.dump(2);
}

std::string ToTable(const Result& result) {
  std::string text =
      "latency, ms      count       p50       p90       p99     p99.9       "
      "max\n";
  text += LatencyLine("look-ups", result.lookups);
  for (const auto& [name, latency] : result.requests) {
    text += LatencyLine(name, latency);
  }
  const auto line = [&text](const std::string& name, uint64_t count) {
    text += name + ": " + std::to_string(count) + "\n";
  };
  line("sent", result.sent);
  line("answered", result.answered);
  for (const auto& [status, count] : result.by_status) {
    line("  status " + std::to_string(status), count);
  }
  for (size_t i = 0; i < result.by_verdict.size(); ++i) {
    line("  verdict " + std::string(ToString(static_cast<RunVerdict>(i))),
         result.by_verdict[i]);
  }
  line("not sent", result.not_sent);
  line("unanswered", result.unanswered);
  line("truncated", result.truncated);
  line("mixed answers", result.mixed_answers);
  if (result.runs_checked) {
    line("duplicate runs", result.duplicate_runs);
    line("false \"not run\"", result.false_not_run);
  }
  return text;
}

}  // namespace comfreystand::load
