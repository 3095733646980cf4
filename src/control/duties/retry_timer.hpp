// When a call to the platform may be sent again.
#ifndef VIOLETWING_CONTROL_DUTIES_RETRY_TIMER_HPP_
#define VIOLETWING_CONTROL_DUTIES_RETRY_TIMER_HPP_

#include <algorithm>

#include "common/random.hpp"
#include "common/time.hpp"

namespace violetwing::duties {

/// Exponential backoff with full jitter. Times are in microseconds of one steady clock.
class RetryTimer {
 public:
  /// A call may be sent now.
  bool IsDue(Micros now) const { return now >= due_at_; }
  /// A call has failed.
  void OnFailed(Random& random, Micros now) {
    const Micros limit = std::min(kMaxBackoff, kBaseBackoff << std::min(failures_, kMaxDoublings));
    ++failures_;
    due_at_ = now + kBaseBackoff + static_cast<Micros>(random.Uniform() * static_cast<double>(limit));
  }
  /// A call has succeeded: the next one need not wait.
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
