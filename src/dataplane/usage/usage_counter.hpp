// Counts requests that began to run, by tenant and time window, for usage reports to control processes.
// Sans-I/O: holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_USAGE_USAGE_COUNTER_HPP_
#define VIOLETWING_DATAPLANE_USAGE_USAGE_COUNTER_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "common/time.hpp"
#include "messages/usage.hpp"

namespace violetwing {

/// Windows follow the true time of day, which control processes send, not this machine's clock, which may
/// jump. Counts are cumulative: they are reported when they have changed, and all counts of a window once
/// more after its end, as a report may be lost with the control process that received it. Times are in
/// microseconds; `now` and `began_at` are on the steady clock. Not thread-safe.
class UsageCounter {
 public:
  /// `reporter`: a name that is unique to this run of the sidecar.
  UsageCounter(std::string reporter, Micros window_length)
      : reporter_(std::move(reporter)), window_length_(window_length) {}

  /// Records the true time from a control process's response, which may have been in transit for a while.
  void OnTrueTime(Micros true_time, Micros now);
  /// Counts a request of a tenant that a server began to run at `began_at`. Ignored until the true time is
  /// known.
  void Count(const std::string& tenant, Micros began_at);

  /// Takes the counts that are due for a report; its `reporter` is empty if there are none. The counts are
  /// taken as delivered unless OnFailed is called.
  UsageReport TakeReport(Micros now);
  /// Schedules the counts of a report that may not have reached a control process for another report.
  void OnFailed(const UsageReport& report);

 private:
  using Key = std::pair<std::int64_t, std::string>;  // window, tenant

  void ScheduleRepeats(std::int64_t current_window, Micros true_time);

  const std::string reporter_;
  const Micros window_length_;
  std::deque<Micros> offsets_;              // true time minus steady time, of the latest responses
  std::optional<Micros> true_time_offset_;  // the largest of `offsets_`
  std::map<Key, std::uint64_t> counts_;
  std::set<Key> unreported_;
  std::set<std::int64_t> repeated_windows_;  // those whose report after their end was scheduled
  Micros last_report_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_USAGE_USAGE_COUNTER_HPP_
