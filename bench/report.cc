#include "bench/report.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

namespace comfreystand::bench {
namespace {

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 260;
constexpr double kMargin = 56;
constexpr int kTicks = 5;
constexpr std::array<const char*, 8> kColours = {
    "#1f6fb4", "#d1570e", "#2b8a3e", "#a61e4d",
    "#5f3dc4", "#0b7285", "#866118", "#495057"};

const char* MethodName(Method method) {
  return method == Method::kVirtual ? "virtual" : "process";
}

struct Range {
  double low = std::numeric_limits<double>::max();
  double high = std::numeric_limits<double>::lowest();

  void Include(double value) {
    low = std::min(low, value);
    high = std::max(high, value);
  }
  double Span() const { return high > low ? high - low : 1; }
};

// Maps data to the drawing area of a plot.
class Axes {
 public:
  explicit Axes(const Plot& plot) {
    y_.Include(0);
    for (const Series& series : plot.series) {
      for (const auto& [x, y] : series.points) {
        x_.Include(x);
        y_.Include(y);
      }
    }
    if (x_.low > x_.high)
      x_ = {0, 1};
  }

  double X(double value) const {
    return kMargin + (value - x_.low) / x_.Span() * (kPlotWidth - 2 * kMargin);
  }
  double Y(double value) const {
    return kPlotHeight - kMargin / 2 -
           (value - y_.low) / y_.Span() * (kPlotHeight - kMargin);
  }
  double TickX(int tick) const { return x_.low + x_.Span() * tick / kTicks; }
  double TickY(int tick) const { return y_.low + y_.Span() * tick / kTicks; }

 private:
  Range x_;
  Range y_;
};

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<')
      escaped += "&lt;";
    else if (c == '&')
      escaped += "&amp;";
    else
      escaped += c;
  }
  return escaped;
}

void DrawTicks(const Axes& axes, std::ostream& out) {
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double x = axes.TickX(tick);
    const double y = axes.TickY(tick);
    out << "<line class=grid x1=" << kMargin << " x2=" << kPlotWidth - kMargin
        << " y1=" << axes.Y(y) << " y2=" << axes.Y(y) << " />"
        << "<text x=" << kMargin - 6 << " y=" << axes.Y(y) + 4
        << " text-anchor=end>" << y << "</text>"
        << "<text x=" << axes.X(x) << " y=" << kPlotHeight - 8
        << " text-anchor=middle>" << x << "</text>";
  }
}

void DrawSeries(const Axes& axes,
                const Series& series,
                const char* colour,
                std::ostream& out) {
  out << "<polyline fill=none stroke-width=1.5 stroke='" << colour
      << "' points='";
  for (const auto& [x, y] : series.points)
    out << axes.X(x) << "," << axes.Y(y) << " ";
  out << "' />";
}

void DrawPlot(const Plot& plot, std::ostream& out) {
  const Axes axes(plot);
  out << "<h2>" << Escape(plot.title) << "</h2><p>" << Escape(plot.y_label)
      << " by " << Escape(plot.x_label) << "</p><svg width=" << kPlotWidth
      << " height=" << kPlotHeight << ">";
  DrawTicks(axes, out);
  for (size_t i = 0; i < plot.series.size(); ++i)
    DrawSeries(axes, plot.series[i], kColours[i % kColours.size()], out);
  out << "</svg><p>";
  for (size_t i = 0; i < plot.series.size(); ++i) {
    out << "<span style='color:" << kColours[i % kColours.size()]
        << "'>&#9632; " << Escape(plot.series[i].name) << "</span> ";
  }
  out << "</p>\n";
}

void WriteRow(const Result& result, std::ostream& out) {
  const bool met = MeetsTarget(result);
  out << "<tr class=" << (met ? "met" : "missed") << "><td>" << result.name
      << "<td>" << result.value << "<td>" << Escape(result.unit) << "<td>"
      << result.baseline << "<td>" << result.target << "<td>"
      << (met ? "met" : "missed") << "<td>" << result.seed << "<td>"
      << MethodName(result.method) << "</tr>\n";
}

}  // namespace

bool MeetsTarget(const Result& result) {
  return result.higher_is_better ? result.value >= result.target
                                 : result.value <= result.target;
}

std::string RenderJson(const Report& report) {
  nlohmann::json results = nlohmann::json::array();
  for (const Result& result : report.results) {
    results.push_back({{"name", result.name},
                       {"unit", result.unit},
                       {"value", result.value},
                       {"baseline", result.baseline},
                       {"target", result.target},
                       {"met", MeetsTarget(result)},
                       {"seed", result.seed},
                       {"how", MethodName(result.method)}});
  }
  return nlohmann::json({{"results", results}}).dump(2) + "\n";
}

std::string RenderHtml(const Report& report) {
  std::ostringstream out;
  out << "<!doctype html><meta charset=utf-8><title>comfreystand bench</title>"
         "<style>body{font:14px sans-serif;margin:2em;max-width:60em}"
         "td,th{padding:.2em .8em;text-align:left}"
         ".missed td:nth-child(6){color:#c92a2a;font-weight:bold}"
         ".grid{stroke:#ddd}svg text{font-size:11px;fill:#555}</style>"
         "<h1>comfreystand bench</h1><table><tr><th>name<th>value<th>unit"
         "<th>baseline<th>target<th>verdict<th>seed<th>how</tr>\n";
  for (const Result& result : report.results)
    WriteRow(result, out);
  out << "</table>\n";
  for (const Plot& plot : report.plots)
    DrawPlot(plot, out);
  return out.str();
}

}  // namespace comfreystand::bench
