// The duty of reporting usage: one report for each window, with the same counts however often it is sent. A
// core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_DUTIES_USAGE_REPORTER_HPP_
#define VIOLETWING_CONTROL_DUTIES_USAGE_REPORTER_HPP_

#include <cstdint>
#include <functional>
#include <set>

#include "common/random.hpp"
#include "common/time.hpp"
#include "control/duties/duty_table.hpp"
#include "control/duties/platform_call.hpp"
#include "control/duties/retry_timer.hpp"
#include "control/duties/usage_table.hpp"

namespace violetwing::duties {

/// What to report for a window is decided in the log of the configuration's shard (RecordUsage) before it is
/// sent for the first time, so that a successor sends the same, whatever its own counts are. Not thread-safe.
class UsageReporter {
 public:
  /// `window`: its length. `delay`: from its end until the report is due.
  struct Settings {
    Micros window = 0;
    Micros delay = 0;
  };
  /// Submitted commands may be lost. `call` has to be followed by OnAnswered.
  struct Outputs {
    std::function<void(const RecordUsage&)> record;
    std::function<void(const UsageDelivered&)> delivered;
    std::function<void(const PlatformCall&)> call;
  };

  /// `seed`: of the waits between repeated calls.
  UsageReporter(Settings settings, std::uint64_t seed, Outputs outputs);

  /// Decides on the reports of windows whose counts are complete, and sends the oldest that was not
  /// delivered. `true_time`: the time of day; `now`: of the steady clock, like all other times. To be called
  /// at short intervals, with the token of the duty's lease while this process holds it.
  void Tick(FencingToken token, const DutyTable& table, const UsageTable& counts, Micros true_time,
            Micros now);
  /// Forgets counts that no report will need any more. To be called at short intervals by every process.
  void PruneCounts(const DutyTable& table, UsageTable& counts, Micros true_time);
  /// The call for `window` has ended.
  void OnAnswered(std::int64_t window, PlatformAnswer answer, Micros now);

 private:
  void Record(const DutyTable& table, const UsageTable& counts, Micros true_time, Micros now);
  void Send(FencingToken token, const DutyTable& table, Micros now);

  const Settings settings_;
  const Outputs outputs_;
  Random random_;
  RetryTimer retry_timer_;
  Micros submitted_at_ = 0;           // the latest command; 0: none
  bool in_flight_ = false;            // a call to the platform
  std::set<std::int64_t> delivered_;  // windows whose reports were acknowledged to this process
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_USAGE_REPORTER_HPP_
