// Counts the requests that began to run, by tenant and window, for the reports to control processes. A core:
// it holds no clock, socket, file or thread.
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

/// Windows follow the true time of day as control processes tell it, not this machine's clock, which may
/// jump. Counts are reported as they rise, and all of a window once more after its end, as a report may be
/// lost with the process that took it. Times are in microseconds; `now` is of one steady clock. Not
/// thread-safe.
class UsageCounter {
 public:
  /// `reporter`: unique to this run of the sidecar. `window`: its length.
  UsageCounter(std::string reporter, Micros window) : reporter_(std::move(reporter)), window_(window) {}

  /// A control process has told the true time; its answer may have been on its way for a while.
  void OnTrueTime(Micros true_time, Micros now);
  /// A server has begun to run a request of a tenant, at `began_at`. Ignored until the true time is known.
  void Count(const std::string& tenant, Micros began_at);

  /// What is to be reported now; without a reporter if there is nothing. It counts as sent until OnFailed.
  UsageReport TakeReport(Micros now);
  /// A report did not reach a control process.
  void OnFailed(const UsageReport& report);

 private:
  using Key = std::pair<std::int64_t, std::string>;  // window, tenant

  void RepeatEndedWindows(std::int64_t current, Micros true_time);

  const std::string reporter_;
  const Micros window_;
  std::deque<Micros> offsets_;  // of the true time from the steady clock, by the latest answers
  std::optional<Micros> offset_;
  std::map<Key, std::uint64_t> counts_;
  std::set<Key> unreported_;
  std::set<std::int64_t> repeated_;  // ended windows that were reported once more
  Micros last_report_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_USAGE_USAGE_COUNTER_HPP_
