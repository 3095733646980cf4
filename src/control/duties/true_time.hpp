// Estimates the true time of day from the clocks of several machines, any of which may jump by seconds.
// Does no I/O, reads no clock and starts no threads.
#ifndef VIOLETWING_CONTROL_DUTIES_TRUE_TIME_HPP_
#define VIOLETWING_CONTROL_DUTIES_TRUE_TIME_HPP_

#include <map>
#include <optional>
#include <string>

#include "common/time.hpp"

namespace violetwing::duties {

/// The median of this machine's clock and those of its peers, computed on offsets from the steady clock of
/// this process. Clocks that have jumped do not affect it as long as they are fewer than half. `now` and
/// `requested_at` are readings of the steady clock, and `time_of_day` is the time since the start of 1970,
/// all in microseconds. Not thread-safe.
class TrueTime {
 public:
  /// Records that this machine's clock shows `time_of_day` now.
  void OnOwnClock(Micros time_of_day, Micros now) { own_offset_ = time_of_day - now; }
  /// Records that the clock of `peer` showed `time_of_day` while it answered a call that was sent at
  /// `requested_at`.
  void OnPeerClock(const std::string& peer, Micros time_of_day, Micros requested_at, Micros now);
  /// Returns the time of day by this machine's own clock; empty before its first reading.
  std::optional<Micros> OwnClockAt(Micros now) const {
    return own_offset_ ? std::optional(now + *own_offset_) : std::nullopt;
  }
  /// Returns the estimated time of day; empty before the first reading of this machine's clock.
  std::optional<Micros> At(Micros now) const;

 private:
  struct Reading {
    Micros offset = 0;  // of the time of day from the steady clock
    Micros read_at = 0;
  };
  std::optional<Micros> own_offset_;
  std::map<std::string, Reading> peers_;  // latest reading by name of the peer
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_TRUE_TIME_HPP_
