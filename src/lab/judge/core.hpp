// The judge: which of the four rules a run broke, what was served and how fast, and whether the scenario's
// claims hold. Goes by the records of clients, servers and discovery, never by what a sidecar says of itself.
// Pure.
#ifndef VIOLETWING_LAB_JUDGE_CORE_HPP_
#define VIOLETWING_LAB_JUDGE_CORE_HPP_

#include <map>
#include <string>
#include <vector>

#include "lab/plan.hpp"
#include "lab/records.hpp"

namespace violetwing::lab {

// The lab ran late if one arrival in a hundred came later than this to its turn: what is measured then is the
// lab.
inline constexpr Micros kLate = 5'000;

struct Breach {
  std::string rule;  // lost, gone, doubled, drained, pushed, told, restart
  Micros at = 0;
  std::string id;  // of the request, or of the server that was pushed over
  std::string what;
};

struct Second {
  int requests = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  double p50_ms = 0;  // of what was served; 0 if nothing was
  double p99_ms = 0;
};

struct CheckedClaim {
  Claim claim;
  double value = 0;
  bool held = false;
};

struct Verdict {
  bool judged = true;  // false if the lab ran late
  std::vector<Breach> breaches;
  // By name. NaN: there was nothing to count; infinite: it never happened.
  std::map<std::string, double> figures;
  std::vector<Second> seconds;  // by the time at which the requests were due
  std::vector<CheckedClaim> claims;
  bool held() const;  // judged, every claim holds, no rule is broken and no process crashed
};

// `late`: how late the lab may have come to one arrival in a hundred.
Verdict Judge(const Scenario& scenario, const Plan& plan, const Records& records, Micros late = kLate);

// Throws ScenarioError if a claim is about a figure that a run of this scenario does not have.
void CheckClaims(const Scenario& scenario);

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_JUDGE_CORE_HPP_
