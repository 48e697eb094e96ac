#include "src/cli/explain.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <string_view>
#include <utility>

namespace comfreystand::cli {
namespace {

using nlohmann::json;

// State changes up to this long before or after a request are shown with it.
constexpr double kContextSeconds = 6;

// Value of a string field; empty if it is missing or of another type.
std::string StringField(const LogLine& line, const char* name) {
  const auto field = line.fields.find(name);
  return field != line.fields.end() && field->is_string()
             ? field->get<std::string>()
             : std::string();
}

// Seconds since midnight of an ISO 8601 time. Enough to compare the lines of
// one incident, as long as it doesn't span midnight.
double SecondOfDay(const std::string& time) {
  const size_t date_end = time.find('T');
  if (date_end == std::string::npos || time.size() < date_end + 9) {
    return 0;
  }
  const auto number_at = [&](size_t offset) {
    return std::strtod(time.c_str() + date_end + offset, nullptr);
  };
  constexpr double kSecondsPerHour = 3'600;
  constexpr double kSecondsPerMinute = 60;
  return number_at(1) * kSecondsPerHour + number_at(4) * kSecondsPerMinute +
         number_at(7);
}

// Whether a line is close enough to the request, which lasted from `from` to
// `to` in seconds since midnight.
bool IsInContext(const LogLine& line, double from, double to) {
  const double when = SecondOfDay(line.time);
  return when >= from - kContextSeconds && when <= to + kContextSeconds;
}

// Names of the backend servers in the field "attempts".
std::set<std::string> BackendNames(const std::string& attempts) {
  std::set<std::string> names;
  size_t begin = 0;
  while (begin < attempts.size()) {
    const size_t end = std::min(attempts.find("; ", begin), attempts.size());
    const std::string attempt = attempts.substr(begin, end - begin);
    names.insert(attempt.substr(0, attempt.find(' ')));
    begin = end + 2;
  }
  return names;
}

// Maps the end of a failed request to the finding that explains it.
struct FailureRule {
  // Value of the field "end" of the request line.
  const char* end;
  // Prefix of its field "status"; empty matches any status.
  const char* status_prefix;
  // Result that its field "attempts" contains. If empty, a refused request must
  // have no attempts.
  const char* attempt_result;
  const char* finding;
};

// The first rule that matches applies.
constexpr std::array<FailureRule, 12> kFailureRules = {{
    {"refused", "503", "",
     "no backend server had room for it in time, so it was refused without "
     "being sent; see queue and shed counters"},
    {"refused", "503", "not-run",
     "every backend server that it was sent to said that it did not run it"},
    {"refused", "503", "no-connection",
     "no connection to a backend server could be made"},
    {"refused", "504", "broken",
     "it was sent, and its time ran out while a backend server was at work on "
     "it; it may have run"},
    {"refused", "504", "open",
     "it was sent, and its time ran out while a backend server was at work on "
     "it; it may have run"},
    {"refused", "502", "broken",
     "the connection to a backend server broke after the request was written; "
     "it may have run and must not be sent again"},
    {"refused", "404", "",
     "no route of the configuration in force matched its host and path"},
    {"refused", "413", "", "its body was larger than the configuration allows"},
    {"refused", "400", "", "its head could not be read"},
    {"answered", "5", "answered",
     "a backend server answered with an error, which was passed on"},
    {"cut-off", "", "",
     "the answer of a backend server broke off after part of it was passed on"},
    {"caller-left", "", "",
     "the caller closed its connection before the answer"},
}};

void AddFailureReason(const LogLine& line, Explanation* explanation) {
  const std::string end = StringField(line, "end");
  const std::string status = StringField(line, "status");
  const std::string attempts = StringField(line, "attempts");
  for (const FailureRule& rule : kFailureRules) {
    const bool needs_attempts = rule.attempt_result[0] != '\0';
    const bool matches =
        end == rule.end && status.starts_with(rule.status_prefix) &&
        (needs_attempts
             ? attempts.find(rule.attempt_result) != std::string::npos
             : end != "refused" || attempts.empty());
    if (matches) {
      explanation->findings.emplace_back(rule.finding);
      return;
    }
  }
}

// Maps the field "held_by" of a refused request to the finding that explains
// it.
struct HoldRule {
  const char* held_by;
  const char* finding;
};

constexpr std::array<HoldRule, 5> kHoldRules = {{
    {"asked-to-wait",
     "the backend server that would have taken it first had asked this node to "
     "wait"},
    {"cold", "the backend server that would have taken it first was cold"},
    {"limited",
     "the backend server that would have taken it first had named a limit"},
    {"refused",
     "the backend server that would have taken it first had just refused "
     "another request"},
    {"unhealthy",
     "the backend server that would have taken it first did not answer a "
     "health "
     "check"},
}};

void AddHold(const LogLine& line, Explanation* explanation) {
  const std::string held_by = StringField(line, "held_by");
  for (const HoldRule& rule : kHoldRules) {
    if (held_by == rule.held_by) {
      explanation->findings.emplace_back(rule.finding);
    }
  }
}

// Adds a finding for each attempt whose backend server reported that its work
// took much longer than usual.
void AddSlowMachines(const LogLine& line, Explanation* explanation) {
  const std::string attempts = StringField(line, "attempts");
  constexpr int kSlowPercent = 150;
  for (size_t position = attempts.find("work="); position != std::string::npos;
       position = attempts.find("work=", position + 1)) {
    const int percent = std::atoi(attempts.c_str() + position + 5);
    if (percent >= kSlowPercent) {
      explanation->findings.push_back(
          "a backend server's machine was slow: work took " +
          std::to_string(percent) + " % of the usual time");
    }
  }
}

// Adds a finding if the answer was complete but had to wait for earlier answers
// of its connection (head-of-line blocking).
void AddAnswerWait(const LogLine& line, Explanation* explanation) {
  if (line.event == "answer-waited") {
    explanation->findings.push_back(
        "its answer was complete, but waited " +
        StringField(line, "waited_ms") +
        " ms for earlier answers of its connection");
  }
}

// Adds a finding for each line that logs a backend server of the request as
// draining or gone, if another node logged it before the line of the request or
// any node logged it only afterwards.
void AddStaleBackendStates(const LogLine& line, Explanation* explanation) {
  const double when = SecondOfDay(line.time);
  for (const LogLine& other : explanation->backend_lines) {
    const bool unavailable = other.event == "draining" || other.event == "gone";
    if (unavailable && SecondOfDay(other.time) < when &&
        other.source != line.source) {
      explanation->findings.push_back("another node knew before that " +
                                      StringField(other, "name") + " is " +
                                      other.event);
    } else if (unavailable && SecondOfDay(other.time) >= when) {
      explanation->findings.push_back(StringField(other, "name") +
                                      " was reported as " + other.event +
                                      " only afterwards");
    }
  }
}

json LineToJson(const LogLine& line) {
  return {{"source", line.source},
          {"time", line.time},
          {"event", line.event},
          {"fields", line.fields}};
}

std::string FormatLine(const LogLine& line) {
  std::string text = "  " + line.time + "  " + line.source + "  " + line.event;
  for (const auto& [name, value] : line.fields.items()) {
    if (name != "time" && name != "event" && value.is_string()) {
      text += " " + name + "=" + value.get<std::string>();
    }
  }
  return text + "\n";
}

void AppendSection(const char* title,
                   const std::vector<LogLine>& lines,
                   std::string* text) {
  if (lines.empty()) {
    return;
  }
  *text += std::string(title) + "\n";
  for (const LogLine& line : lines) {
    *text += FormatLine(line);
  }
}

}  // namespace

void ReadLogLines(std::istream& in,
                  const std::string& source,
                  std::vector<LogLine>* lines) {
  std::string text;
  while (std::getline(in, text)) {
    const size_t json_begin = text.find('{');
    if (json_begin == std::string::npos) {
      continue;
    }
    json fields = json::parse(text.substr(json_begin), nullptr, false);
    if (!fields.is_object()) {
      continue;
    }
    LogLine line;
    line.source = source;
    // The last word of a log collector's prefix is the name of the machine.
    const size_t last = text.find_last_not_of(' ', json_begin - 1);
    if (json_begin > 0 && last != std::string::npos) {
      const size_t begin = text.find_last_of(' ', last);
      line.source = text.substr(begin + 1, last - begin);
    }
    line.fields = std::move(fields);
    line.time = StringField(line, "time");
    line.event = StringField(line, "event");
    lines->push_back(std::move(line));
  }
}

Explanation Explain(const std::vector<LogLine>& lines,
                    const std::string& request_id) {
  Explanation explanation;
  for (const LogLine& line : lines) {
    if (StringField(line, "id") == request_id) {
      explanation.request_lines.push_back(line);
    }
  }
  std::stable_sort(explanation.request_lines.begin(),
                   explanation.request_lines.end(),
                   [](const LogLine& a, const LogLine& b) {
                     return SecondOfDay(a.time) < SecondOfDay(b.time);
                   });
  if (explanation.request_lines.empty()) {
    for (const LogLine& line : lines) {
      if (line.event == "lines-left-out") {
        explanation.dropped_line_reports.push_back(line);
      }
    }
    explanation.findings.emplace_back(
        "no line names the request: it succeeded and the log level is not "
        "debug, it reached no node of these logs, or its line was left out");
    return explanation;
  }
  std::set<std::string> backend_names;
  std::set<std::string> sources;
  for (const LogLine& line : explanation.request_lines) {
    backend_names.merge(BackendNames(StringField(line, "attempts")));
    sources.insert(line.source);
  }
  const double to = SecondOfDay(explanation.request_lines.back().time);
  const double from =
      SecondOfDay(explanation.request_lines.front().time) -
      std::strtod(StringField(explanation.request_lines.front(), "ms").c_str(),
                  nullptr) /
          1e3;
  for (const LogLine& line : lines) {
    const bool about_backend =
        StringField(line, "component") == "backend" &&
        backend_names.contains(StringField(line, "name"));
    // Every node logs each registration; only the line of the request's own
    // node is kept.
    const bool is_redundant =
        line.event == "registered" && !sources.contains(line.source);
    if (about_backend && !is_redundant) {
      explanation.backend_lines.push_back(line);
    } else if (about_backend) {
      continue;
    } else if (StringField(line, "component") != "relay" &&
               sources.contains(line.source) &&
               StringField(line, "component") != "backend" &&
               IsInContext(line, from, to)) {
      (line.event == "lines-left-out" ? explanation.dropped_line_reports
                                      : explanation.state_lines)
          .push_back(line);
    }
  }
  for (const LogLine& line : explanation.request_lines) {
    AddFailureReason(line, &explanation);
    AddHold(line, &explanation);
    AddAnswerWait(line, &explanation);
    AddSlowMachines(line, &explanation);
    AddStaleBackendStates(line, &explanation);
  }
  return explanation;
}

std::string FormatExplanation(const Explanation& explanation,
                              const std::string& request_id) {
  std::string text = "request " + request_id + "\n";
  AppendSection("what became of it", explanation.request_lines, &text);
  AppendSection("its backend servers", explanation.backend_lines, &text);
  AppendSection("what its node logged at that time", explanation.state_lines,
                &text);
  AppendSection("lines left out", explanation.dropped_line_reports, &text);
  text += "findings\n";
  for (const std::string& finding : explanation.findings) {
    text += "  " + finding + "\n";
  }
  return text;
}

json ExplanationToJson(const Explanation& explanation,
                       const std::string& request_id) {
  json document = {{"request", request_id}, {"findings", explanation.findings}};
  const auto add = [&](const char* name, const std::vector<LogLine>& lines) {
    document[name] = json::array();
    for (const LogLine& line : lines) {
      document[name].push_back(LineToJson(line));
    }
  };
  add("lines", explanation.request_lines);
  add("backends", explanation.backend_lines);
  add("state", explanation.state_lines);
  add("left_out", explanation.dropped_line_reports);
  return document;
}

}  // namespace comfreystand::cli
