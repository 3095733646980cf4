#include "dataplane/usage/usage_counter.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// Answers from which the true time is taken: the one that was on its way for the shortest time is the best.
constexpr std::size_t kOffsets = 16;
// Rising counts are reported at this interval: what a sidecar that is killed has not reported is lost.
constexpr Micros kReportInterval = 800'000;
// A window is reported once more so long after its end, with the counts of answers that came late.
constexpr Micros kRepeatAfter = 1'500'000;
// Windows that are kept; reports are decided on within the length of a few.
constexpr std::int64_t kKeptWindows = 12;

}  // namespace

void UsageCounter::OnTrueTime(Micros true_time, Micros now) {
  offsets_.push_back(true_time - now);
  if (offsets_.size() > kOffsets) offsets_.pop_front();
  offset_ = *std::max_element(offsets_.begin(), offsets_.end());
}

void UsageCounter::Count(const std::string& tenant, Micros began_at) {
  if (!offset_) return;
  const Key key{(began_at + *offset_) / window_, tenant};
  ++counts_[key];
  unreported_.insert(key);
}

void UsageCounter::RepeatEndedWindows(std::int64_t current, Micros true_time) {
  for (const auto& [key, count] : counts_) {
    const std::int64_t window = key.first;
    const bool due = window < current && true_time >= (window + 1) * window_ + kRepeatAfter;
    if (due && repeated_.count(window) == 0) unreported_.insert(key);
  }
  for (const auto& [key, count] : counts_)
    if (true_time >= (key.first + 1) * window_ + kRepeatAfter) repeated_.insert(key.first);
}

UsageReport UsageCounter::TakeReport(Micros now) {
  if (!offset_ || now - last_report_at_ < kReportInterval) return {};
  last_report_at_ = now;
  const Micros true_time = now + *offset_;
  const std::int64_t current = true_time / window_;
  RepeatEndedWindows(current, true_time);
  const std::int64_t oldest = current - kKeptWindows;
  counts_.erase(counts_.begin(), counts_.lower_bound({oldest, {}}));
  unreported_.erase(unreported_.begin(), unreported_.lower_bound({oldest, {}}));
  repeated_.erase(repeated_.begin(), repeated_.lower_bound(oldest));
  if (unreported_.empty()) return {};
  UsageReport report{reporter_, {}};
  for (const Key& key : unreported_) report.counts.push_back({key.first, key.second, counts_[key]});
  unreported_.clear();
  return report;
}

void UsageCounter::OnFailed(const UsageReport& report) {
  for (const UsageCount& one : report.counts)
    if (counts_.count({one.window, one.tenant}) > 0) unreported_.insert({one.window, one.tenant});
}

}  // namespace violetwing
