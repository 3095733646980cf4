// The budget for retries.
#include "dataplane/routing/retry_budget.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE("Retries of all sidecars together stay within the backend's budget") {
  constexpr int kSidecars = 9;
  std::vector<RetryBudget> budgets(kSidecars, RetryBudget(0.2, 58, 10, 0));
  int spent = 0;
  for (Micros now = 20 * kSecond; now < 30 * kSecond; now += kSecond / 10)
    for (RetryBudget& budget : budgets) {
      budget.OnRequest("s", now);
      for (int i = 0; i < 5; ++i) spent += budget.TrySpend("s", kSidecars, now);
    }
  CHECK(spent <= 0.2 * 900 + 58);
  CHECK(spent >= 0.5 * (0.2 * 900 + 58));
}

TEST_CASE("The slack of the retry budget is not available in the first window after a start") {
  RetryBudget budget(0.2, 58, 10, 0);
  CHECK_FALSE(budget.TrySpend("s", 1, kSecond));
  CHECK(budget.TrySpend("s", 1, 11 * kSecond));
}

}  // namespace violetwing
