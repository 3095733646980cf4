// A budget for retries, so that they cannot multiply the load of an overloaded backend. A core: it holds no
// clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_

#include <deque>
#include <map>
#include <string>

#include "common/time.hpp"

namespace violetwing {

/// This sidecar's part of the retries that all sidecars may send to a backend within a sliding window: a
/// ratio of its own requests, and an even part of the slack. For the first window after the start it spends
/// none of the slack, as it does not know what it had spent before. Times are of the steady clock.
class RetryBudget {
 public:
  /// `ratio`: retries for each request; `slack`: retries of all sidecars together, in a window of `window_s`
  /// seconds.
  RetryBudget(double ratio, double slack, double window_s, Micros started_at)
      : ratio_(ratio), slack_(slack), window_(static_cast<Micros>(window_s * 1e6)), started_at_(started_at) {}

  /// A request to the backend began.
  void OnRequest(const std::string& backend, Micros now);
  /// Spends one retry; false, and nothing is spent, if the budget has none left. `sidecars`: how many share
  /// the slack.
  bool TrySpend(const std::string& backend, int sidecars, Micros now);

 private:
  struct Usage {
    std::deque<Micros> requests;
    std::deque<Micros> retries;
  };
  void RemoveExpired(Usage& usage, Micros now) const;

  const double ratio_;
  const double slack_;
  const Micros window_;
  const Micros started_at_;
  std::map<std::string, Usage> usages_;  // by backend
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_
