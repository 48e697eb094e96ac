#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include "comfreystand/status.h"

namespace comfreystand {
namespace {

constexpr double kGoodAvailability = 0.999;
constexpr double kFairAvailability = 0.99;

constexpr std::string_view kHead = R"(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="refresh" content="5">
<title>comfreystand status</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; color: #1c2430;
  background: #f4f6f8; margin: 0 auto; padding: 1.5rem; max-width: 70rem; }
h1 { font-size: 1.5rem; margin: 0 0 .25rem; }
h2 { font-size: 1.05rem; margin: 1.75rem 0 .5rem; }
p { margin: .25rem 0; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; background: #fff; }
th, td { text-align: left; padding: .4rem .6rem;
  border-bottom: 1px solid #dde3ea; white-space: nowrap; }
th { background: #e9edf2; font-weight: 600; }
td.n, th.n { text-align: right; font-variant-numeric: tabular-nums; }
.bar { width: 9rem; height: .7rem; background: #dde3ea; border-radius: 3px;
  overflow: hidden; }
.bar div { height: 100%; background: #2f6fb5; }
.strip { display: flex; flex-wrap: wrap; gap: 2px; background: #fff;
  padding: .6rem; }
.strip div { width: .55rem; height: 1.9rem; border-radius: 2px; }
.good { background: #2e9e5b; } .fair { background: #e0a800; }
.bad { background: #c9372c; }
.none { background: repeating-linear-gradient(45deg, #b9c2cc 0 3px,
  #e9edf2 3px 6px); }
.tag { padding: .05rem .45rem; border-radius: 3px; color: #fff; }
.key span { display: inline-block; width: .8rem; height: .8rem;
  border-radius: 2px; margin: 0 .3rem 0 .9rem; vertical-align: -1px; }
.key { font-size: .85rem; color: #4a5666; }
</style>
</head>
<body>
)";

std::string Escape(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

template <typename... Arguments>
std::string Format(const char* pattern, Arguments... arguments) {
  std::array<char, 128> buffer{};
  std::snprintf(buffer.data(), buffer.size(), pattern, arguments...);
  return buffer.data();
}

std::string Percent(Fraction fraction, int digits = 1) {
  return Format("%.*f%%", digits, fraction.value * 100);
}

std::string Seconds(Duration duration) {
  return Format("%.1f s", std::chrono::duration<double>(duration).count());
}

std::string FormatTime(WallSeconds time, const char* pattern) {
  const time_t seconds = time.value;
  tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> buffer{};
  std::strftime(buffer.data(), buffer.size(), pattern, &parts);
  return buffer.data();
}

std::string StatusTag(std::string_view css_class, std::string_view text) {
  return "<span class=\"tag " + std::string(css_class) + "\">" + Escape(text) +
         "</span>";
}

std::string ProgressBar(double share) {
  return Format("<div class=\"bar\"><div style=\"width:%.1f%%\"></div></div>",
                std::clamp(share, 0.0, 1.0) * 100);
}

std::string Cell(const std::string& html) {
  return "<td>" + html + "</td>";
}

std::string NumberCell(const std::string& html) {
  return "<td class=\"n\">" + html + "</td>";
}

// Begins a table. Columns whose title starts with '#' are right-aligned
// numbers.
std::string BeginTable(std::string_view title,
                       std::initializer_list<std::string_view> columns) {
  std::string html = "<h2>" + std::string(title) +
                     "</h2>\n<div class=\"scroll\"><table>\n<tr>";
  for (std::string_view column : columns) {
    const bool number = column.starts_with('#');
    html += (number ? "<th class=\"n\">" : "<th>") +
            std::string(column.substr(number ? 1 : 0)) + "</th>";
  }
  return html + "</tr>\n";
}

constexpr std::string_view kEndTable = "</table></div>\n";

std::string RenderSummary(const StatusSnapshot& snapshot) {
  std::string html = "<h1>" + Escape(snapshot.cluster) +
                     "</h1>\n<p>As seen by " + Escape(snapshot.node) + " in " +
                     Escape(snapshot.domain) + ", " + Escape(snapshot.region) +
                     ", at " +
                     FormatTime(snapshot.now, "%Y-%m-%d %H:%M:%S UTC") + ": ";
  html += snapshot.ready ? StatusTag("good", "ready")
                         : StatusTag("bad", "not ready") + ' ' +
                               Escape(snapshot.not_ready_reason);
  html += "</p>\n<p>Rules version " + std::to_string(snapshot.rules.value) +
          ", confirmed " + Seconds(snapshot.rules_age) + " ago; store ";
  html += snapshot.store_reachable ? StatusTag("good", "reachable")
                                   : StatusTag("bad", "not reachable");
  html += "</p>\n";
  if (snapshot.invalid_documents > 0) {
    html += "<p>" + StatusTag("fair", "damaged") + ' ' +
            std::to_string(snapshot.invalid_documents) +
            " values under the rule key did not parse; the last good one "
            "stays in force.</p>\n";
  }
  return html;
}

std::string HourCell(const HourStatus& hour) {
  const std::string start = FormatTime(hour.start, "%Y-%m-%d %H:%M UTC");
  if (!hour.availability.has_value()) {
    return "<div class=\"none\" title=\"" + start + ": no value, " +
           Escape(hour.reason) + "\"></div>";
  }
  const double value = hour.availability->value;
  const char* css_class = value >= kGoodAvailability   ? "good"
                          : value >= kFairAvailability ? "fair"
                                                       : "bad";
  return std::string("<div class=\"") + css_class + "\" title=\"" + start +
         ": " + Percent(*hour.availability, 3) + "\"></div>";
}

// Whether two consecutive hours have no value for the same reason.
bool SharesMissingReason(const HourStatus& previous, const HourStatus& hour) {
  return !previous.availability.has_value() && !hour.availability.has_value() &&
         previous.reason == hour.reason;
}

// Lists the hours without a value, one line for each run with the same reason.
std::string RenderMissingReasons(const std::vector<HourStatus>& hours) {
  std::string lines;
  for (size_t first = 0; first < hours.size(); ++first) {
    if (hours[first].availability.has_value()) {
      continue;
    }
    size_t last = first;
    while (last + 1 < hours.size() &&
           SharesMissingReason(hours[last], hours[last + 1])) {
      ++last;
    }
    lines += "<li>" + FormatTime(hours[first].start, "%Y-%m-%d %H:%M UTC");
    if (last > first) {
      lines += " to " + FormatTime(hours[last].start, "%Y-%m-%d %H:%M UTC");
    }
    lines += ": " + Escape(hours[first].reason) + "</li>\n";
    first = last;
  }
  return lines.empty() ? lines : "<ul>\n" + lines + "</ul>\n";
}

std::string RenderHours(const StatusSnapshot& snapshot) {
  std::string html = "<h2>Availability by hour</h2>\n";
  if (snapshot.hours.empty()) {
    return html + "<p>No hour is complete yet.</p>\n";
  }
  html += "<p>" + FormatTime(snapshot.hours.front().start, "%Y-%m-%d %H:%M") +
          " to " +
          FormatTime(snapshot.hours.back().start, "%Y-%m-%d %H:%M UTC") +
          "</p>\n<div class=\"strip\">";
  for (const HourStatus& hour : snapshot.hours) {
    html += HourCell(hour);
  }
  html +=
      "</div>\n<p class=\"key\"><span class=\"good\"></span>99.9% or more"
      "<span class=\"fair\"></span>99% or more<span class=\"bad\"></span>less"
      "<span class=\"none\"></span>no value, with its reason</p>\n";
  return html + RenderMissingReasons(snapshot.hours);
}

std::string RenderChanges(const StatusSnapshot& snapshot) {
  if (snapshot.changes.empty()) {
    return "<h2>Changes under way</h2>\n<p>None.</p>\n";
  }
  std::string html = BeginTable(
      "Changes under way",
      {"versions", "accepted", "progress", "#moved", "#cap", "state"});
  for (const ChangeProgress& change : snapshot.changes) {
    const std::string state = change.halted   ? StatusTag("bad", "halted")
                              : change.at_cap ? StatusTag("fair", "at its cap")
                                              : StatusTag("good", "moving");
    html += "<tr>" +
            Cell(std::to_string(change.from.value) + " to " +
                 std::to_string(change.to.value)) +
            Cell(FormatTime(change.accepted_at, "%Y-%m-%d %H:%M:%S UTC")) +
            Cell(ProgressBar(change.progress.value)) +
            NumberCell(Percent(change.moved)) +
            NumberCell(Percent(change.cap)) + Cell(state) + "</tr>\n";
  }
  return html.append(kEndTable);
}

std::string RenderRegions(const StatusSnapshot& snapshot) {
  std::string html = BeginTable("Regions", {"region", "load", "#busy slots",
                                            "#capacity", "#look-ups", "state"});
  for (const RegionStatus& region : snapshot.regions) {
    const double load =
        region.capacity.value == 0
            ? 0
            : static_cast<double>(region.busy.value) / region.capacity.value;
    html += "<tr>" + Cell(Escape(region.name)) + Cell(ProgressBar(load)) +
            NumberCell(std::to_string(region.busy.value)) +
            NumberCell(std::to_string(region.capacity.value)) +
            NumberCell(Percent(region.lookup_share)) +
            Cell(region.draining ? StatusTag("fair", "draining")
                                 : StatusTag("good", "serving")) +
            "</tr>\n";
  }
  return html.append(kEndTable);
}

std::string RenderEntryVms(const StatusSnapshot& snapshot) {
  // Indexed by NodeState.
  constexpr std::array<std::string_view, 4> kClasses = {"good", "fair", "fair",
                                                        "bad"};
  std::string html =
      BeginTable("Entry VMs", {"entry VM", "region", "failure domain",
                               "address", "state", "#rules", "#last heard"});
  for (const EntryVmStatus& vm : snapshot.entry_vms) {
    html += "<tr>" + Cell(Escape(vm.name)) + Cell(Escape(vm.region)) +
            Cell(Escape(vm.domain)) + Cell(Escape(vm.address)) +
            Cell(StatusTag(kClasses[static_cast<size_t>(vm.state)],
                           ToString(vm.state))) +
            NumberCell(std::to_string(vm.rules.value)) +
            NumberCell(Seconds(vm.heartbeat_age)) + "</tr>\n";
  }
  return html.append(kEndTable);
}

std::string RenderBackends(const StatusSnapshot& snapshot) {
  std::string html = BeginTable(
      "Backend servers", {"service", "failure domain", "#total", "#live",
                          "#leaving", "#ejected", "load", "#busy", "#slots"});
  for (const BackendGroupStatus& group : snapshot.backends) {
    const double load =
        group.slots.value == 0
            ? 0
            : static_cast<double>(group.busy.value) / group.slots.value;
    html += "<tr>" + Cell(Escape(group.service)) + Cell(Escape(group.domain)) +
            NumberCell(std::to_string(group.total)) +
            NumberCell(std::to_string(group.live)) +
            NumberCell(std::to_string(group.leaving)) +
            NumberCell(std::to_string(group.ejected)) +
            Cell(ProgressBar(load)) +
            NumberCell(std::to_string(group.busy.value)) +
            NumberCell(std::to_string(group.slots.value)) + "</tr>\n";
  }
  return html.append(kEndTable);
}

}  // namespace

std::string_view ToString(NodeState state) {
  constexpr std::array<std::string_view, 4> kNames = {"live", "suspect",
                                                      "leaving", "down"};
  return kNames[static_cast<size_t>(state)];
}

std::string RenderStatusPage(const StatusSnapshot& snapshot) {
  return std::string(kHead) + RenderSummary(snapshot) + RenderHours(snapshot) +
         RenderChanges(snapshot) + RenderRegions(snapshot) +
         RenderEntryVms(snapshot) + RenderBackends(snapshot) +
         "</body>\n</html>\n";
}

}  // namespace comfreystand
