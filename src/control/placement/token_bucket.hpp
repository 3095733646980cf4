// A token bucket whose rate may change over time. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_TOKEN_BUCKET_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_TOKEN_BUCKET_HPP_

#include "common/time.hpp"

namespace violetwing {

/// Limits the rate of an operation, with bursts of up to `capacity` operations.
class TokenBucket {
 public:
  /// An empty bucket for at most `capacity` tokens.
  explicit TokenBucket(double capacity) : capacity_(capacity) {}

  /// Empties the bucket; it refills from `now` on.
  void Reset(Micros now);
  /// Adds the tokens of the time since the last call, at `tokens_per_second`.
  void Refill(double tokens_per_second, Micros now);
  /// Whether a whole token is left.
  bool HasToken() const { return tokens_ >= 1; }
  /// Takes one token. The caller has checked `HasToken`.
  void Take() { tokens_ -= 1; }

 private:
  const double capacity_;
  double tokens_ = 0;
  Micros refilled_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_TOKEN_BUCKET_HPP_
