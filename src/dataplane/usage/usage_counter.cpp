#include "dataplane/usage/usage_counter.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// Number of latest responses from which the true time is estimated; the one with the shortest transit time,
// and therefore the largest offset, is the most accurate.
constexpr std::size_t kMaxOffsets = 16;
// Minimum interval between reports. Counts that a sidecar has not reported are lost if it is killed.
constexpr Micros kReportInterval = 800'000;
// Delay from the end of a window until its counts are reported once more, including those of late responses.
constexpr Micros kRepeatDelay = 1'500'000;
// Number of windows that are retained. Control processes settle the usage of a window within the length of a
// few.
constexpr std::int64_t kRetainedWindows = 12;

}  // namespace

void UsageCounter::OnTrueTime(Micros true_time, Micros now) {
  offsets_.push_back(true_time - now);
  if (offsets_.size() > kMaxOffsets) offsets_.pop_front();
  true_time_offset_ = *std::max_element(offsets_.begin(), offsets_.end());
}

void UsageCounter::Count(const std::string& tenant, Micros began_at) {
  if (!true_time_offset_) return;
  const Key key{(began_at + *true_time_offset_) / window_length_, tenant};
  ++counts_[key];
  unreported_.insert(key);
}

void UsageCounter::ScheduleRepeats(std::int64_t current_window, Micros true_time) {
  for (const auto& [key, count] : counts_) {
    const std::int64_t window = key.first;
    const bool due = window < current_window && true_time >= (window + 1) * window_length_ + kRepeatDelay;
    if (due && repeated_windows_.count(window) == 0) unreported_.insert(key);
  }
  for (const auto& [key, count] : counts_)
    if (true_time >= (key.first + 1) * window_length_ + kRepeatDelay) repeated_windows_.insert(key.first);
}

UsageReport UsageCounter::TakeReport(Micros now) {
  if (!true_time_offset_ || now - last_report_at_ < kReportInterval) return {};
  last_report_at_ = now;
  const Micros true_time = now + *true_time_offset_;
  const std::int64_t current_window = true_time / window_length_;
  ScheduleRepeats(current_window, true_time);
  const std::int64_t oldest_window = current_window - kRetainedWindows;
  counts_.erase(counts_.begin(), counts_.lower_bound({oldest_window, {}}));
  unreported_.erase(unreported_.begin(), unreported_.lower_bound({oldest_window, {}}));
  repeated_windows_.erase(repeated_windows_.begin(), repeated_windows_.lower_bound(oldest_window));
  if (unreported_.empty()) return {};
  UsageReport report{reporter_, {}};
  for (const Key& key : unreported_) report.counts.push_back({key.first, key.second, counts_[key]});
  unreported_.clear();
  return report;
}

void UsageCounter::OnFailed(const UsageReport& report) {
  for (const UsageCount& usage : report.counts)
    if (counts_.count({usage.window, usage.tenant}) > 0) unreported_.insert({usage.window, usage.tenant});
}

}  // namespace violetwing
