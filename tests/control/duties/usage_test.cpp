// The estimate of the true time and the usage counts of one process.
#include <catch2/catch.hpp>

#include "control/duties/true_time.hpp"
#include "control/duties/usage_table.hpp"

namespace violetwing::duties {
namespace {

constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE("The true time is the median of the clocks, which does not follow a jump of one clock") {
  TrueTime time;
  CHECK_FALSE(time.At(kSecond));
  time.OnOwnClock(100 * kSecond, kSecond);
  time.OnPeerClock("b", 100 * kSecond + 10, kSecond, kSecond);
  time.OnPeerClock("c", 100 * kSecond - 10, kSecond, kSecond);
  CHECK(time.At(kSecond) == 100 * kSecond);
  time.OnOwnClock(105 * kSecond, kSecond);
  CHECK(time.At(kSecond) == 100 * kSecond + 10);
  time.OnPeerClock("b", 93 * kSecond, kSecond, kSecond);
  CHECK(time.At(kSecond) == 100 * kSecond - 10);
}

TEST_CASE("A clock reading with a long round trip or of great age is ignored") {
  TrueTime time;
  time.OnOwnClock(100 * kSecond, kSecond);
  time.OnPeerClock("b", 50 * kSecond, kSecond, 2 * kSecond);
  CHECK(time.At(2 * kSecond) == 101 * kSecond);
  time.OnPeerClock("b", 50 * kSecond, 2 * kSecond, 2 * kSecond);
  CHECK(time.At(2 * kSecond) == 50 * kSecond);
  CHECK(time.At(30 * kSecond) == 129 * kSecond);
}

TEST_CASE("Duplicated, reordered and repeated usage reports do not change the totals") {
  UsageTable table;
  table.Merge({"edge-1", {{7, "t", 3}, {8, "t", 1}}});
  table.Merge({"edge-2", {{7, "t", 2}, {7, "u", 1}}});
  table.Merge({"edge-1", {{7, "t", 1}}});
  table.Merge({"edge-1", {{7, "t", 3}}});
  CHECK(table.Totals(7) == UsageCounts{{"t", 5}, {"u", 1}});
  CHECK(table.Windows() == std::vector<std::int64_t>{7, 8});
  UsageTable copy;
  for (const UsageReport& report : table.Reports()) copy.Merge(report);
  CHECK(copy.Totals(7) == table.Totals(7));
  table.ForgetUpTo(7);
  table.Merge({"edge-1", {{7, "t", 9}}});
  CHECK(table.Totals(7).empty());
}

}  // namespace violetwing::duties
