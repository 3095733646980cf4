// Who writes, whom the others follow, and what is called stale: without a clock or a socket.
#include <gtest/gtest.h>

#include "registry/role/core.hpp"

namespace violetwing::registry {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::int64_t kFirst = kEpochUnit + 10;       // of epoch 1
constexpr std::int64_t kSecondEpoch = 2 * kEpochUnit;  // its begin

Standing Says(const std::string& name, Role role, std::int64_t generation,
              std::vector<std::string> path = {}) {
  return {name, role, generation, 0, std::move(path), 0};
}

class RoleTest : public ::testing::Test {
 protected:
  static RoleCore Of(bool follows, std::size_t others = 2) {
    return {"me", others, follows, RoleCore::Timing(), 0};
  }
};

TEST_F(RoleTest, OneThatIsAloneWritesAtOnce) {
  RoleCore core = Of(false, 0);
  EXPECT_EQ(core.role(), Role::kPrimary);
  EXPECT_EQ(core.Stale(0), 0);
}

TEST_F(RoleTest, APrimaryAsksAllTheOthersBeforeItWrites) {
  RoleCore core = Of(false);
  core.Decide(0, kFirst);
  EXPECT_EQ(core.role(), Role::kAsking);
  core.OnSilence(0);
  core.Decide(0, kFirst);
  EXPECT_EQ(core.role(), Role::kAsking);
  core.OnStanding(0, 1, Says("b", Role::kFollower, kFirst - 1), kFirst);
  core.Decide(0, kFirst);
  EXPECT_EQ(core.role(), Role::kPrimary);
}

TEST_F(RoleTest, APrimaryThatHearsOfALaterEpochFollowsWhoeverSaysSo) {
  for (const bool started : {false, true}) {
    RoleCore core = Of(false);
    if (started) {
      core.OnSilence(0);
      core.OnSilence(1);
      core.Decide(0, kFirst);
      ASSERT_EQ(core.role(), Role::kPrimary);
    }
    core.OnStanding(0, 1, Says("b", Role::kFollower, kSecondEpoch, {"c"}), kFirst);
    core.Decide(0, kFirst);
    EXPECT_EQ(core.role(), Role::kFollower);
    EXPECT_EQ(core.upstream(), 1U);
    EXPECT_TRUE(core.IsStale(0));  // until it has that list
  }
}

TEST_F(RoleTest, TwoPrimariesOfOneEpochAreRivalsUntilOneIsPromoted) {
  RoleCore core = Of(false, 1);
  core.OnStanding(0, 0, Says("b", Role::kPrimary, kFirst), kFirst);
  core.Decide(0, kFirst);
  EXPECT_EQ(core.rival(), "b");
  EXPECT_EQ(core.MayPromote(0, 2, kFirst, false), "");
  core.OnStanding(0, 0, Says("b", Role::kFollower, kFirst), kFirst);
  core.Decide(0, kFirst);
  EXPECT_EQ(core.rival(), "");
}

TEST_F(RoleTest, AFollowerPrefersThePrimaryAndNeverFollowsWhoFollowsIt) {
  RoleCore core = Of(true, 3);
  core.Decide(0, kFirst);
  EXPECT_FALSE(core.upstream());
  core.OnStanding(0, 0, Says("b", Role::kFollower, kFirst, {"c", "me"}), kFirst);
  core.Decide(0, kFirst);
  EXPECT_FALSE(core.upstream());
  core.OnStanding(0, 1, Says("c", Role::kFollower, kFirst, {"p"}), kFirst);
  core.Decide(0, kFirst);
  EXPECT_EQ(core.upstream(), 1U);
  core.OnStanding(0, 2, Says("p", Role::kPrimary, kFirst), kFirst);
  core.Decide(0, kFirst);
  EXPECT_EQ(core.upstream(), 2U);
  core.Decide(4 * kSecond, kFirst);  // nobody has answered for long
  EXPECT_FALSE(core.upstream());
}

TEST_F(RoleTest, AFollowerThatHasMoreIsNotTakenBackAndAnOldEpochIsNoChoice) {
  RoleCore core = Of(true, 2);
  core.OnStanding(0, 0, Says("old", Role::kPrimary, kFirst), kSecondEpoch);
  core.OnStanding(0, 1, Says("b", Role::kFollower, kSecondEpoch, {"old"}), kSecondEpoch + 1);
  core.Decide(0, kSecondEpoch + 1);
  EXPECT_FALSE(core.upstream());
}

TEST_F(RoleTest, StaleCountsFromWhenAPrimaryHadNoMoreByWhateverPath) {
  RoleCore core = Of(true, 1);
  EXPECT_TRUE(core.IsStale(0));
  Standing far = Says("b", Role::kFollower, kFirst, {"p"});
  core.OnStanding(0, 0, far, kFirst);
  core.Decide(0, kFirst);
  far.stale = 2 * kSecond;
  far.generation = kFirst + 1;
  core.OnStanding(10 * kSecond, 0, far, kFirst);  // it has not come to that generation yet
  EXPECT_TRUE(core.IsStale(10 * kSecond));
  core.OnGeneration(kFirst + 1);
  EXPECT_EQ(core.Stale(11 * kSecond), 3 * kSecond);
  EXPECT_EQ(core.Own(11 * kSecond, kFirst + 1, 0).path, (std::vector<std::string>{"b", "p"}));
}

TEST_F(RoleTest, PromotionIsRefusedWhereAnOperatorWouldLoseSomething) {
  RoleCore core = Of(true, 2);
  core.OnStanding(0, 0, Says("p", Role::kPrimary, kFirst), kFirst);
  EXPECT_NE(core.MayPromote(0, 2, kFirst, false), "");
  EXPECT_EQ(core.MayPromote(0, 2, kFirst, true), "");
  EXPECT_NE(core.MayPromote(0, 1, kFirst, true), "");  // never an epoch that has been
  const Micros later = 10 * kSecond;                   // the primary is gone
  EXPECT_EQ(core.MayPromote(later, 2, kFirst, false), "");
  core.OnStanding(later, 1, Says("b", Role::kFollower, kFirst + 1), kFirst);
  EXPECT_NE(core.MayPromote(later, 2, kFirst, false), "");  // that one has more
  core.OnStanding(0, 0, Says("p", Role::kPrimary, 4 * kEpochUnit), kFirst);
  EXPECT_NE(core.MayPromote(later, 4, kFirst, true), "");
}

}  // namespace
}  // namespace violetwing::registry
