// How often, and after what wait, a request is retried. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_ROUTING_RETRY_BACKOFF_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_RETRY_BACKOFF_HPP_

#include "common/random.hpp"
#include "common/time.hpp"

namespace violetwing {

/// Attempts of a request at most, the first included; a route may allow fewer.
inline constexpr int kMaxAttempts = 5;

/// The wait before the next attempt after `rejections` (from 0): exponential backoff with full jitter,
/// uniform between 0 and a bound that doubles with each rejection up to a cap.
Micros RetryBackoff(int rejections, Random& random);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_RETRY_BACKOFF_HPP_
