#include "control/placement/token_bucket.hpp"

#include <algorithm>

namespace violetwing {

void TokenBucket::Reset(Micros now) {
  tokens_ = 0;
  refilled_at_ = now;
}

void TokenBucket::Refill(double tokens_per_second, Micros now) {
  const double elapsed_us = static_cast<double>(now - refilled_at_);
  tokens_ = std::min(capacity_, tokens_ + tokens_per_second * elapsed_us / 1e6);
  refilled_at_ = now;
}

}  // namespace violetwing
