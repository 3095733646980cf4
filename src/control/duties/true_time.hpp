// Estimates the true time of day from the clocks of several machines, any of which may jump by seconds. A
// core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_DUTIES_TRUE_TIME_HPP_
#define VIOLETWING_CONTROL_DUTIES_TRUE_TIME_HPP_

#include <map>
#include <optional>
#include <string>

#include "common/time.hpp"

namespace violetwing::duties {

/// The median of this machine's clock and those of its peers, as offsets from the steady clock of this
/// process: clocks that have jumped do not move it as long as they are fewer than half. `now` and `asked_at`
/// are of the steady clock, `time_of_day` is since the start of 1970, all in microseconds.
class TrueTime {
 public:
  /// This machine's clock shows `time_of_day` now.
  void OnOwnClock(Micros time_of_day, Micros now) { own_offset_ = time_of_day - now; }
  /// The clock of `peer` showed `time_of_day` while it answered a call that began at `asked_at`.
  void OnPeerClock(const std::string& peer, Micros time_of_day, Micros asked_at, Micros now);
  /// This machine's own clock; empty before the first reading.
  std::optional<Micros> OwnClockAt(Micros now) const {
    return own_offset_ ? std::optional(now + *own_offset_) : std::nullopt;
  }
  /// The time of day now; empty before the first reading of this machine's clock.
  std::optional<Micros> At(Micros now) const;

 private:
  struct Reading {
    Micros offset = 0;
    Micros read_at = 0;
  };
  std::optional<Micros> own_offset_;
  std::map<std::string, Reading> peers_;  // by name
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_TRUE_TIME_HPP_
