// The lease of one server: what is asked of whom, and when, while registries come and go.
#include <gtest/gtest.h>

#include "registry/agent/core.hpp"

namespace violetwing::registry {
namespace {

using Ask = LeaseCore::Ask;
using Heard = LeaseCore::Heard;
using Wanted = LeaseCore::Wanted;
constexpr Micros kSecond = 1'000'000;

class LeaseTest : public ::testing::Test {
 protected:
  // Moves time on to its next call, which gets this answer; what was asked.
  Ask Next(Heard heard, std::optional<std::size_t> go_to = {}) {
    now = std::max(now, core.next());
    const auto ask = core.Due(now);
    EXPECT_TRUE(ask);
    EXPECT_FALSE(core.Due(now));  // one at a time
    core.OnAnswer(now, *ask, heard, go_to);
    return *ask;
  }

  Micros now = 0;
  LeaseCore core{{10 * kSecond, 2 * kSecond, 10 * kSecond, 3}, 1};
};

TEST_F(LeaseTest, RegistersRenewsThreeTimesATermDrainsAndLeaves) {
  EXPECT_EQ(Next(Heard::kDone), Ask::kPut);
  for (int i = 0; i < 5; ++i) {
    const Micros before = now;
    EXPECT_EQ(Next(Heard::kDone), Ask::kRenew);
    EXPECT_LT(now - before, 4 * kSecond);
    EXPECT_GT(now - before, 2 * kSecond);
  }
  core.Want(now, Wanted::kGone);
  EXPECT_EQ(Next(Heard::kDone), Ask::kPut);
  EXPECT_EQ(core.lifecycle(), Lifecycle::kDraining);
  const Micros drained = now;
  EXPECT_EQ(Next(Heard::kDone), Ask::kDeregister);
  EXPECT_EQ(now - drained, 2 * kSecond);
  EXPECT_EQ(core.ended(), 0);
}

TEST_F(LeaseTest, WhatItsRegistryHasLostIsRegisteredAgain) {
  Next(Heard::kDone);
  EXPECT_EQ(Next(Heard::kUnknown), Ask::kRenew);
  const Micros at = now;
  EXPECT_EQ(Next(Heard::kDone), Ask::kPut);
  EXPECT_EQ(now, at);
}

TEST_F(LeaseTest, GoesWhereItIsSentAndElseToTheNextWithGrowingWaits) {
  Next(Heard::kElsewhere, 2);
  EXPECT_EQ(core.registry(), 2U);
  const Micros sent = now;
  Next(Heard::kNobody);
  EXPECT_EQ(now, sent);  // without a wait
  EXPECT_EQ(core.registry(), 0U);
  Micros longest = 0;
  for (int i = 0; i < 30; ++i) {
    const Micros before = now;
    Next(Heard::kNobody);
    longest = std::max(longest, now - before);
  }
  EXPECT_GT(longest, kSecond / 5);
  EXPECT_LE(longest, 10 * kSecond / 6);  // a term has room for several tries
}

TEST_F(LeaseTest, TwoRegistriesThatNameEachOtherAreNotAskedWithoutPause) {
  for (int i = 0; i < 20; ++i) Next(Heard::kElsewhere, static_cast<std::size_t>(i % 2));
  EXPECT_GT(now, kSecond / 10);
}

TEST_F(LeaseTest, WaitsForTheLeaseOfADeadProcessAndGivesUpOnOneThatLives) {
  Next(Heard::kConflict);
  EXPECT_EQ(Next(Heard::kDone), Ask::kPut);
  EXPECT_EQ(Next(Heard::kConflict), Ask::kRenew);  // another one has it now
  while (!core.ended()) EXPECT_EQ(Next(Heard::kConflict), Ask::kPut);
  EXPECT_EQ(core.ended(), 1);
  EXPECT_GT(now, 20 * kSecond);
}

TEST_F(LeaseTest, LeavingEndsInTimeWhereNoRegistryAnswers) {
  Next(Heard::kDone);
  core.Want(now, Wanted::kGone);
  const Micros told = now;
  for (now = told; !core.ended() && now < told + 60 * kSecond;) {
    now = std::max(now, core.next());
    if (const auto ask = core.Due(now)) core.OnAnswer(now, *ask, Heard::kNobody, {});
  }
  EXPECT_EQ(core.ended(), 1);
  EXPECT_LT(now - told, 15 * kSecond);
}

TEST_F(LeaseTest, ADrainThatIsTakenBackIsTold) {
  Next(Heard::kDone);
  core.Want(now, Wanted::kDraining);
  EXPECT_EQ(Next(Heard::kDone), Ask::kPut);
  EXPECT_EQ(Next(Heard::kDone), Ask::kRenew);
  core.Want(now, Wanted::kUp);
  EXPECT_EQ(Next(Heard::kDone), Ask::kPut);
  EXPECT_EQ(core.lifecycle(), Lifecycle::kUp);
}

}  // namespace
}  // namespace violetwing::registry
