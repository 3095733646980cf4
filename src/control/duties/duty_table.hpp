// The replicated state of the duties: who holds which lease, and which usage reports were decided. It lives
// in the log of the configuration's shard, so that it outlives every process and disk that the system may
// lose.
#ifndef VIOLETWING_CONTROL_DUTIES_DUTY_TABLE_HPP_
#define VIOLETWING_CONTROL_DUTIES_DUTY_TABLE_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "control/duties/duty.hpp"

namespace violetwing::duties {

/// A lease as it was granted last. It has no end: another process takes it over once it leads the shard.
struct Lease {
  std::string holder;  ///< name of the node
  FencingToken token = 0;
};

/// Requests that began to run, by tenant.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Command: grants the lease of a duty to `holder` if its token is still `expected_token`. A holder that has
/// it already keeps its token; another one gets a higher token, of at least `minimum_token`.
struct AcquireLease {
  std::string duty;  ///< Name(Duty)
  std::string holder;
  FencingToken expected_token = 0;  ///< 0: the lease was never granted
  FencingToken minimum_token = 0;
};

/// Command: decides what is reported for a window. The first decision stands.
struct RecordUsage {
  std::int64_t window = 0;
  UsageCounts counts;
};

/// Command: the platform has acknowledged the report for a window.
struct UsageDelivered {
  std::int64_t window = 0;
};

/// The report for one window.
struct UsageWindow {
  UsageCounts counts;
  bool delivered = false;
};

/// Commands are applied in the order of the log and have the same outcome on every replica. Not thread-safe.
class DutyTable {
 public:
  /// Each applies one committed command.
  void Apply(const AcquireLease& command);
  void Apply(const RecordUsage& command);
  void Apply(const UsageDelivered& command);

  /// Null if the lease was never granted.
  const Lease* Find(Duty duty) const;
  /// The reports that were decided, by window; the oldest are forgotten.
  const std::map<std::int64_t, UsageWindow>& usage() const { return usage_; }
  /// Whether the report for a window was decided, or is so old that it may have been.
  bool IsRecorded(std::int64_t window) const {
    return window <= forgotten_up_to_ || usage_.count(window) > 0;
  }

  /// The state, for a snapshot.
  nlohmann::json Save() const;
  /// Restores a saved state. Throws nlohmann::json::exception if it is not one; the state is then
  /// unspecified.
  void Load(const nlohmann::json& saved);

 private:
  std::map<std::string, Lease> leases_;  // by the duty's name
  std::map<std::int64_t, UsageWindow> usage_;
  std::int64_t forgotten_up_to_ = -1;  // window
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_DUTY_TABLE_HPP_
