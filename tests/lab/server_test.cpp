// The server model against the closed forms of what BRIEF states, within 3%.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>

#include "lab/server/core.hpp"

namespace violetwing::lab {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr double kWork = 50'000;

ServerSpec Plain() {
  ServerSpec spec;
  spec.speed = 0.8;
  spec.full_tax = 0;
  spec.handshake_us = 0;
  spec.queue_per_core = 4;
  return spec;
}

// The work that is served between two times, with the queue kept full from the start on.
double Served(ServerCore& core, Micros from, Micros to) {
  double work = 0;
  std::uint64_t job = 0;
  Micros at = 0;
  while (at < to) {
    for (const ServerCore::Done& done : core.Advance(at))
      if (done.answer == ServerCore::Answer::kServed && done.at >= from) work += kWork;
    while (core.up() && core.waiting() < 8) core.Offer(at, ++job, kWork, INT64_MAX, false);
    at += 1000;
  }
  return work;
}

void Near(double value, double expected) {
  EXPECT_NEAR(value / expected, 1, 0.03) << value << " of " << expected;
}

TEST(ServerCore, DoesWhatItsCoresDo) {
  ServerCore core(Plain());
  core.Start(0, /*cold=*/false);
  Near(Served(core, 5 * kSecond, 25 * kSecond), 20e6 * 4 * 0.8);
}

TEST(ServerCore, MoreSlotsThanCoresShareTheCores) {
  ServerSpec spec = Plain();
  spec.slots_per_core = 3;
  ServerCore core(spec);
  core.Start(0, false);
  Near(Served(core, 5 * kSecond, 25 * kSecond), 20e6 * 4 * 0.8);
}

TEST(ServerCore, WarmsUpEvenlyFromItsColdShare) {
  ServerSpec spec = Plain();
  spec.cold_from = 0.12;
  spec.cold = 20 * kSecond;
  spec.fall_multiple = 100;
  for (const Micros from : {0, 4, 8, 16}) {
    ServerCore core(spec);
    core.Start(0, /*cold=*/true);
    const double begin = 0.12 + 0.88 * static_cast<double>(from) / 20;
    const double end = 0.12 + 0.88 * static_cast<double>(from + 4) / 20;
    Near(Served(core, from * kSecond, (from + 4) * kSecond), 4e6 * 4 * 0.8 * (begin + end) / 2);
  }
  ServerCore core(spec);
  core.Start(0, true);
  Near(Served(core, 20 * kSecond, 30 * kSecond), 10e6 * 4 * 0.8);
}

ServerSpec Choking() {
  ServerSpec spec = Plain();
  spec.queue_per_core = 20;
  spec.choke = {5.5, 2 * kSecond, 2.8, 0.33, 3 * kSecond, 25 * kSecond};
  return spec;
}

// Keeps `waiting` requests in the queue until `to`, and counts the work that is served from `from` on.
double ServedCrowded(ServerCore& core, int waiting, Micros from, Micros to) {
  double work = 0;
  for (Micros at = 0; at < to; at += 1000) {
    for (const ServerCore::Done& done : core.Advance(at)) work += done.at >= from ? kWork : 0;
    while (core.waiting() < waiting) core.Offer(at, 1, kWork, INT64_MAX, false);
  }
  return work;
}

TEST(ServerCore, ChokesOnceItHasBeenCrowdedForLong) {
  ServerCore core(Choking());
  core.Start(0, false);
  Near(ServedCrowded(core, 40, 3 * kSecond, 13 * kSecond), 10e6 * 4 * 0.8 / 2.8);
  EXPECT_TRUE(core.choked());
  ServerCore spared(Choking());
  spared.Start(0, false);
  Near(ServedCrowded(spared, 22, 3 * kSecond, 13 * kSecond), 10e6 * 4 * 0.8);  // 5.5 a core, and not more
  EXPECT_FALSE(spared.choked());
}

TEST(ServerCore, RecoversFromTheChokeByRest) {
  ServerCore core(Choking());
  core.Start(0, false);
  ServedCrowded(core, 40, 0, 3 * kSecond);
  ASSERT_TRUE(core.choked());
  Micros idle = 0;
  Micros at = 3 * kSecond;
  for (; core.choked() && at < 30 * kSecond; at += 1000) {
    core.Advance(at);
    if (idle == 0 && core.waiting() + core.running() <= 1) idle = at;
  }
  Near(static_cast<double>(at - idle), 3e6);
}

TEST(ServerCore, RecoversFromTheChokeInTheEndWithoutRest) {
  ServerCore core(Choking());
  core.Start(0, false);
  Micros at = 0;
  Micros choked = 0;
  for (; at < 40 * kSecond && (choked == 0 || core.choked()); at += 1000) {
    core.Advance(at);
    while (core.waiting() < 40) core.Offer(at, 1, kWork, INT64_MAX, false);
    if (choked == 0 && core.choked()) choked = at;
  }
  Near(static_cast<double>(at - choked), 25e6);
}

TEST(ServerCore, AFullTableOfConnectionsTakesItsShare) {
  ServerSpec spec = Plain();
  spec.full_tax = 0.25;
  ServerCore core(spec);
  core.Start(0, false);
  for (int i = 0; i < spec.connections; ++i) EXPECT_TRUE(core.Connect(0));
  EXPECT_FALSE(core.Connect(0));
  Near(Served(core, 5 * kSecond, 25 * kSecond), 20e6 * 4 * 0.8 * 0.75);
  core.Disconnect(25 * kSecond);
  EXPECT_TRUE(core.Connect(25 * kSecond));
}

TEST(ServerCore, NewConnectionsCostWork) {
  ServerSpec spec = Plain();
  spec.handshake_us = 20'000;
  ServerCore core(spec);
  core.Start(0, false);
  double work = 0;
  for (Micros at = 0; at < 20 * kSecond; at += 10'000) {  // 100 a second, of 20 ms each
    for (const ServerCore::Done& done : core.Advance(at)) work += done.at >= 0 ? kWork : 0;
    ASSERT_TRUE(core.Connect(at));
    core.Disconnect(at);
    while (core.waiting() < 8) core.Offer(at, 1, kWork, INT64_MAX, false);
  }
  Near(work, 20e6 * 4 * 0.8 - 2000 * 20'000);
}

TEST(ServerCore, TurnsAwayWhatItHasNoRoomFor) {
  ServerCore core(Plain());
  core.Start(0, false);
  for (int i = 0; i < 4 + 16; ++i) EXPECT_EQ(core.Offer(0, 1, kWork, INT64_MAX, false), std::nullopt);
  EXPECT_EQ(core.Offer(0, 1, kWork, INT64_MAX, false), ServerCore::Answer::kDeclinedFull);
}

TEST(ServerCore, WhatIsOverdueAtItsTurnIsTurnedAwayOrNot) {
  for (const bool drops : {true, false}) {
    ServerSpec spec = Plain();
    spec.drops_expired = drops;
    ServerCore core(spec);
    core.Start(0, false);
    for (std::uint64_t i = 0; i < 4; ++i) core.Offer(0, i, kWork, INT64_MAX, false);
    core.Offer(0, 9, kWork, /*expires=*/1000, false);
    const auto done = core.Advance(200'000);
    ASSERT_EQ(done.size(), 5U);
    EXPECT_EQ(done[4].job, 9U);
    EXPECT_EQ(done[4].answer, drops ? ServerCore::Answer::kDeclinedExpired : ServerCore::Answer::kServed);
  }
}

TEST(ServerCore, DrainsByFinishingWhatItHas) {
  ServerCore core(Plain());
  core.Start(0, false);
  core.Offer(0, 1, kWork, INT64_MAX, false);
  core.Drain(true);
  EXPECT_EQ(core.Offer(0, 2, kWork, INT64_MAX, false), ServerCore::Answer::kDeclinedDraining);
  EXPECT_EQ(core.Advance(kSecond).size(), 1U);
}

TEST(ServerCore, SlowsDownInTheMiddleOfARequest) {
  ServerCore core(Plain());
  core.Start(0, false);
  core.Offer(0, 1, 80'000, INT64_MAX, false);  // 100 ms at speed 0.8
  core.Advance(50'000);
  core.Slow(50'000, 5);
  EXPECT_EQ(core.Next(), 300'000);
  core.Advance(60'000);
  core.Slow(60'000, 1);
  EXPECT_EQ(core.Next(), 108'000);
}

TEST(ServerCore, FallsOverWhenItIsPushedWhileCold) {
  ServerSpec spec = Plain();
  spec.queue_per_core = 1000;
  spec.cold_from = 0.2;
  ServerCore core(spec);
  core.Start(0, /*cold=*/true);
  const double n = ColdBudget(spec, 0) / spec.mean_work_us;
  const double bound = (n + 2 * std::sqrt(n) + 2) * spec.mean_work_us;
  int offered = 0;
  while (!core.fallen() && offered < 10'000) {
    core.Offer(0, 1, kWork, INT64_MAX, false);
    ++offered;
  }
  EXPECT_EQ(offered, static_cast<int>(bound / kWork) + 1);
  EXPECT_FALSE(core.up());
  ServerCore warm(spec);
  warm.Start(0, /*cold=*/false);
  for (int i = 0; i < 2 * offered; ++i) warm.Offer(0, 1, kWork, INT64_MAX, false);
  EXPECT_TRUE(warm.up());
}

TEST(KeyMemory, DropsRepeatsWithinTheWindowAlone) {
  KeyMemory pod(2 * kSecond);
  EXPECT_FALSE(pod.Seen(0, "a"));
  pod.Keep(0, "a");
  EXPECT_TRUE(pod.Seen(kSecond, "a"));
  EXPECT_FALSE(pod.Seen(kSecond, "b"));
  EXPECT_FALSE(pod.Seen(2 * kSecond, "a"));
}

}  // namespace
}  // namespace violetwing::lab
