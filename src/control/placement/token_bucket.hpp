// A token bucket whose rate may change over time. Does no I/O, reads no clock and starts no threads.
#ifndef VIOLETWING_CONTROL_PLACEMENT_TOKEN_BUCKET_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_TOKEN_BUCKET_HPP_

#include "common/time.hpp"

namespace violetwing {

/// Limits the rate of an operation, with bursts of up to `capacity` operations. Not thread-safe.
class TokenBucket {
 public:
  /// Creates an empty bucket that holds at most `capacity` tokens.
  explicit TokenBucket(double capacity) : capacity_(capacity) {}

  /// Empties the bucket; it refills from `now` on.
  void Reset(Micros now);
  /// Adds the tokens for the time since the last refill or reset, at `tokens_per_second`.
  void Refill(double tokens_per_second, Micros now);
  /// Whether at least one token is available.
  bool HasToken() const { return tokens_ >= 1; }
  /// Takes one token. Requires `HasToken()`.
  void Take() { tokens_ -= 1; }

 private:
  const double capacity_;
  double tokens_ = 0;
  Micros refilled_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_TOKEN_BUCKET_HPP_
