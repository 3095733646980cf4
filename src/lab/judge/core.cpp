#include "lab/judge/core.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <limits>
#include <numeric>

#include "lab/judge/rules.hpp"

namespace violetwing::lab {
namespace {

constexpr double kNothing = std::numeric_limits<double>::quiet_NaN();
constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr Micros kWorst = 5'000'000;
constexpr Micros kStep = 500'000;    // the windows of recovery and of the worst stretch
constexpr double kRecovered = 0.99;  // of what was served in time before the fault

// Latencies from 50 us to 100 s in steps of one part in a hundred.
class Latencies {
 public:
  void Add(double ms) { histogram_(ms); }
  // NaN if nothing was added; else the upper edge of the step in which the quantile lies.
  double Quantile(double q) const {
    const double all = boost::histogram::algorithm::sum(histogram_);
    if (all <= 0) return kNothing;
    double passed = 0;
    for (const auto& step : boost::histogram::indexed(histogram_, boost::histogram::coverage::all))
      if ((passed += static_cast<double>(*step)) >= q * all) return step.bin().upper();
    return kForever;
  }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram_{
      boost::histogram::make_histogram(Axis(1450, 0.05, 1e5))};
};

enum class Fate { kInTime, kLate, kRefused, kFailed, kUnanswered };

// What became of one planned request, over all tries of its client.
struct Result {
  Fate fate = Fate::kUnanswered;
  Micros took = 0;  // from the planned send, if served
  int tries = 0;
  bool left = false;
};

Result Conclude(const ClassSpec& kind, const Arrival& arrival, const std::vector<const TryRecord*>& tries) {
  Result out;
  for (const TryRecord* const one : tries) {
    if (!one->resent) ++out.tries;
    if (one->end == TryEnd::kLeft) out.left = true;
    if (one->end == TryEnd::kAnswered && one->status == 200) {
      out.took = one->ended - arrival.at;
      out.fate = out.took <= kind.aim        ? Fate::kInTime
                 : out.took <= kind.deadline ? Fate::kLate
                                             : Fate::kFailed;
      return out;
    }
    if (one->end != TryEnd::kAnswered) {
      out.fate = one->end == TryEnd::kGaveUp || one->end == TryEnd::kOpen ? Fate::kUnanswered : Fate::kFailed;
    } else {
      out.fate = one->status == 429 || one->status == 503 ? Fate::kRefused : Fate::kFailed;
    }
  }
  return out;
}

double Share(double part, double all) { return all > 0 ? part / all : kNothing; }

// Counts by half seconds, over which the worst stretch and the recoveries are found.
struct Steps {
  std::vector<int> requests;
  std::vector<int> in_time;

  explicit Steps(Micros length)
      : requests(static_cast<std::size_t>(length / kStep + 1)), in_time(requests.size()) {}
  void Add(Micros at, bool good) {
    const auto step = static_cast<std::size_t>(at / kStep);
    ++requests[step];
    in_time[step] += good ? 1 : 0;
  }
  double ShareOf(Micros from, Micros to) const {
    int all = 0;
    int good = 0;
    const auto end = std::min(requests.size(), static_cast<std::size_t>(std::max<Micros>(to, 0) / kStep));
    for (auto step = static_cast<std::size_t>(std::max<Micros>(from, 0) / kStep); step < end; ++step) {
      all += requests[step];
      good += in_time[step];
    }
    return Share(good, all);
  }
};

double WorstStretch(const Steps& steps, Micros length) {
  double worst = steps.ShareOf(0, length);
  for (Micros from = 0; from + kWorst <= length; from += kStep)
    worst = std::fmin(worst, steps.ShareOf(from, from + kWorst));
  return worst;
}

// Until the end of the last half second that stayed under what was served before, and before the next fault
// begins. One request too late is chance: a half second of a small fleet holds few.
double Recovery(const Steps& steps, const Records& records, const FaultRecord& fault, Micros length) {
  if (fault.begun == kNever) return kNothing;
  Micros until = length;
  for (const FaultRecord& other : records.faults)
    if (other.begun > fault.begun) until = std::min(until, other.begun);
  const Micros begin = std::max<Micros>(fault.begun, 0);
  const double calm = steps.ShareOf(begin - 2'000'000, begin);
  const double bound = kRecovered * (std::isnan(calm) ? 1 : calm);
  Micros last = begin;
  for (Micros from = begin / kStep * kStep; from + kStep <= until; from += kStep) {
    const auto step = static_cast<std::size_t>(from / kStep);
    if (steps.in_time[step] + 1 < bound * steps.requests[step]) last = from + kStep;
  }
  if (last + kStep > until && last > begin) return kForever;
  return static_cast<double>(last - begin) / 1e6;
}

class Figures {
 public:
  Figures(const Scenario& scenario, const Plan& plan, const Records& records, Verdict& verdict)
      : scenario_(scenario), plan_(plan), records_(records), verdict_(verdict), steps_(scenario.length) {}

  void Count(Micros late) {
    CountRequests();
    CountAttempts();
    CountFaults();
    CountProcesses();
    CountLateness(late);
  }

 private:
  double& At(const std::string& name) { return verdict_.figures[name]; }

  void CountRequests() {
    std::vector<std::vector<const TryRecord*>> tries(plan_.arrivals.size());
    for (const TryRecord& one : records_.tries) tries.at(one.arrival).push_back(&one);
    const std::size_t seconds = static_cast<std::size_t>(scenario_.length / 1'000'000) + 1;
    verdict_.seconds.resize(seconds);
    std::vector<Latencies> by_second(seconds);
    std::vector<Latencies> by_class(scenario_.classes.size());
    std::vector<double> class_all(scenario_.classes.size());
    std::vector<double> class_good(scenario_.classes.size());
    double fates[5] = {};
    double counted = 0;
    double tried = 0;
    double worth = 0;
    double worth_all = 0;
    for (std::size_t i = 0; i < plan_.arrivals.size(); ++i) {
      const Arrival& arrival = plan_.arrivals[i];
      const auto kind_at = static_cast<std::size_t>(arrival.kind);
      const ClassSpec& kind = scenario_.classes[kind_at];
      const Result result = Conclude(kind, arrival, tries[i]);
      tried += result.tries;
      // A client that left before its answer says nothing of the service.
      if (result.left && result.fate != Fate::kInTime) continue;
      ++counted;
      ++fates[static_cast<int>(result.fate)];
      const bool in_time = result.fate == Fate::kInTime;
      steps_.Add(arrival.at, in_time);
      class_all[kind_at] += 1;
      class_good[kind_at] += in_time ? 1 : 0;
      worth_all += kind.worth;
      worth += in_time ? kind.worth : result.fate == Fate::kLate ? kind.worth * kind.late_value : 0;
      const auto second_at = static_cast<std::size_t>(arrival.at / 1'000'000);
      Second& second = verdict_.seconds[second_at];
      ++second.requests;
      ++(in_time                         ? second.in_time
         : result.fate == Fate::kLate    ? second.late
         : result.fate == Fate::kRefused ? second.refused
                                         : second.failed);
      if (!in_time && result.fate != Fate::kLate) continue;
      const double ms = static_cast<double>(result.took) / 1e3;
      by_class[kind_at].Add(ms);
      by_second[second_at].Add(ms);
    }
    At("requests") = counted;
    const char* const names[] = {"served.in_time", "served.late", "refused", "failed", "unanswered"};
    for (int fate = 0; fate < 5; ++fate) At(names[fate]) = Share(fates[fate], counted);
    At("served.worth") = Share(worth, worth_all);
    At("served.worst_5s") = WorstStretch(steps_, scenario_.length);
    At("served.per_s") = fates[0] / (static_cast<double>(scenario_.length) / 1e6);
    At("tries_per_request") = Share(tried, static_cast<double>(plan_.arrivals.size()));
    for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
      const std::string at = "class." + scenario_.classes[i].name + ".";
      At(at + "in_time") = Share(class_good[i], class_all[i]);
      At(at + "p50_ms") = by_class[i].Quantile(0.5);
      At(at + "p90_ms") = by_class[i].Quantile(0.9);
      At(at + "p99_ms") = by_class[i].Quantile(0.99);
      At(at + "p999_ms") = by_class[i].Quantile(0.999);
    }
    for (std::size_t i = 0; i < seconds; ++i) {
      const double half = by_second[i].Quantile(0.5);
      verdict_.seconds[i].p50_ms = std::isnan(half) ? 0 : half;
      verdict_.seconds[i].p99_ms = std::isnan(half) ? 0 : by_second[i].Quantile(0.99);
    }
  }

  void CountAttempts() {
    std::vector<double> zones(scenario_.fleet.zones.size());
    double crossings = 0;
    double fresh = 0;
    double declined = 0;
    for (const AttemptRecord& attempt : records_.attempts) {
      const LifeRecord& life = records_.lives[static_cast<std::size_t>(attempt.life)];
      const int zone = plan_.servers[static_cast<std::size_t>(life.server)].zone;
      zones[static_cast<std::size_t>(zone)] += 1;
      fresh += attempt.first_on_connection ? 1 : 0;
      declined += attempt.outcome == Outcome::kDeclined ? 1 : 0;
      const TryOf which = ParseTryId(attempt.id);
      if (which.arrival >= plan_.arrivals.size()) continue;
      const int sidecar = plan_.arrivals[which.arrival].sidecar;
      crossings += plan_.sidecar_zones[static_cast<std::size_t>(sidecar)] != zone ? 1 : 0;
    }
    const auto attempts = static_cast<double>(records_.attempts.size());
    At("attempts_per_request") = Share(attempts, static_cast<double>(plan_.arrivals.size()));
    At("attempts.declined") = Share(declined, attempts);
    At("attempts.crossing") = Share(crossings, attempts);
    At("connections_per_request") = Share(fresh, static_cast<double>(plan_.arrivals.size()));
    for (std::size_t i = 0; i < zones.size(); ++i)
      At("zone." + scenario_.fleet.zones[i] + ".share") = Share(zones[i], attempts);
    At("discovery.calls") = static_cast<double>(records_.discovery_calls);
  }

  void CountFaults() {
    for (std::size_t i = 0; i < scenario_.faults.size(); ++i) {
      const std::string at = "fault." + scenario_.faults[i].name + ".";
      const auto it = std::find_if(records_.faults.begin(), records_.faults.end(),
                                   [&](const FaultRecord& one) { return one.fault == static_cast<int>(i); });
      const FaultRecord none;
      const FaultRecord& fault = it == records_.faults.end() ? none : *it;
      At(at + "begun_s") = fault.begun == kNever ? kNothing : static_cast<double>(fault.begun) / 1e6;
      At(at + "recover_s") = Recovery(steps_, records_, fault, scenario_.length);
    }
  }

  void CountProcesses() {
    double crashed = 0;
    for (const ProcessRecord& process : records_.processes) crashed += process.crashed ? 1 : 0;
    At("crashed") = crashed + records_.registries_crashed;
    At("registry.writing") = records_.views ? records_.views->writing : kNothing;
    At("registry.equal") = records_.views ? records_.views->equal : kNothing;
    At("registry.told_wrong") = records_.views ? records_.views->wrong : kNothing;
    At("ready") = records_.all_ready ? 1 : 0;
    for (int i = 0; i < scenario_.fleet.sidecars; ++i) {
      double cpu = 0;
      double memory = 0;
      double descriptors = 0;
      for (const UsageRecord& usage : records_.usage) {
        if (usage.sidecar != i) continue;
        cpu = std::max(cpu, usage.cpu_s);
        memory = std::max(memory, usage.memory_mb);
        descriptors = std::max(descriptors, static_cast<double>(usage.descriptors));
      }
      const std::string at = "sidecar." + std::to_string(i) + ".";
      At(at + "cpu_s") = cpu;
      At(at + "memory_mb") = memory;
      At(at + "descriptors") = descriptors;
    }
  }

  void CountLateness(Micros most) {
    std::vector<Micros> late = records_.lateness;
    std::sort(late.begin(), late.end());
    const auto at = [&](double q) {
      return late.empty() ? kNothing
                          : static_cast<double>(
                                late[static_cast<std::size_t>(q * static_cast<double>(late.size() - 1))]) /
                                1e3;
    };
    At("lab.late_p99_ms") = at(0.99);
    At("lab.late_worst_ms") = at(1);
    verdict_.judged = !(at(0.99) * 1e3 > static_cast<double>(most));
  }

  const Scenario& scenario_;
  const Plan& plan_;
  const Records& records_;
  Verdict& verdict_;
  Steps steps_;
};

}  // namespace

bool Verdict::held() const {
  const auto crashed = figures.find("crashed");
  return judged && breaches.empty() && (crashed == figures.end() || crashed->second == 0) &&
         std::all_of(claims.begin(), claims.end(), [](const CheckedClaim& claim) { return claim.held; });
}

Verdict Judge(const Scenario& scenario, const Plan& plan, const Records& records, Micros late) {
  Verdict verdict;
  const Told told(scenario, plan, records);
  CheckAnswers(scenario, plan, records, verdict.breaches);
  CheckGone(records, verdict.breaches);
  CheckTells(scenario, plan, records, verdict.breaches);
  CheckRestarts(scenario, records, verdict.breaches);
  CheckRepeats(scenario, plan, records, verdict.breaches);
  CheckDrains(scenario, plan, records, told, verdict.breaches);
  verdict.figures["cold.most_of_bound"] = CheckCold(scenario, plan, records, told, verdict.breaches);
  std::stable_sort(verdict.breaches.begin(), verdict.breaches.end(),
                   [](const Breach& a, const Breach& b) { return a.at != b.at ? a.at < b.at : a.id < b.id; });
  for (const char* const rule : {"lost", "gone", "doubled", "drained", "pushed", "told", "restart"})
    verdict.figures[std::string("broken.") + rule] =
        static_cast<double>(std::count_if(verdict.breaches.begin(), verdict.breaches.end(),
                                          [&](const Breach& breach) { return breach.rule == rule; }));
  Figures(scenario, plan, records, verdict).Count(late);
  for (const Claim& claim : scenario.claims) {
    const auto it = verdict.figures.find(claim.figure);
    if (it == verdict.figures.end())
      throw ScenarioError(claim.where + ": claim.figure: no figure '" + claim.figure + "'");
    // A figure that is not a number holds neither bound, as a comparison with it is false.
    const bool held = (!claim.at_least || it->second >= *claim.at_least) &&
                      (!claim.at_most || it->second <= *claim.at_most);
    verdict.claims.push_back({claim, it->second, held});
  }
  return verdict;
}

void CheckClaims(const Scenario& scenario) {
  Plan empty;  // the names of the figures are those of the scenario, whatever happened
  static_cast<void>(Judge(scenario, empty, Records()));
}

}  // namespace violetwing::lab
