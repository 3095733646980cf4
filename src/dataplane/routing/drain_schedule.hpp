// The stages of a sidecar's graceful shutdown, and which attempts may still begin in them.
#ifndef VIOLETWING_DATAPLANE_ROUTING_DRAIN_SCHEDULE_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_DRAIN_SCHEDULE_HPP_

#include <chrono>

namespace violetwing {

/// Points in time of a graceful shutdown, in ascending order. Immutable once made by Make.
struct DrainSchedule {
  using TimePoint = std::chrono::steady_clock::time_point;

  TimePoint unready_noticed;  ///< the platform sends no new connections from here on
  TimePoint last_attempt;     ///< requests that have not been sent to a server by then are rejected
  TimePoint requests_end;     ///< all requests are answered or cut off, so that responses can still be sent
  TimePoint exit;             ///< the process exits

  /// The schedule of a shutdown that begins at `now`, for a platform that kills the process after `grace`.
  static DrainSchedule Make(TimePoint now, std::chrono::milliseconds grace);

  /// Whether an attempt of a request may begin at `now`. Its response would not be complete before
  /// requests_end if it came too late for that; its client can still be served elsewhere. `arrived`: when the
  /// request was read completely. `deadline`: when it ends in any case.
  bool MayBeginAttempt(TimePoint arrived, TimePoint deadline, TimePoint now) const {
    return deadline <= requests_end || (arrived <= unready_noticed && now < last_attempt);
  }
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_DRAIN_SCHEDULE_HPP_
