// Rate limiting by the token bucket.
#include "control/placement/token_bucket.hpp"

#include <catch2/catch.hpp>

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;

TEST_CASE("A token bucket refills at the given rate up to its capacity") {
  TokenBucket bucket(/*capacity=*/2);
  bucket.Reset(kSecond);
  CHECK_FALSE(bucket.HasToken());
  bucket.Refill(/*tokens_per_second=*/4, kSecond + kSecond / 8);
  CHECK_FALSE(bucket.HasToken());
  bucket.Refill(4, kSecond + kSecond / 4);
  CHECK(bucket.HasToken());
  bucket.Refill(4, 100 * kSecond);
  bucket.Take();
  bucket.Take();
  CHECK_FALSE(bucket.HasToken());
}

TEST_CASE("A reset token bucket is empty and refills from then on") {
  TokenBucket bucket(/*capacity=*/3);
  bucket.Refill(/*tokens_per_second=*/1, 10 * kSecond);
  REQUIRE(bucket.HasToken());
  bucket.Reset(20 * kSecond);
  CHECK_FALSE(bucket.HasToken());
  bucket.Refill(1, 20 * kSecond + kSecond / 2);
  CHECK_FALSE(bucket.HasToken());
}

}  // namespace
}  // namespace violetwing
