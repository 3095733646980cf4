// What bodies hold, and whom they wake.
#include "sidecar/body.hpp"

#include <gtest/gtest.h>

namespace violetwing::sidecar {
namespace {

TEST(Body, HoldsAShortOneAndDropsOfALongOneWhatIsTaken) {
  const auto budget = std::make_shared<BufferBudget>(1024 * 1024);
  Body body(budget);
  int dropped = 0;
  body.on_discarded = [&] { ++dropped; };
  while (body.HasCapacity()) body.Append(std::string(kBlockBytes, 'x'));
  EXPECT_GT(body.size(), kMaxBufferedBodyBytes);
  body.ConsumeUpTo(kBlockBytes);
  EXPECT_TRUE(body.replayable());  // a new attempt may still begin with the first byte
  body.ConsumeUpTo(body.size());
  EXPECT_EQ(dropped, 1);
  EXPECT_FALSE(body.replayable());
  EXPECT_TRUE(body.HasCapacity());
  body.Append(std::string(kBlockBytes, 'x'));
  EXPECT_FALSE(body.HasCapacity());
}

TEST(Body, WakesAReaderThatStoppedWhileTheBudgetWasSpent) {
  const auto budget = std::make_shared<BufferBudget>(0);
  Body body(budget);
  int woken = 0;
  body.on_capacity = [&] { ++woken; };
  body.Append(std::string(kBlockBytes, 'x'));
  EXPECT_FALSE(body.HasCapacity());
  budget->Release(1024 * 1024);
  body.ConsumeUpTo(kBlockBytes);
  EXPECT_TRUE(body.replayable());
  EXPECT_EQ(woken, 1);
}

TEST(Body, GivesBackWhatItHeld) {
  const auto budget = std::make_shared<BufferBudget>(2 * kBlockBytes);
  {
    Body body(budget);
    while (!budget->exhausted()) body.Append(std::string(kBlockBytes, 'x'));
  }
  EXPECT_FALSE(budget->exhausted());
}

}  // namespace
}  // namespace violetwing::sidecar
