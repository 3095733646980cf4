#include "control/duties/usage_reporter.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace violetwing::duties {
namespace {

constexpr const char* kUsagePath = "/usage";
// Part of the time until a report is due that is left to sidecars for their last counts; the rest is for the
// report itself, a change of the holder and an outage of the platform.
constexpr double kCollectingShare = 0.35;
// Commands that were not applied are submitted again.
constexpr Micros kSubmitInterval = 500'000;
// Counts that nobody has decided on are kept for so many windows after theirs was due.
constexpr std::int64_t kKeptWindows = 12;

PlatformCall ReportFor(std::int64_t window, const UsageCounts& counts, FencingToken token) {
  return {Duty::kUsage, std::to_string(window), kUsagePath,
          nlohmann::json{{"window", window}, {"counts", counts}}.dump(), token};
}

}  // namespace

UsageReporter::UsageReporter(Settings settings, std::uint64_t seed, Outputs outputs)
    : settings_(settings), outputs_(std::move(outputs)), random_(seed) {}

void UsageReporter::Tick(FencingToken token, const DutyTable& table, const UsageTable& counts,
                         Micros true_time, Micros now) {
  Record(table, counts, true_time, now);
  Send(token, table, now);
}

void UsageReporter::PruneCounts(const DutyTable& table, UsageTable& counts, Micros true_time) {
  for (const std::int64_t window : counts.Windows()) {
    if (!table.IsRecorded(window)) break;
    counts.ForgetUpTo(window);
  }
  const std::int64_t due = (true_time - settings_.delay) / settings_.window;
  counts.ForgetUpTo(due - kKeptWindows);
  delivered_.erase(delivered_.begin(), delivered_.lower_bound(due - kKeptWindows));
}

void UsageReporter::Record(const DutyTable& table, const UsageTable& counts, Micros true_time, Micros now) {
  if (submitted_at_ != 0 && now - submitted_at_ < kSubmitInterval) return;
  const auto collecting = static_cast<Micros>(static_cast<double>(settings_.delay) * kCollectingShare);
  for (const std::int64_t window : counts.Windows()) {
    const Micros complete_at = (window + 1) * settings_.window + collecting;
    if (true_time < complete_at) return;
    if (table.IsRecorded(window)) continue;
    submitted_at_ = now;
    outputs_.record({window, counts.Totals(window)});
    return;
  }
}

void UsageReporter::Send(FencingToken token, const DutyTable& table, Micros now) {
  if (in_flight_ || !retry_timer_.IsDue(now)) return;
  for (const auto& [number, window] : table.usage()) {
    if (window.delivered || delivered_.count(number) > 0) continue;
    in_flight_ = true;
    outputs_.call(ReportFor(number, window.counts, token));
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
