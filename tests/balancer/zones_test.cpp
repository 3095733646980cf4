// Zone orders: the traffic share of draining and returning zones, and what the module sends there.
#include "balancer/zones.hpp"

#include <gtest/gtest.h>

#include "balancer/harness.hpp"

namespace violetwing::balancer {
namespace {

using testing::kSec;
using Kind = testing::Action::Kind;

TEST(Zones, DrainFallsLinearlyAndReturnRisesInSteps) {
  Zones zones;
  EXPECT_EQ(zones.TrafficShare(1, 0), 1);
  zones.SetOrder(1, {true, 10 * kSec, 8 * kSec, 1});
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 10 * kSec), 1);
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 12 * kSec), 0.75);
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 18 * kSec), 0);
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 99 * kSec), 0);
  EXPECT_EQ(zones.TrafficShare(0, 18 * kSec), 1);
  zones.SetOrder(1, {false, 20 * kSec, 8 * kSec, 0.5});  // revoked half way
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 20 * kSec), 0.5625);
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 21 * kSec - 1), 0.5625);
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 21 * kSec), 0.625);
  EXPECT_DOUBLE_EQ(zones.TrafficShare(1, 28 * kSec), 1);
  zones.SetOrder(1, {true, 30 * kSec, 0, 1});
  EXPECT_EQ(zones.TrafficShare(1, 30 * kSec), 0);
  zones.SetOrder(1, {false, 31 * kSec, 0, 0});
  EXPECT_EQ(zones.TrafficShare(1, 31 * kSec), 1);
}

TEST(Zones, ReportsAvailabilityChangesAndDropsCompletedReturn) {
  Zones zones;
  EXPECT_FALSE(zones.TakeAvailabilityChange(0));
  zones.SetOrder(1, {true, 0, 8 * kSec, 1});
  zones.TakeAvailabilityChange(0);
  EXPECT_FALSE(zones.TakeAvailabilityChange(7 * kSec));
  EXPECT_TRUE(zones.TakeAvailabilityChange(8 * kSec));
  EXPECT_FALSE(zones.TakeAvailabilityChange(9 * kSec));
  zones.SetOrder(1, {false, 10 * kSec, 8 * kSec, 0});
  EXPECT_TRUE(zones.TakeAvailabilityChange(10 * kSec));
  EXPECT_FALSE(zones.TakeAvailabilityChange(18 * kSec));
  Random random(1);
  const std::uint64_t next = Random(1).Next();
  EXPECT_TRUE(zones.AcceptsDraw(1, 18 * kSec, random));
  EXPECT_EQ(random.Next(), next);  // without orders, no random number is drawn
  zones.SetOrder(1, {true, 20 * kSec, 0, 1});
  zones.TakeAvailabilityChange(20 * kSec);
  zones.ClearOrder(1);
  EXPECT_TRUE(zones.TakeAvailabilityChange(21 * kSec));
  EXPECT_EQ(zones.TrafficShare(1, 21 * kSec), 1);
}

class ZoneDrainTest : public ::testing::Test {
 protected:
  void Start(int servers) {
    std::string error;
    balancer = Balancer::Create(testing::MakeSettings(), 7, now, sink, error);
    ASSERT_NE(balancer, nullptr) << error;
    balancer->OnServers(now, {ListUpdate::Kind::kFull, 1, testing::MakeServers(servers)});
    sink.Take();
  }
  // Runs requests that are served immediately, and returns the fraction that was sent to zone 1.
  double ZoneOneShare(int requests) {
    int in_zone_one = 0;
    for (int i = 0; i < requests; ++i) {
      Request request;
      const std::string id = "r" + std::to_string(next_id++);
      request.id = id;
      request.budget = 5 * kSec;
      balancer->OnRequest(now, request);
      for (const auto& action : sink.Take())
        if (action.kind == Kind::kSend)
          in_zone_one += (action.server.back() - '0') % 2;  // MakeServers alternates between the zones
      balancer->OnOutcome(now, {id, 0, Result::kSuccess, 10'000, true});
    }
    return static_cast<double>(in_zone_one) / requests;
  }

  Micros now = 1000 * kSec;
  testing::Recorder sink;
  std::unique_ptr<Balancer> balancer;
  int next_id = 0;
};

TEST_F(ZoneDrainTest, TrafficFollowsOrderAndWindowReplacesServersOfDrainedZone) {
  Start(8);  // the window contains three of them: s00, s01, s02
  const double before = ZoneOneShare(3000);
  EXPECT_NEAR(before, 1.0 / 3, 0.05);
  balancer->SetZoneOrder(now, 1, {true, now, 10 * kSec, 1});
  now += 5 * kSec;
  const double half = ZoneOneShare(3000);
  EXPECT_GT(half, 0.1);
  EXPECT_LT(half, 0.25);
  now += 5 * kSec;
  EXPECT_EQ(ZoneOneShare(3000), 0);
  EXPECT_EQ(balancer->membership(now).unavailable, 4U);
  std::set<std::string> used;
  for (int i = 0; i < 200; ++i) {
    Request request;
    const std::string id = "w" + std::to_string(i);
    request.id = id;
    request.budget = 5 * kSec;
    balancer->OnRequest(now, request);
    for (const auto& action : sink.Take())
      if (action.kind == Kind::kSend) used.insert(action.server);
    balancer->OnOutcome(now, {id, 0, Result::kSuccess, 10'000, true});
  }
  EXPECT_EQ(used, (std::set<std::string>{"s00", "s02", "s04"}));
  balancer->SetZoneOrder(now, 1, {false, now, 8 * kSec, 0});
  const double first = ZoneOneShare(3000);
  EXPECT_GT(first, 0.01);
  EXPECT_LT(first, 0.12);
  now += 8 * kSec;
  EXPECT_NEAR(ZoneOneShare(3000), before, 0.05);
  EXPECT_EQ(balancer->membership(now).unavailable, 0U);
}

TEST_F(ZoneDrainTest, RejectsImmediatelyWhenAllZonesAreDrained) {
  Start(2);
  EXPECT_TRUE(balancer->HasUsableServerOutside(1));
  balancer->SetZoneOrder(now, 1, {true, now, 0, 1});
  EXPECT_FALSE(balancer->HasUsableServerOutside(0));
  EXPECT_EQ(ZoneOneShare(10), 0);
  balancer->SetZoneOrder(now, 0, {true, now, 0, 1});
  Request request;
  request.id = "last";
  request.budget = 5 * kSec;
  balancer->OnRequest(now, request);
  const auto actions = sink.Take();
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(actions[0].kind, Kind::kReject);
}

TEST_F(ZoneDrainTest, AttemptsInDrainedZoneFinishAndAreRetriedElsewhere) {
  Start(2);
  balancer->SetZoneOrder(now, 0, {true, now, 0, 1});
  Request request;
  request.id = "r";
  request.budget = 5 * kSec;
  balancer->OnRequest(now, request);
  auto actions = sink.Take();
  ASSERT_EQ(actions[0].server, "s01");
  balancer->SetZoneOrder(now, 0, {false, now, 0, 0});
  balancer->SetZoneOrder(now, 1, {true, now, 0, 1});
  balancer->OnOutcome(now, {"r", 0, Result::kRejected, 10'000, false});
  actions = sink.Take();
  ASSERT_EQ(actions[0].kind, Kind::kTimer);
  now += actions[0].time;
  balancer->OnTimer(now, actions[0].token);
  EXPECT_EQ(sink.Take()[0].server, "s00");
}

}  // namespace
}  // namespace violetwing::balancer
