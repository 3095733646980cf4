// Whether, and after what wait, a request that a server has turned away is sent again, and what its client is
// told. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "common/random.hpp"
#include "common/time.hpp"

namespace violetwing {

// This sidecar's part of the repeats that all may send to a service. It spends the ratio of its own requests,
// and an even part of the slack, but none of that right after a start, when it does not know what it had
// spent before.
class RetryBudget {
 public:
  RetryBudget(double ratio, double slack, double window_s, Micros started_at)
      : ratio_(ratio), slack_(slack), window_(static_cast<Micros>(window_s * 1e6)), started_at_(started_at) {}

  void OnRequest(const std::string& backend, Micros now);
  // Takes one repeat from the budget if there is any left.
  bool Spend(const std::string& backend, int sidecars, Micros now);

 private:
  struct Use {
    std::deque<Micros> requests;
    std::deque<Micros> repeats;
  };
  void Forget(Use& use, Micros now) const;

  const double ratio_;
  const double slack_;
  const Micros window_;
  const Micros started_at_;
  std::map<std::string, Use> uses_;
};

// The wait after the n-th refusal (from 0): full jitter up to a bound that doubles.
Micros RetryBackoff(int refusals, Random& random);

// Attempts that the design allows, the first included.
inline constexpr int kMaxAttempts = 5;

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_RETRY_BUDGET_HPP_
