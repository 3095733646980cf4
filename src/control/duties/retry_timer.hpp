// Schedules the retries of a call to the platform.
#ifndef VIOLETWING_CONTROL_DUTIES_RETRY_TIMER_HPP_
#define VIOLETWING_CONTROL_DUTIES_RETRY_TIMER_HPP_

#include <algorithm>

#include "common/random.hpp"
#include "common/time.hpp"

namespace violetwing::duties {

/// Exponential backoff with full jitter on top of the base delay. Times are in microseconds of one steady
/// clock. Not thread-safe.
class RetryTimer {
 public:
  /// Whether a call may be sent now.
  bool IsDue(Micros now) const { return now >= due_at_; }
  /// Records that a call failed, and delays the next one.
  void OnFailed(Random& random, Micros now) {
    const Micros limit = std::min(kMaxBackoff, kBaseBackoff << std::min(failures_, kMaxDoublings));
    ++failures_;
    due_at_ = now + kBaseBackoff + static_cast<Micros>(random.Uniform() * static_cast<double>(limit));
  }
  /// Records that a call succeeded, so that the next one may be sent at once.
  void OnSucceeded() {
    failures_ = 0;
    due_at_ = 0;
  }

 private:
  static constexpr Micros kBaseBackoff = 100'000;
  static constexpr Micros kMaxBackoff = 1'600'000;
  static constexpr int kMaxDoublings = 8;

  int failures_ = 0;
  Micros due_at_ = 0;
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_RETRY_TIMER_HPP_
