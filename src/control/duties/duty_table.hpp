// The replicated state of the duties: the holder of each lease, and the usage reports that were decided. It
// is stored in the log of the configuration shard, so that it survives every loss of processes and disks that
// the system tolerates.
#ifndef VIOLETWING_CONTROL_DUTIES_DUTY_TABLE_HPP_
#define VIOLETWING_CONTROL_DUTIES_DUTY_TABLE_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "control/duties/duty.hpp"

namespace violetwing::duties {

/// The latest grant of a lease. It does not expire: another process takes the lease over once it leads the
/// shard.
struct Lease {
  std::string holder;  ///< name of the node that holds it
  FencingToken token = 0;
};

/// Number of requests that started to run, by tenant.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Command: grants the lease of a duty to `holder` if its token is still `expected_token`. If `holder`
/// already has the lease, the token stays the same; a new holder gets a higher token, of at least
/// `minimum_token`.
struct AcquireLease {
  std::string duty;  ///< Name(Duty)
  std::string holder;
  FencingToken expected_token = 0;  ///< 0 if the lease was never granted
  FencingToken minimum_token = 0;
};

/// Command: decides the counts to report for a window. Only the first decision for a window takes effect.
struct RecordUsage {
  std::int64_t window = 0;
  UsageCounts counts;
};

/// Command: records that the platform has accepted or finally rejected the report for a window.
struct UsageDelivered {
  std::int64_t window = 0;
};

/// The usage report for one window.
struct UsageWindow {
  UsageCounts counts;
  bool delivered = false;
};

/// The state machine of the duties. Commands are applied in log order and have the same effect on every
/// replica. Not thread-safe.
class DutyTable {
 public:
  /// Applies one committed command. Names that are not UTF-8 have no effect: no node and no tenant of a
  /// configuration has such a name, and neither snapshots nor reports can represent them.
  void Apply(const AcquireLease& command);
  void Apply(const RecordUsage& command);
  void Apply(const UsageDelivered& command);

  /// Returns the lease of a duty; null if it was never granted.
  const Lease* Find(Duty duty) const;
  /// The decided reports by window. The oldest ones are dropped.
  const std::map<std::int64_t, UsageWindow>& usage() const { return usage_; }
  /// Whether the report for a window was decided, or the window is so old that its report may have been
  /// decided.
  bool IsRecorded(std::int64_t window) const {
    return window <= forgotten_up_to_ || usage_.count(window) > 0;
  }

  /// Returns the state for a snapshot.
  nlohmann::json Save() const;
  /// Restores a saved state. Throws nlohmann::json::exception if `saved` is malformed; the state is then
  /// unspecified.
  void Load(const nlohmann::json& saved);

 private:
  std::map<std::string, Lease> leases_;  // by name of the duty
  std::map<std::int64_t, UsageWindow> usage_;
  std::int64_t forgotten_up_to_ = -1;  // highest window that is no longer kept
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_DUTY_TABLE_HPP_
