#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <vector>

#include "lab/report.hpp"

namespace violetwing::lab {
namespace {

using Json = nlohmann::ordered_json;

constexpr double kWidth = 860;
constexpr double kHeight = 180;
constexpr double kLeft = 56;
constexpr double kRight = 24;
constexpr double kBottom = 24;

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '&') {
      out += "&amp;";
    } else if (c == '"') {
      out += "&quot;";
    } else {
      out += c;
    }
  }
  return out;
}

std::string Format(const char* format, double a, double b = 0, double c = 0, double d = 0) {
  char text[200];
  std::snprintf(text, sizeof text, format, a, b, c, d);  // NOLINT: the formats stand below
  return text;
}

// The next of 1, 2, 2.5, 4, 5 and their multiples by ten: its quarters are plain numbers to read.
double RoundUp(double most) {
  const double unit = std::pow(10, std::floor(std::log10(std::max(most, 1e-9))));
  for (const double step : {1.0, 2.0, 2.5, 4.0, 5.0, 10.0})
    if (most <= step * unit) return step * unit;
  return most;
}

struct Series {
  std::string name;
  std::string colour;
  std::vector<std::pair<double, double>> points;  // time in seconds, value
};

// A plot over the run's time, with the faults marked on its axis.
class Plot {
 public:
  Plot(std::string title, double length, double most)
      : title_(std::move(title)), length_(std::max(length, 1e-9)), most_(RoundUp(most)) {}

  void Bars(const std::vector<Series>& stacked) {
    std::vector<double> base(stacked.empty() ? 0 : stacked[0].points.size());
    for (const Series& series : stacked) {
      for (std::size_t i = 0; i < series.points.size() && i < base.size(); ++i) {
        const auto [at, value] = series.points[i];
        const double right = std::min(at + 1, length_);
        if (value > 0 && right > at)
          body_ += Format("<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' ", X(at), Y(base[i] + value),
                          X(right) - X(at) - 0.5, Y(base[i]) - Y(base[i] + value)) +
                   "fill='" + series.colour + "'/>\n";
        base[i] += value;
      }
      Legend(series);
    }
  }
  void Line(const Series& series) {
    std::string points;
    for (const auto& [at, value] : series.points)
      points += Format("%.1f,%.1f ", X(at), Y(std::min(value, most_)));
    body_ +=
        "<polyline fill='none' stroke-width='1.5' stroke='" + series.colour + "' points='" + points + "'/>\n";
    Legend(series);
  }
  std::string Draw(const Json& faults) const {
    std::string out = Format("<svg viewBox='0 0 %.0f %.0f' width='%.0f' height='%.0f'>\n", kWidth,
                             kHeight + kBottom + 34, kWidth, kHeight + kBottom + 34);
    out += "<text x='0' y='12' class='title'>" + Escape(title_) +
           "</text>\n<g transform='translate(0,28)'>\n" + body_;
    for (int i = 0; i <= 4; ++i) {
      const double value = most_ * i / 4;
      out += Format("<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' class='grid'/>", kLeft, kWidth - kRight,
                    Y(value), Y(value)) +
             Format("<text x='%.1f' y='%.1f' class='y'>%.4g</text>\n", kLeft - 6, Y(value) + 4, value);
    }
    const int step = std::max(1, static_cast<int>(std::ceil(length_ / 15)));
    for (int at = 0; at <= length_; at += step)
      out += Format("<text x='%.1f' y='%.1f' class='x'>%.0f s</text>\n", X(at), kHeight + 14, at);
    for (const Json& fault : faults) Mark(fault, out);
    return out + "</g></svg>\n";
  }

 private:
  double X(double at) const {
    return kLeft + std::clamp(at, 0.0, length_) / length_ * (kWidth - kRight - kLeft);
  }
  double Y(double value) const { return kHeight - value / most_ * kHeight; }

  void Legend(const Series& series) {
    body_ += Format("<rect x='%.1f' y='-24' width='10' height='10' ", legend_) + "fill='" + series.colour +
             "'/>" + Format("<text x='%.1f' y='-15'>", legend_ + 14) + Escape(series.name) + "</text>\n";
    legend_ += 28 + 7 * static_cast<double>(series.name.size());
  }
  void Mark(const Json& fault, std::string& out) const {
    if (!fault["begun_s"].is_number()) return;
    const double begun = fault["begun_s"].get<double>();
    const double ended = fault["ended_s"].is_number() ? fault["ended_s"].get<double>() : length_;
    out += Format("<rect x='%.1f' y='0' width='%.1f' height='%.1f' class='fault'><title>", X(begun),
                  std::max(1.5, X(ended) - X(begun)), kHeight) +
           Escape(fault["name"].get<std::string>()) + "</title></rect>" +
           Format("<text x='%.1f' y='10' class='mark'>", X(begun) + 3) +
           Escape(fault["name"].get<std::string>()) + "</text>\n";
  }

  std::string title_;
  double length_;
  double most_;
  double legend_ = 300;
  std::string body_;
};

std::vector<std::pair<double, double>> BySecond(const Json& seconds, const char* key) {
  std::vector<std::pair<double, double>> out;
  double at = 0;
  for (const Json& second : seconds) out.emplace_back(at++, second[key].get<double>());
  return out;
}

double Most(const std::vector<std::pair<double, double>>& points) {
  double most = 0;
  for (const auto& [at, value] : points) most = std::max(most, value);
  return most;
}

std::string RequestPlot(const Json& report) {
  const Json& seconds = report["seconds"];
  Plot plot("Requests a second", report["length_s"].get<double>(), Most(BySecond(seconds, "requests")));
  plot.Bars({{"in time", "#2a7f62", BySecond(seconds, "in_time")},
             {"late", "#e0a030", BySecond(seconds, "late")},
             {"refused", "#8a8fa3", BySecond(seconds, "refused")},
             {"failed", "#b3323e", BySecond(seconds, "failed")}});
  return plot.Draw(report["faults"]);
}

std::string LatencyPlot(const Json& report) {
  const auto half = BySecond(report["seconds"], "p50_ms");
  const auto last = BySecond(report["seconds"], "p99_ms");
  Plot plot("Time to the answer, ms", report["length_s"].get<double>(), Most(last));
  plot.Line({"median", "#2a5fa0", half});
  plot.Line({"99th percentile", "#b3323e", last});
  return plot.Draw(report["faults"]);
}

std::string UsagePlot(const Json& report, const char* key, const std::string& title) {
  static const char* const kColors[] = {"#2a5fa0", "#2a7f62", "#b3323e", "#e0a030", "#70529c", "#5b6470"};
  std::map<int, Series> sidecars;
  double most = 0;
  for (const Json& usage : report["usage"]) {
    const int sidecar = usage["sidecar"].get<int>();
    Series& series = sidecars[sidecar];
    series.name = "n" + std::to_string(sidecar);
    series.colour = kColors[static_cast<std::size_t>(sidecar) % std::size(kColors)];
    series.points.emplace_back(usage["at_s"].get<double>(), usage[key].get<double>());
    most = std::max(most, usage[key].get<double>());
  }
  Plot plot(title, report["length_s"].get<double>(), most);
  std::size_t drawn = 0;
  for (const auto& [sidecar, series] : sidecars)
    if (drawn++ < std::size(kColors)) plot.Line(series);
  return plot.Draw(report["faults"]);
}

}  // namespace

std::string Html(const Json& report) {
  const std::string name = Escape(report["scenario"].get<std::string>()) + ", seed " + report["seed"].dump();
  return "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'><title>" + name +
         "</title><style>\nbody{font:14px/1.4 sans-serif;margin:24px;max-width:900px;color:#22262e}\n"
         "svg{display:block;margin:18px 0;font:11px sans-serif}\n.title{font-weight:bold;font-size:13px}\n"
         ".grid{stroke:#0001}.y{text-anchor:end}.x{text-anchor:middle}\n"
         ".fault{fill:#b3323e;fill-opacity:.08;stroke:#b3323e;stroke-opacity:.4}.mark{fill:#b3323e}\n"
         "pre{background:#f4f5f7;padding:12px;overflow:auto}\n</style></head><body>\n<h1>" +
         name + "</h1>\n<p>" + Escape(report["description"].get<std::string>()) + "</p>\n<pre>" +
         Escape(Summary(report)) + "</pre>\n" + RequestPlot(report) + LatencyPlot(report) +
         UsagePlot(report, "cpu_s", "CPU seconds by sidecar (the first six)") +
         UsagePlot(report, "memory_mb", "Memory by sidecar, MB") +
         UsagePlot(report, "descriptors", "Descriptors by sidecar") + "</body></html>\n";
}

}  // namespace violetwing::lab
