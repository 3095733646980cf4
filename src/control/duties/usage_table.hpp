// What sidecars have counted, as known to one control process: soft state that all control processes share by
// exchanges. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_DUTIES_USAGE_TABLE_HPP_
#define VIOLETWING_CONTROL_DUTIES_USAGE_TABLE_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control/duties/duty_table.hpp"
#include "messages/usage.hpp"

namespace violetwing::duties {

/// Counts by window, reporter and tenant, of which the highest holds (a grow-only counter, Shapiro et al.
/// 2011, "A comprehensive study of convergent and commutative replicated data types"). Not thread-safe.
class UsageTable {
 public:
  /// Merges a report. Counts of windows that were forgotten are ignored.
  void Merge(const UsageReport& report);
  /// Forgets a window and all before it.
  void ForgetUpTo(std::int64_t window);

  /// The sum over all reporters, by tenant; empty if there is none.
  UsageCounts Totals(std::int64_t window) const;
  /// The numbers of the windows with counts, in rising order.
  std::vector<std::int64_t> Windows() const;
  /// All that is known, one report for each reporter.
  std::vector<UsageReport> Reports() const;

 private:
  std::map<std::int64_t, std::map<std::string, UsageCounts>> counts_;  // by window, reporter, tenant
  std::int64_t forgotten_up_to_ = -1;
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_USAGE_TABLE_HPP_
