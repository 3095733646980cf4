// Number of attempts of a request, and the backoff between them. Pure logic: it uses no clock, socket, file
// or thread.
#ifndef VIOLETWING_DATAPLANE_ROUTING_RETRY_BACKOFF_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_RETRY_BACKOFF_HPP_

#include "common/random.hpp"
#include "common/time.hpp"

namespace violetwing {

/// Maximum number of attempts of a request, including the first; a route may allow fewer.
inline constexpr int kMaxAttempts = 5;

/// Backoff before the next attempt after `rejections` (at least 0) rejected ones: exponential with full
/// jitter, uniform between 0 and a bound that doubles with each rejection up to a cap.
Micros RetryBackoff(int rejections, Random& random);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_RETRY_BACKOFF_HPP_
