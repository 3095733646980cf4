#include "control/duties/usage_reporter.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace violetwing::duties {
namespace {

constexpr const char* kUsagePath = "/usage";
// Fraction of the delay until a report is due that is reserved for the last counts of sidecars. The rest is
// left for the report itself, a change of the lease holder and an outage of the platform.
constexpr double kCollectionFraction = 0.35;
// A command that was not applied is submitted again after this time.
constexpr Micros kSubmitInterval = 500'000;
// Counts of a window without a decided report are kept for this many windows after that report was due.
constexpr std::int64_t kMaxOverdueWindows = 12;

PlatformCall MakeReportCall(std::int64_t window, const UsageCounts& counts, FencingToken token) {
  return {Duty::kUsage, std::to_string(window), kUsagePath,
          nlohmann::json{{"window", window}, {"counts", counts}}.dump(), token};
}

}  // namespace

UsageReporter::UsageReporter(Settings settings, std::uint64_t seed, Outputs outputs)
    : settings_(settings), outputs_(std::move(outputs)), random_(seed) {}

void UsageReporter::Tick(FencingToken token, const DutyTable& table, const UsageTable& counts,
                         Micros true_time, Micros now) {
  SubmitNextDecision(table, counts, true_time, now);
  SendNextReport(token, table, now);
}

void UsageReporter::PruneCounts(const DutyTable& table, UsageTable& counts, Micros true_time) {
  for (const std::int64_t window : counts.Windows()) {
    if (!table.IsRecorded(window)) break;
    counts.ForgetUpTo(window);
  }
  const std::int64_t first_window_not_due = (true_time - settings_.report_delay) / settings_.window_length;
  counts.ForgetUpTo(first_window_not_due - kMaxOverdueWindows);
  delivered_.erase(delivered_.begin(), delivered_.lower_bound(first_window_not_due - kMaxOverdueWindows));
}

void UsageReporter::SubmitNextDecision(const DutyTable& table, const UsageTable& counts, Micros true_time,
                                       Micros now) {
  if (submitted_at_ != 0 && now - submitted_at_ < kSubmitInterval) return;
  const auto collection_time =
      static_cast<Micros>(static_cast<double>(settings_.report_delay) * kCollectionFraction);
  for (const std::int64_t window : counts.Windows()) {
    const Micros complete_at = (window + 1) * settings_.window_length + collection_time;
    if (true_time < complete_at) return;
    if (table.IsRecorded(window)) continue;
    submitted_at_ = now;
    outputs_.record({window, counts.Totals(window)});
    return;
  }
}

void UsageReporter::SendNextReport(FencingToken token, const DutyTable& table, Micros now) {
  if (in_flight_ || !retry_timer_.IsDue(now)) return;
  for (const auto& [number, window] : table.usage()) {
    if (window.delivered || delivered_.count(number) > 0) continue;
    in_flight_ = true;
    outputs_.call(MakeReportCall(number, window.counts, token));
    return;
  }
}

void UsageReporter::OnAnswered(std::int64_t window, PlatformAnswer answer, Micros now) {
  in_flight_ = false;
  if (answer == PlatformAnswer::kRetry) return retry_timer_.OnFailed(random_, now);
  retry_timer_.OnSucceeded();
  delivered_.insert(window);
  outputs_.delivered({window});
}

}  // namespace violetwing::duties
