#include "dataplane/routing/drain_schedule.hpp"

#include <catch2/catch.hpp>

namespace violetwing {
namespace {

using namespace std::chrono_literals;

constexpr DrainSchedule::TimePoint kStart{std::chrono::hours{1}};

}  // namespace

TEST_CASE("The stages of a drain follow each other within the grace period, however short it is") {
  const std::chrono::milliseconds grace = GENERATE(20ms, 1000ms, 3000ms, 8000ms, 60'000ms);
  const DrainSchedule drain = DrainSchedule::Make(kStart, grace);
  CHECK(kStart < drain.unready_noticed);
  CHECK(drain.unready_noticed <= drain.last_attempt);
  CHECK(drain.last_attempt < drain.requests_end);
  CHECK(drain.requests_end < drain.exit);
  CHECK(drain.exit < kStart + grace);
  // A server that is at work in the last sixth of the grace period is excused (RULES, LOST).
  CHECK(drain.requests_end >= kStart + grace * 5 / 6);
}

TEST_CASE("During a drain an attempt begins only if it can end before the process does") {
  const DrainSchedule drain = DrainSchedule::Make(kStart, 8000ms);
  const auto in_time = drain.requests_end;
  const auto too_long = drain.requests_end + 1ms;
  const auto before = drain.unready_noticed;
  const auto late = drain.unready_noticed + 1ms;
  CHECK(drain.MayBeginAttempt(before, too_long, drain.last_attempt - 1ms));
  CHECK_FALSE(drain.MayBeginAttempt(before, too_long, drain.last_attempt));
  CHECK(drain.MayBeginAttempt(before, in_time, drain.last_attempt));
  CHECK_FALSE(drain.MayBeginAttempt(late, too_long, late));
  CHECK(drain.MayBeginAttempt(late, in_time, late));
}

}  // namespace violetwing
