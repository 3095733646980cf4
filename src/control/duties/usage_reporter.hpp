// The usage reporting duty: one report for each window, with the same counts every time that it is sent.
// Does no I/O, reads no clock and starts no threads.
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

/// The counts to report for a window are decided in the log of the configuration shard (RecordUsage) before
/// the report is first sent, so that a new holder sends the same report even if its own counts differ.
/// Not thread-safe.
class UsageReporter {
 public:
  /// Timing of the reports.
  struct Settings {
    Micros window_length = 0;
    Micros report_delay = 0;  ///< from the end of a window until its report is due
  };
  /// Callbacks that submit commands, which may be lost, and call the platform. Each `call` must be followed
  /// by OnAnswered.
  struct Outputs {
    std::function<void(const RecordUsage&)> record;
    std::function<void(const UsageDelivered&)> delivered;
    std::function<void(const PlatformCall&)> call;
  };

  /// `seed`: for the random delays between retries.
  UsageReporter(Settings settings, std::uint64_t seed, Outputs outputs);

  /// Submits decisions on the reports of windows whose counts are complete, and sends the oldest report that
  /// was not delivered. `true_time` is the time of day; `now` and all other times are of the steady clock.
  /// Must be called at short intervals while this process holds the duty's lease, with the token of that
  /// lease.
  void Tick(FencingToken token, const DutyTable& table, const UsageTable& counts, Micros true_time,
            Micros now);
  /// Removes counts that no report will need anymore. Must be called at short intervals by every process.
  void PruneCounts(const DutyTable& table, UsageTable& counts, Micros true_time);
  /// Handles the outcome of the call for `window`. A rejected report counts as delivered: it is not sent
  /// again.
  void OnAnswered(std::int64_t window, PlatformAnswer answer, Micros now);

 private:
  void SubmitNextDecision(const DutyTable& table, const UsageTable& counts, Micros true_time, Micros now);
  void SendNextReport(FencingToken token, const DutyTable& table, Micros now);

  const Settings settings_;
  const Outputs outputs_;
  Random random_;
  RetryTimer retry_timer_;
  Micros submitted_at_ = 0;           // time of the latest RecordUsage command; 0 if there is none
  bool in_flight_ = false;            // whether a call to the platform is in flight
  std::set<std::int64_t> delivered_;  // windows whose calls ended with a final answer to this process
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_USAGE_REPORTER_HPP_
