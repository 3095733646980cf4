// Tests of the body buffer: replay, discarding, the budget and its callbacks.
#include "sidecar/body.hpp"

#include <gtest/gtest.h>

namespace violetwing::sidecar {
namespace {

TEST(Body, KeepsAShortBodyReplayableAndDiscardsConsumedDataOfALongOne) {
  const auto budget = std::make_shared<BufferBudget>(1024 * 1024);
  Body body(budget);
  int discard_calls = 0;
  body.on_discarded = [&] { ++discard_calls; };
  while (body.HasCapacity()) body.Append(std::string(kBlockBytes, 'x'));
  EXPECT_GT(body.size(), kMaxBufferedBodyBytes);
  body.ConsumeUpTo(kBlockBytes);
  EXPECT_TRUE(body.replayable());  // another attempt can still start from the first byte
  body.ConsumeUpTo(body.size());
  EXPECT_EQ(discard_calls, 1);
  EXPECT_FALSE(body.replayable());
  EXPECT_TRUE(body.HasCapacity());
  body.Append(std::string(kBlockBytes, 'x'));
  EXPECT_FALSE(body.HasCapacity());
}

TEST(Body, ResumesAReaderThatStoppedWhileTheBudgetWasExhausted) {
  const auto budget = std::make_shared<BufferBudget>(0);
  Body body(budget);
  int capacity_calls = 0;
  body.on_capacity = [&] { ++capacity_calls; };
  body.Append(std::string(kBlockBytes, 'x'));
  EXPECT_FALSE(body.HasCapacity());
  budget->Release(1024 * 1024);
  body.ConsumeUpTo(kBlockBytes);
  EXPECT_TRUE(body.replayable());
  EXPECT_EQ(capacity_calls, 1);
}

TEST(Body, ReleasesItsReservationWhenDestroyed) {
  const auto budget = std::make_shared<BufferBudget>(2 * kBlockBytes);
  {
    Body body(budget);
    while (!budget->exhausted()) body.Append(std::string(kBlockBytes, 'x'));
  }
  EXPECT_FALSE(budget->exhausted());
}

}  // namespace
}  // namespace violetwing::sidecar
