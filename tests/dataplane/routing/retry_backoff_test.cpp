// The backoff before a retry.
#include "dataplane/routing/retry_backoff.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE("Backoff has full jitter under a bound that doubles up to a cap") {
  Random random(1);
  Micros longest = 0;
  for (int i = 0; i < 1000; ++i) {
    const Micros backoff = RetryBackoff(0, random);
    CHECK(backoff >= 0);
    longest = std::max(longest, backoff);
  }
  CHECK(longest <= 60'000);
  CHECK(longest > 50'000);
  longest = 0;
  for (int i = 0; i < 1000; ++i) longest = std::max(longest, RetryBackoff(3, random));
  CHECK(longest > 400'000);
  CHECK(longest <= 480'000);
  for (int i = 0; i < 100; ++i) CHECK(RetryBackoff(30, random) <= 2 * kSecond);
}

}  // namespace violetwing
