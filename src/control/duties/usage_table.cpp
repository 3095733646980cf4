#include "control/duties/usage_table.hpp"

#include <algorithm>

namespace violetwing::duties {

void UsageTable::Merge(const UsageReport& report) {
  for (const UsageCount& usage_count : report.counts) {
    if (usage_count.window <= forgotten_up_to_) continue;
    std::uint64_t& highest_count = counts_[usage_count.window][report.reporter][usage_count.tenant];
    highest_count = std::max(highest_count, usage_count.count);
  }
}

void UsageTable::ForgetUpTo(std::int64_t window) {
  forgotten_up_to_ = std::max(forgotten_up_to_, window);
  counts_.erase(counts_.begin(), counts_.upper_bound(forgotten_up_to_));
}

UsageCounts UsageTable::Totals(std::int64_t window) const {
  UsageCounts totals;
  const auto reporters = counts_.find(window);
  if (reporters == counts_.end()) return totals;
  for (const auto& [reporter, counts] : reporters->second)
    for (const auto& [tenant, count] : counts) totals[tenant] += count;
  return totals;
}

std::vector<std::int64_t> UsageTable::Windows() const {
  std::vector<std::int64_t> windows;
  windows.reserve(counts_.size());
  for (const auto& [window, reporters] : counts_) windows.push_back(window);
  return windows;
}

std::vector<UsageReport> UsageTable::Reports() const {
  std::map<std::string, UsageReport> reports;
  for (const auto& [window, reporters] : counts_)
    for (const auto& [reporter, counts] : reporters) {
      UsageReport& report = reports[reporter];
      report.reporter = reporter;
      for (const auto& [tenant, count] : counts) report.counts.push_back({window, tenant, count});
    }
  std::vector<UsageReport> result;
  result.reserve(reports.size());
  for (auto& [reporter, report] : reports) result.push_back(std::move(report));
  return result;
}

}  // namespace violetwing::duties
