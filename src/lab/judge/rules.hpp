// The rules, each over the records of a whole run. Pure.
#ifndef VIOLETWING_LAB_JUDGE_RULES_HPP_
#define VIOLETWING_LAB_JUDGE_RULES_HPP_

#include "lab/judge/core.hpp"
#include "lab/judge/told.hpp"

namespace violetwing::lab {

// One final answer each, half a second after its time at the latest: none broken off by a sidecar that lives,
// none twice, none that no server made.
void CheckAnswers(const Scenario& scenario, const Plan& plan, const Records& records,
                  std::vector<Breach>& out);
// Work is not sent on for clients that have gone.
void CheckGone(const Records& records, std::vector<Breach>& out);
// Servers are told of a further attempt no more time than is left.
void CheckTells(const Scenario& scenario, const Plan& plan, const Records& records, std::vector<Breach>& out);
// Processes that are started anew are ready soon.
void CheckRestarts(const Scenario& scenario, const Records& records, std::vector<Breach>& out);
// Nothing that may have run goes out again, unless its class allows that.
void CheckRepeats(const Scenario& scenario, const Plan& plan, const Records& records,
                  std::vector<Breach>& out);
// Nothing new to a server after the grace from the moment its sidecar was told that it drains or is gone.
void CheckDrains(const Scenario& scenario, const Plan& plan, const Records& records, const Told& told,
                 std::vector<Breach>& out);
// No cold server pushed over by sidecars that had been told of its start. Returns the most that any was sent,
// as a share of what it falls over from.
double CheckCold(const Scenario& scenario, const Plan& plan, const Records& records, const Told& told,
                 std::vector<Breach>& out);

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_JUDGE_RULES_HPP_
