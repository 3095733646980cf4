// Limits retries, so that they cannot multiply the load of an overloaded backend. Pure logic: it uses no
// clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_

#include <deque>
#include <map>
#include <string>

#include "common/time.hpp"

namespace violetwing {

/// This sidecar's share of the retries that all sidecars together may send to a backend within a sliding
/// window: a ratio of its own requests plus an equal share of the slack. The slack is not used during the
/// first window after a start, as the amount spent before a restart is unknown. Times are steady clock times.
class RetryBudget {
 public:
  /// `ratio`: retries per request; `slack`: additional retries of all sidecars together; both within a window
  /// of `window_s` seconds.
  RetryBudget(double ratio, double slack, double window_s, Micros started_at)
      : ratio_(ratio), slack_(slack), window_(static_cast<Micros>(window_s * 1e6)), started_at_(started_at) {}

  /// Counts a new request to the backend.
  void OnRequest(const std::string& backend, Micros now);
  /// Spends one retry. Returns false and spends nothing if the budget is exhausted. `sidecars`: number of
  /// sidecars that share the slack.
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
