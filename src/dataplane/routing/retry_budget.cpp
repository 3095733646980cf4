#include "dataplane/routing/retry_budget.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// Fraction of the budget that is used: the backend counts the requests of all sidecars in a sliding window of
// its own clock, which is not aligned with the window of this sidecar.
constexpr double kUsableFraction = 0.8;

}  // namespace

void RetryBudget::RemoveExpired(Usage& usage, Micros now) const {
  const Micros oldest = now - window_;
  while (!usage.requests.empty() && usage.requests.front() < oldest) usage.requests.pop_front();
  while (!usage.retries.empty() && usage.retries.front() < oldest) usage.retries.pop_front();
}

void RetryBudget::OnRequest(const std::string& backend, Micros now) {
  Usage& usage = usages_[backend];
  usage.requests.push_back(now);
  RemoveExpired(usage, now);
}

bool RetryBudget::TrySpend(const std::string& backend, int sidecars, Micros now) {
  Usage& usage = usages_[backend];
  RemoveExpired(usage, now);
  const double slack = now - started_at_ < window_ ? 0 : slack_ / std::max(sidecars, 1);
  const double max_retries = kUsableFraction * (ratio_ * static_cast<double>(usage.requests.size()) + slack);
  if (static_cast<double>(usage.retries.size()) + 1 > max_retries) return false;
  usage.retries.push_back(now);
  return true;
}

}  // namespace violetwing
