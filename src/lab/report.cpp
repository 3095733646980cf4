#include "lab/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace violetwing::lab {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMostBreaches = 50;  // told one by one; all are counted in the figures

double Seconds(Micros time) { return static_cast<double>(time) / 1e6; }

// JSON has no number for what was never counted or never happened.
Json Number(double value) {
  if (std::isnan(value)) return nullptr;
  if (std::isinf(value)) return "never";
  return value;
}

std::string Show(const Json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return value.get<std::string>();
  char text[40];
  std::snprintf(text, sizeof text, "%.5g", value.get<double>());
  return text;
}

std::string Pad(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::string Bounds(const Json& claim) {
  std::string out;
  const Json& least = claim["at_least"];
  const Json& most = claim["at_most"];
  if (!least.is_null() && least == most) return "is " + Show(least);
  if (!least.is_null()) out = "at least " + Show(least);
  if (!most.is_null()) out += (out.empty() ? "at most " : ", at most ") + Show(most);
  return out;
}

Json Bound(const std::optional<double>& bound) { return bound ? Json(*bound) : Json(nullptr); }

}  // namespace

Json ReportJson(const Scenario& scenario, const Plan& plan, const Records& records, const Verdict& verdict,
                const std::string& sidecar) {
  Json out = {
      {"version", kReportVersion}, {"scenario", scenario.name}, {"description", scenario.description},
      {"seed", plan.seed},         {"sidecar", sidecar},        {"length_s", Seconds(scenario.length)},
      {"judged", verdict.judged},  {"held", verdict.held()}};
  Json figures = Json::object();
  for (const auto& [name, value] : verdict.figures) figures[name] = Number(value);
  out["figures"] = std::move(figures);
  Json claims = Json::array();
  for (const CheckedClaim& one : verdict.claims)
    claims.push_back({{"figure", one.claim.figure},
                      {"at_least", Bound(one.claim.at_least)},
                      {"at_most", Bound(one.claim.at_most)},
                      {"value", Number(one.value)},
                      {"held", one.held}});
  out["claims"] = std::move(claims);
  Json broken = Json::array();
  for (const Breach& one : verdict.breaches) {
    if (broken.size() >= kMostBreaches) break;
    broken.push_back({{"rule", one.rule}, {"at_s", Seconds(one.at)}, {"id", one.id}, {"what", one.what}});
  }
  out["broken"] = std::move(broken);
  Json faults = Json::array();
  for (const FaultRecord& one : records.faults)
    faults.push_back({{"name", scenario.faults[static_cast<std::size_t>(one.fault)].name},
                      {"do", scenario.faults[static_cast<std::size_t>(one.fault)].act_text},
                      {"begun_s", one.begun == kNever ? Json(nullptr) : Json(Seconds(one.begun))},
                      {"ended_s", one.ended == kNever ? Json(nullptr) : Json(Seconds(one.ended))}});
  out["faults"] = std::move(faults);
  Json processes = Json::array();
  for (const ProcessRecord& one : records.processes)
    processes.push_back({{"sidecar", one.sidecar},
                         {"started_s", Seconds(one.started)},
                         {"ended_s", one.ended == kNever ? Json(nullptr) : Json(Seconds(one.ended))},
                         {"how", one.how},
                         {"crashed", one.crashed}});
  out["processes"] = std::move(processes);
  Json seconds = Json::array();
  for (const Second& one : verdict.seconds)
    seconds.push_back({{"requests", one.requests},
                       {"in_time", one.in_time},
                       {"late", one.late},
                       {"refused", one.refused},
                       {"failed", one.failed},
                       {"p50_ms", one.p50_ms},
                       {"p99_ms", one.p99_ms}});
  out["seconds"] = std::move(seconds);
  Json usage = Json::array();
  for (const UsageRecord& one : records.usage)
    usage.push_back({{"at_s", Seconds(one.at)},
                     {"sidecar", one.sidecar},
                     {"cpu_s", one.cpu_s},
                     {"memory_mb", one.memory_mb},
                     {"descriptors", one.descriptors}});
  out["usage"] = std::move(usage);
  return out;
}

std::string Summary(const Json& report) {
  std::string out = report["scenario"].get<std::string>() + ", seed " + report["seed"].dump() + "\n";
  const Json& figures = report["figures"];
  for (const char* const name :
       {"requests", "served.in_time", "served.late", "refused", "failed", "unanswered", "served.worst_5s",
        "attempts_per_request", "connections_per_request", "attempts.crossing", "cold.most_of_bound",
        "lab.late_p99_ms"})
    out += "  " + Pad(name, 26) + Show(figures[name]) + "\n";
  for (const auto& [name, value] : figures.items())
    if (name.rfind("class.", 0) == 0 && (name.ends_with("in_time") || name.ends_with("p99_ms")))
      out += "  " + Pad(name, 34) + Show(value) + "\n";
  for (const Json& fault : report["faults"]) {
    const std::string name = fault["name"].get<std::string>();
    out += "  " + Pad("fault " + name, 34) + "at " + Show(fault["begun_s"]) + " s, recovered after " +
           Show(figures["fault." + name + ".recover_s"]) + " s\n";
  }
  for (const Json& broken : report["broken"])
    out += "  BROKEN " + broken["rule"].get<std::string>() + " at " + Show(broken["at_s"]) + " s, " +
           broken["id"].get<std::string>() + ": " + broken["what"].get<std::string>() + "\n";
  for (const Json& process : report["processes"])
    if (process["crashed"].get<bool>())
      out +=
          "  CRASHED sidecar " + process["sidecar"].dump() + ": " + process["how"].get<std::string>() + "\n";
  if (figures["ready"] == 0.0) out += "  not all sidecars said yes on /ready\n";
  for (const Json& claim : report["claims"])
    out += std::string(claim["held"].get<bool>() ? "  held    " : "  FAILED  ") +
           claim["figure"].get<std::string>() + " " + Bounds(claim) + ": " + Show(claim["value"]) + "\n";
  if (!report["judged"].get<bool>()) return out + "not judged: the lab itself ran late\n";
  return out + (report["held"].get<bool>() ? "held\n" : "failed\n");
}

Json Compare(const Json& a, const Json& b) {
  for (const Json* const each : {&a, &b})
    if (!each->is_object() || each->value("version", 0) != kReportVersion || !each->contains("figures"))
      throw std::runtime_error("no report of version " + std::to_string(kReportVersion));
  Json runs = Json::array();
  for (const Json* const each : {&a, &b})
    runs.push_back(
        {{"scenario", (*each)["scenario"]}, {"seed", (*each)["seed"]}, {"sidecar", (*each)["sidecar"]}});
  Json figures = Json::object();
  for (const auto& [name, value] : a["figures"].items()) {
    if (!b["figures"].contains(name)) continue;
    const Json& other = b["figures"][name];
    const bool numbers = value.is_number() && other.is_number();
    figures[name] = {
        {"a", value},
        {"b", other},
        {"difference", numbers ? Json(other.get<double>() - value.get<double>()) : Json(nullptr)}};
  }
  return {{"runs", std::move(runs)}, {"figures", std::move(figures)}};
}

std::string CompareTable(const Json& compared) {
  std::string out = Pad("", 38);
  for (const Json& run : compared["runs"])
    out += Pad(run["scenario"].get<std::string>() + " " + run["seed"].dump(), 22);
  out += "difference\n";
  for (const auto& [name, figure] : compared["figures"].items())
    out += Pad(name, 38) + Pad(Show(figure["a"]), 22) + Pad(Show(figure["b"]), 22) +
           Show(figure["difference"]) + "\n";
  return out;
}

}  // namespace violetwing::lab
