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

// Changes of state this long before or after a request are told with it.
constexpr double kAroundSeconds = 6;

std::string Field(const LogLine& line, const char* name) {
  const auto found = line.fields.find(name);
  return found != line.fields.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
}

// Seconds of the day that an ISO time names; enough to compare lines of one
// incident.
double SecondsOf(const std::string& time) {
  const size_t t = time.find('T');
  if (t == std::string::npos || time.size() < t + 9) {
    return 0;
  }
  const auto number = [&](size_t at) {
    return std::strtod(time.c_str() + t + at, nullptr);
  };
  constexpr double kSecondsPerHour = 3'600;
  constexpr double kSecondsPerMinute = 60;
  return number(1) * kSecondsPerHour + number(4) * kSecondsPerMinute +
         number(7);
}

bool IsNear(const LogLine& line, double from, double to) {
  const double when = SecondsOf(line.time);
  return when >= from - kAroundSeconds && when <= to + kAroundSeconds;
}

// Names of the backend servers in the field "attempts".
std::set<std::string> BackendsOf(const std::string& attempts) {
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

struct Reason {
  // What the line of the request holds.
  const char* end;
  const char* status;
  // What its attempts hold; empty for none at all.
  const char* attempts;
  const char* finding;
};

// The first that matches says why. An empty status matches any.
constexpr std::array<Reason, 12> kReasons = {{
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

void FindReason(const LogLine& line, Story* story) {
  const std::string end = Field(line, "end");
  const std::string status = Field(line, "status");
  const std::string attempts = Field(line, "attempts");
  for (const Reason& reason : kReasons) {
    const bool tried = reason.attempts[0] != '\0';
    const bool matches =
        end == reason.end && status.starts_with(reason.status) &&
        (tried ? attempts.find(reason.attempts) != std::string::npos
               : end != "refused" || attempts.empty());
    if (matches) {
      story->findings.emplace_back(reason.finding);
      return;
    }
  }
}

// A machine that worked slowly, and long work, show in the attempts.
void FindSlowness(const LogLine& line, Story* story) {
  const std::string attempts = Field(line, "attempts");
  constexpr int kSlowPercent = 150;
  for (size_t at = attempts.find("work="); at != std::string::npos;
       at = attempts.find("work=", at + 1)) {
    const int percent = std::atoi(attempts.c_str() + at + 5);
    if (percent >= kSlowPercent) {
      story->findings.push_back(
          "a backend server's machine was slow: work took " +
          std::to_string(percent) + " % of the usual time");
    }
  }
}

// A whole answer that could not leave before earlier ones of its connection.
void FindWaits(const LogLine& line, Story* story) {
  if (line.event == "answer-waited") {
    story->findings.push_back("its answer was whole, but waited " +
                              Field(line, "waited_ms") +
                              " ms for earlier answers of its connection");
  }
}

// What the node believed of a backend server and another line contradicts.
void FindWrongBeliefs(const LogLine& line, Story* story) {
  const double when = SecondsOf(line.time);
  for (const LogLine& other : story->backends) {
    const bool ended = other.event == "draining" || other.event == "gone";
    if (ended && SecondsOf(other.time) < when && other.source != line.source) {
      story->findings.push_back("another node knew before that " +
                                Field(other, "name") + " is " + other.event);
    } else if (ended && SecondsOf(other.time) >= when) {
      story->findings.push_back(Field(other, "name") + " was told to be " +
                                other.event + " only afterwards");
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
    const size_t brace = text.find('{');
    if (brace == std::string::npos) {
      continue;
    }
    json fields = json::parse(text.substr(brace), nullptr, false);
    if (!fields.is_object()) {
      continue;
    }
    LogLine line;
    line.source = source;
    // A collector's prefix: the last word names the machine.
    const size_t last = text.find_last_not_of(' ', brace - 1);
    if (brace > 0 && last != std::string::npos) {
      const size_t begin = text.find_last_of(' ', last);
      line.source = text.substr(begin + 1, last - begin);
    }
    line.fields = std::move(fields);
    line.time = Field(line, "time");
    line.event = Field(line, "event");
    lines->push_back(std::move(line));
  }
}

Story Explain(const std::vector<LogLine>& lines,
              const std::string& request_id) {
  Story story;
  for (const LogLine& line : lines) {
    if (Field(line, "id") == request_id) {
      story.request.push_back(line);
    }
  }
  std::stable_sort(story.request.begin(), story.request.end(),
                   [](const LogLine& a, const LogLine& b) {
                     return SecondsOf(a.time) < SecondsOf(b.time);
                   });
  if (story.request.empty()) {
    for (const LogLine& line : lines) {
      if (line.event == "lines-left-out") {
        story.left_out.push_back(line);
      }
    }
    story.findings.emplace_back(
        "no line names the request: it was answered in order and the level is "
        "not debug, it reached no node of these logs, or its line was left "
        "out");
    return story;
  }
  std::set<std::string> backends;
  std::set<std::string> sources;
  for (const LogLine& line : story.request) {
    backends.merge(BackendsOf(Field(line, "attempts")));
    sources.insert(line.source);
  }
  const double to = SecondsOf(story.request.back().time);
  const double from =
      SecondsOf(story.request.front().time) -
      std::strtod(Field(story.request.front(), "ms").c_str(), nullptr) / 1e3;
  for (const LogLine& line : lines) {
    const bool about_backend = Field(line, "component") == "backend" &&
                               backends.contains(Field(line, "name"));
    // Every node tells of a registration; the own one's is enough.
    const bool repeats =
        line.event == "registered" && !sources.contains(line.source);
    if (about_backend && !repeats) {
      story.backends.push_back(line);
    } else if (about_backend) {
      continue;
    } else if (Field(line, "component") != "relay" &&
               sources.contains(line.source) &&
               Field(line, "component") != "backend" &&
               IsNear(line, from, to)) {
      (line.event == "lines-left-out" ? story.left_out : story.state)
          .push_back(line);
    }
  }
  for (const LogLine& line : story.request) {
    FindReason(line, &story);
    FindWaits(line, &story);
    FindSlowness(line, &story);
    FindWrongBeliefs(line, &story);
  }
  return story;
}

std::string FormatStory(const Story& story, const std::string& request_id) {
  std::string text = "request " + request_id + "\n";
  AppendSection("what became of it", story.request, &text);
  AppendSection("its backend servers", story.backends, &text);
  AppendSection("what its node noticed at that time", story.state, &text);
  AppendSection("lines left out", story.left_out, &text);
  text += "findings\n";
  for (const std::string& finding : story.findings) {
    text += "  " + finding + "\n";
  }
  return text;
}

json StoryToJson(const Story& story, const std::string& request_id) {
  json document = {{"request", request_id}, {"findings", story.findings}};
  const auto add = [&](const char* name, const std::vector<LogLine>& lines) {
    document[name] = json::array();
    for (const LogLine& line : lines) {
      document[name].push_back(LineToJson(line));
    }
  };
  add("lines", story.request);
  add("backends", story.backends);
  add("state", story.state);
  add("left_out", story.left_out);
  return document;
}

}  // namespace comfreystand::cli
