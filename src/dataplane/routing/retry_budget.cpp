#include "dataplane/routing/retry_budget.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// Below the service's own base: aims are a third of a second here, and a repeat that waits longer is late.
constexpr Micros kBase = 60'000;
constexpr Micros kCap = 2'000'000;
// What is left unspent, as windows slide and requests of other sidecars are counted by the server's clock.
constexpr double kMargin = 0.8;

}  // namespace

Micros RetryBackoff(int refusals, Random& random) {
  const Micros bound = std::min(kCap, kBase << std::min(refusals, 10));
  return static_cast<Micros>(random.Below(static_cast<std::uint64_t>(bound) + 1));
}

void RetryBudget::Forget(Use& use, Micros now) const {
  while (!use.requests.empty() && use.requests.front() < now - window_) use.requests.pop_front();
  while (!use.repeats.empty() && use.repeats.front() < now - window_) use.repeats.pop_front();
}

void RetryBudget::OnRequest(const std::string& backend, Micros now) {
  Use& use = uses_[backend];
  use.requests.push_back(now);
  Forget(use, now);
}

bool RetryBudget::Spend(const std::string& backend, int sidecars, Micros now) {
  Use& use = uses_[backend];
  Forget(use, now);
  const double slack = now - started_at_ < window_ ? 0 : slack_ / std::max(sidecars, 1);
  const double most = kMargin * (ratio_ * static_cast<double>(use.requests.size()) + slack);
  if (static_cast<double>(use.repeats.size()) + 1 > most) return false;
  use.repeats.push_back(now);
  return true;
}

}  // namespace violetwing
