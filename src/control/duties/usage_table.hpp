// The usage counts of the sidecars, as known to one control process. They are soft state, which control
// processes replicate by gossip exchanges. Does no I/O, reads no clock and starts no threads.
#ifndef VIOLETWING_CONTROL_DUTIES_USAGE_TABLE_HPP_
#define VIOLETWING_CONTROL_DUTIES_USAGE_TABLE_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/duties/duty_table.hpp"
#include "messages/usage.hpp"

namespace violetwing::duties {

/// Counts by window, reporter and tenant. A merge keeps the higher count (a grow-only counter, Shapiro et al.
/// 2011, "A comprehensive study of convergent and commutative replicated data types"). Not thread-safe.
class UsageTable {
 public:
  /// Merges a report. Counts of forgotten windows are ignored.
  void Merge(const UsageReport& report);
  /// Removes the counts of `window` and all earlier windows, and ignores later reports on them.
  void ForgetUpTo(std::int64_t window);

  /// Returns the sum over all reporters, by tenant; empty if there are no counts.
  UsageCounts Totals(std::int64_t window) const;
  /// Returns the numbers of the windows with counts, in ascending order.
  std::vector<std::int64_t> Windows() const;
  /// Returns all counts, as one report for each reporter.
  std::vector<UsageReport> Reports() const;

 private:
  std::map<std::int64_t, std::map<std::string, UsageCounts>> counts_;  // by window, reporter, tenant
  // Highest forgotten window; -1 if there is none.
  std::int64_t forgotten_up_to_ = -1;
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_USAGE_TABLE_HPP_
