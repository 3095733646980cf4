// Scenario files and what is drawn from them.
#include "lab/plan.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "lab/judge/core.hpp"

namespace violetwing::lab {
namespace {

std::string ErrorOf(const std::string& text) {
  try {
    CheckClaims(ParseScenario(text, "f.toml"));
  } catch (const ScenarioError& error) {
    return error.what();
  }
  return "";
}

TEST(Scenario, NamesFileLineAndKeyOfWhatIsWrong) {
  const std::map<std::string, std::string> wrong = {
      {"name='a'\nlength_s=[", "f.toml:2: TOML: "},
      {"length_s=10", "f.toml:1: name: needed"},
      {"name='a'\n\nlenght_s=10", "f.toml:3: lenght_s: unknown key"},
      {"name='a'\nlength_s='10'", "f.toml:2: length_s: not a number"},
      {"name='a'\nlength_s=true", "f.toml:2: length_s: not a number"},
      {"name='a'\nlength_s=nan", "f.toml:2: length_s: not a number"},
      {"name='a'\nlength_s=0.5", "f.toml:2: length_s: under one second"},
      {"name='a'\nfleet=3", "f.toml:2: fleet: not a table"},
      {"name='a'\n[fleet]\nsidecars=0", "f.toml:3: fleet.sidecars: 0 is not from 1 to 1000"},
      {"name='a'\n[fleet]\nsidecars=2.5", "f.toml:3: fleet.sidecars: not a whole number"},
      {"name='a'\n[fleet]\nzones=[]", "f.toml:3: fleet.zones: not a list of names"},
      {"name='a'\n[fleet]\nzones=['b','b']", "f.toml:3: fleet.zones: a zone twice"},
      {"name='a'\n[load]\nsidecar_shares=[1]", "f.toml:3: load.sidecar_shares: one for each sidecar"},
      {"name='a'\n[load]\nshare=1\nrequests_per_s=1", "f.toml:3: load.share: requests_per_s is given too"},
      {"name='a'\n[[class]]\nname='b'\neffect='once'",
       "f.toml:4: class.effect: 'once' is none of keyed, safe"},
      {"name='a'\n[[class]]\nname='b'\naim_ms=9\ndeadline_ms=8",
       "f.toml:5: class.deadline_ms: under the aim"},
      {"name='a'\n[[class]]\nname='b'\n[[class]]\nname='b'", "the name 'b' stands twice"},
      {"name='a'\n[class]\nname='b'", "f.toml:2: class: not a list of tables"},
      {"name='a'\n[[fault]]\nname='b'\ndo='explode'", "f.toml:4: fault.do: 'explode' is none of "},
      {"name='a'\n[[fault]]\nname='b'\ndo='crash'\non='server 9'\nat_s=1",
       "f.toml:5: fault.on: '9' is none of the 9"},
      {"name='a'\n[[fault]]\nname='b'\ndo='crash'\non='server zone=x'\nat_s=1", "no zone 'x' in fleet.zones"},
      {"name='a'\n[[fault]]\nname='b'\ndo='crash'\non='sidecar'\nat_s=1",
       "f.toml:5: fault.on: 'crash' is for another"},
      {"name='a'\n[[fault]]\nname='b'\ndo='crash'\non='server'",
       "fault.at_s: needed, or at_request, or when"},
      {"name='a'\n[[fault]]\nname='b'\ndo='crash'\non='server'\nat_s=11",
       "f.toml:6: fault.at_s: after the end"},
      {"name='a'\n[[fault]]\nname='b'\ndo='crash'\non='server'\nwhen='ended c'",
       "fault.when: no fault 'c' above"},
      {"name='a'\n[[fault]]\nname='b'\ndo='slow'\non='server'\nat_s=1", "fault.value: needed by 'slow'"},
      {"name='a'\n[[fault]]\nname='b'\ndo='upgrade'\non='sidecar'\nat_s=1",
       "fault.do: an upgrade needs fleet.passed"},
      {"name='a'\n[[fault]]\nname='b'\ndo='roll'\non='server'\nat_s=1\nvalue=1\nfor_s=1",
       "fault.for_s: 'roll' does not"},
      {"name='a'\n[[fault]]\nname='b'\ndo='cut'\nfrom='server'\nto='server'\nat_s=1",
       "fault.to: links of servers and registries lead to registries"},
      {"name='a'\n[[fault]]\nname='b'\ndo='cut'\nfrom='discovery'\nto='server'\nat_s=1",
       "fault.from: links begin at"},
      {"name='a'\n[[fault]]\nname='b'\ndo='kill'\non='registry'\nat_s=1", "fault.on: no [registry]"},
      {"name='a'\n[registry]\ncount=2\n[[fault]]\nname='b'\ndo='kill'\non='registry 2'\nat_s=1",
       "'2' is none of the 2"},
      {"name='a'\n[registry]\n[[fault]]\nname='b'\ndo='cut'\nfrom='sidecar'\nto='server'\nat_s=1",
       "fault.to: with [registry]"},
      {"name='a'\n[[fault]]\nname='b'\ndo='drain-zone'\non='sidecar'\nvalue=1\nzone='moon'\nat_s=1",
       "fault.zone: no zone 'moon'"},
      {"name='a'\n[registry]\n[network]\nsame_ms=1", "network: not with [registry]"},
      {"name='a'\n[[fault]]\nname='b'\ndo='cut'\nfrom='sidecar'\nto='server'\ndirection='up'\nat_s=1",
       "'up' is none of"},
      {"name='a'\n[[claim]]\nfigure='refused'", "f.toml:2: claim.at_least: needed"},
      {"name='a'\n[[claim]]\nfigure='refusals'\nis=0", "f.toml:2: claim.figure: no figure 'refusals'"},
      {"name='a'\n[[claim]]\nfigure='fault.x.recover_s'\nis=0", "no figure 'fault.x.recover_s'"}};
  for (const auto& [text, error] : wrong) {
    EXPECT_NE(ErrorOf(text).find(error), std::string::npos) << text << "\nsaid: " << ErrorOf(text);
    EXPECT_EQ(ErrorOf(text).find('\n'), std::string::npos) << text;
  }
  EXPECT_EQ(ErrorOf("name='a'\n[[claim]]\nfigure='refused'\nat_most=0.1"), "");
}

TEST(Scenario, AFileThatIsNotThereIsNamed) { EXPECT_THROW(LoadScenario("/nonexistent.toml"), ScenarioError); }

Scenario Usual(const std::string& more = "") {
  return ParseScenario("name='a'\nlength_s=60\n" + more, "f.toml");
}

TEST(Plan, OneSeedGivesOnePlanToTheByteAndAnotherSeedAnother) {
  const Scenario scenario = Usual("[[fault]]\nname='b'\ndo='crash'\non='server share=0.4'\nat_s=1\n");
  EXPECT_EQ(PlanText(scenario, Draw(scenario, 7)), PlanText(scenario, Draw(scenario, 7)));
  EXPECT_NE(PlanText(scenario, Draw(scenario, 7)), PlanText(scenario, Draw(scenario, 8)));
}

// An arm of a comparison differs by a fault; its clients must not.
TEST(Plan, AnotherFaultMovesNoArrival) {
  const Scenario without = Usual();
  const Scenario with = Usual("[[fault]]\nname='b'\ndo='crash'\non='server share=0.4'\nat_s=1\n");
  const Plan a = Draw(without, 7);
  const Plan b = Draw(with, 7);
  ASSERT_EQ(a.arrivals.size(), b.arrivals.size());
  for (std::size_t i = 0; i < a.arrivals.size(); ++i) {
    ASSERT_EQ(a.arrivals[i].at, b.arrivals[i].at);
    ASSERT_EQ(a.arrivals[i].work_us, b.arrivals[i].work_us);
  }
}

TEST(Plan, DrawsTheStatedLoadClassesAndWork) {
  const Scenario scenario = Usual("[load]\nshare=0.5\n");
  const Plan plan = Draw(scenario, 3);
  double capacity = 0;
  for (const ServerPlan& server : plan.servers)
    capacity += 4 * scenario.machines[static_cast<std::size_t>(server.machine)].server.speed;
  double work = 0;
  double saves = 0;
  for (const Arrival& arrival : plan.arrivals) {
    work += arrival.work_us;
    saves += arrival.kind == 0 ? 1 : 0;
    EXPECT_EQ(arrival.key.empty(), arrival.kind != 0);
  }
  EXPECT_NEAR(work / 60e6 / capacity, 0.5, 0.02);
  EXPECT_NEAR(saves / static_cast<double>(plan.arrivals.size()), 0.72, 0.02);
}

TEST(Plan, SelectsByNumberZoneAndShare) {
  const Scenario scenario = Usual(
      "[[fault]]\nname='n'\ndo='crash'\non='server 1,3'\nat_s=1\n"
      "[[fault]]\nname='z'\ndo='crash'\non='server zone=odense'\nat_s=1\n"
      "[[fault]]\nname='s'\ndo='crash'\non='server share=0.4'\nat_s=1\n"
      "[[fault]]\nname='l'\ndo='cut'\nfrom='sidecar zone=aarhus'\nto='server zone=ballerup'\nat_s=1\n");
  const Plan plan = Draw(scenario, 1);
  EXPECT_EQ(plan.faults[0].on, (std::vector<int>{1, 3}));
  EXPECT_EQ(plan.faults[1].on, (std::vector<int>{1, 4, 7}));
  EXPECT_EQ(plan.faults[2].on.size(), 4U);
  EXPECT_EQ(plan.faults[3].on, (std::vector<int>{0}));
  EXPECT_EQ(plan.faults[3].to, (std::vector<int>{2, 5, 8}));
}

TEST(Plan, ATryIsFoundByItsId) {
  const TryOf which = ParseTryId(TryId(123'456, 2));
  EXPECT_EQ(which.arrival, 123'456U);
  EXPECT_EQ(which.attempt, 2);
  EXPECT_GT(ParseTryId("no-id-of-a-client").arrival, 1'000'000'000U);
}

TEST(Plan, AttemptsFailInTheStatedShareAndTheSameOnesEachTime) {
  const Plan plan = Draw(Usual(), 5);
  int failed = 0;
  for (std::size_t i = 0; i < 10'000; ++i) failed += AttemptFails(plan, TryId(i, 0), 3, 0.2) ? 1 : 0;
  EXPECT_NEAR(failed, 2000, 120);
  EXPECT_EQ(AttemptFails(plan, TryId(7, 0), 3, 0.2), AttemptFails(plan, TryId(7, 0), 3, 0.2));
}

}  // namespace
}  // namespace violetwing::lab
