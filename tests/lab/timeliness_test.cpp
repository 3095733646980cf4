// Waiting for a machine that is timely, with sleeps that are scripted.
#include "lab/timeliness.hpp"

#include <gtest/gtest.h>

namespace violetwing::lab {
namespace {

constexpr Micros kLateAt = 5'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kMost = 60 * kSecond;

// A machine on which every `one_in`-th sleep is late by 42 ms until `busy_until`.
class Machine {
 public:
  Machine(Micros busy_until, int one_in) : busy_until_(busy_until), one_in_(one_in) {}

  Sleep sleep() {
    return [this](Micros time) {
      const bool late = now_ < busy_until_ && ++sleeps_ % one_in_ == 0;
      const Micros over = late ? 42'000 : 60;
      now_ += time + over;
      return over;
    };
  }
  Micros now() const { return now_; }

 private:
  Micros busy_until_;
  int one_in_;
  int sleeps_ = 0;
  Micros now_ = 0;
};

TEST(TimelinessTest, ATimelyMachineIsToldWithinASecond) {
  Machine machine(0, 1);
  EXPECT_TRUE(AwaitTimeliness(machine.sleep(), kLateAt, kMost));
  EXPECT_LT(machine.now(), kSecond + kSecond / 10);
}

TEST(TimelinessTest, ABusyMachineIsWaitedFor) {
  Machine machine(20 * kSecond, 10);
  EXPECT_TRUE(AwaitTimeliness(machine.sleep(), kLateAt, kMost));
  EXPECT_GE(machine.now(), 20 * kSecond);
  EXPECT_LT(machine.now(), 23 * kSecond);
}

TEST(TimelinessTest, AMachineThatStaysBusyIsGivenUp) {
  Machine machine(1'000 * kSecond, 10);
  EXPECT_FALSE(AwaitTimeliness(machine.sleep(), kLateAt, kMost));
  EXPECT_LT(machine.now(), kMost + 2 * kSecond);
}

TEST(TimelinessTest, OneLateSleepInTwoHundredIsTimely) {
  Machine machine(1'000 * kSecond, 200);
  EXPECT_TRUE(AwaitTimeliness(machine.sleep(), kLateAt, kMost));
}

}  // namespace
}  // namespace violetwing::lab
