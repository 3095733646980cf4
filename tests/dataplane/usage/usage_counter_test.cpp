// Tests of UsageCounter.
#include "dataplane/usage/usage_counter.hpp"

#include <catch2/catch.hpp>

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kWindow = 5 * kSecond;
constexpr Micros kTrueTime = 1'000 * kSecond;  // the start of window 200, at steady time 10 s

UsageCounter CounterAt(Micros true_time) {
  UsageCounter counter("edge/1", kWindow);
  counter.OnTrueTime(true_time, 10 * kSecond);
  return counter;
}

}  // namespace

TEST_CASE("Requests are counted in the window of the true time, and reported when counts have changed") {
  UsageCounter counter = CounterAt(kTrueTime);
  counter.Count("t", 11 * kSecond);
  counter.Count("t", 14'999'999);
  counter.Count("t", 15 * kSecond);
  const UsageReport report = counter.TakeReport(16 * kSecond);
  REQUIRE(report.counts.size() == 2);
  CHECK(report.counts[0].window == 200);
  CHECK(report.counts[0].count == 2);
  CHECK(report.counts[1].window == 201);
  CHECK(report.counts[1].count == 1);
}

TEST_CASE("A failed report is repeated, a delivered one is not") {
  UsageCounter counter = CounterAt(kTrueTime);
  counter.Count("t", 11 * kSecond);
  const UsageReport first = counter.TakeReport(11 * kSecond);
  REQUIRE(first.counts.size() == 1);
  CHECK(counter.TakeReport(12 * kSecond).counts.empty());
  counter.OnFailed(first);
  CHECK(counter.TakeReport(13 * kSecond).counts.size() == 1);
}

TEST_CASE("All counts of a window are reported once more after its end") {
  UsageCounter counter = CounterAt(kTrueTime);
  counter.Count("t", 11 * kSecond);
  counter.Count("u", 12 * kSecond);
  CHECK(counter.TakeReport(13 * kSecond).counts.size() == 2);
  CHECK(counter.TakeReport(16 * kSecond).counts.empty());
  CHECK(counter.TakeReport(17 * kSecond).counts.size() == 2);
  CHECK(counter.TakeReport(18 * kSecond).counts.empty());
}

TEST_CASE("The response with the shortest transit time determines the true time") {
  UsageCounter counter = CounterAt(kTrueTime);
  counter.OnTrueTime(kTrueTime + kSecond, 13 * kSecond);  // two seconds in transit
  counter.Count("t", 14 * kSecond);
  CHECK(counter.TakeReport(14 * kSecond).counts[0].window == 200);
}

TEST_CASE("Nothing is counted before the true time is known") {
  UsageCounter counter("edge/1", kWindow);
  counter.Count("t", kSecond);
  CHECK(counter.TakeReport(2 * kSecond).reporter.empty());
}

}  // namespace violetwing
