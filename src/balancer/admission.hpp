// Admission control of the decision module: which requests are admitted under overload, and how outcomes
// adjust the admitted share and the concurrency limit.
#ifndef VIOLETWING_BALANCER_ADMISSION_HPP_
#define VIOLETWING_BALANCER_ADMISSION_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "balancer/records.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

class Admission {
 public:
  // Keeps references to both arguments, which must outlive it.
  Admission(const Settings& settings, Random& random);

  void CountArrival(Micros now, std::size_t request_class, std::optional<Micros> cost);
  // Counts the end of a request that arrived. `value_share` is the fraction of its value that its final
  // response earned.
  void CountCompletion(std::size_t request_class, double value_share);
  // This process takes over from a predecessor, which may still be serving requests.
  void SetTakeover() { takeover_ = true; }
  // Whether so many requests are open that clients may soon run out of connections.
  bool TooManyOpen(Micros now) const;
  // Whether a request of the class is admitted. A `late` one has exceeded its latency target already.
  bool Admits(const Pool& pool, std::size_t request_class, bool late);
  // The maximum number of attempts in flight to the pool's servers together.
  double ConcurrencyLimit(const Pool& pool) const;
  bool BelowLimit(const Pool& pool) const;
  // Ends the pool's measurement window when its time has passed. Called at each arrival.
  void UpdateWindow(Pool& pool, Micros now);
  // Whether a request of the class is worth the price of a server in another zone. Requests of the lowest
  // value are served in their own zone or rejected.
  bool WorthCrossZone(std::size_t request_class) const;
  // Adjusts the pool's admitted share and the class's latencies by the outcome of an attempt.
  void RecordOutcome(Pool& pool, std::size_t request_class, const Outcome& outcome, Micros since_arrival,
                     const Server& server);

 private:
  // Recently arrived work whose value per unit of work exceeds `value`.
  double ArrivingWork(double value) const;
  // The response time above which the admitted share falls.
  double TargetLatency(std::size_t request_class) const;
  void UpdateLatency(std::size_t request_class, double elapsed, bool all_admitted);
  double RequestValue(std::size_t request_class) const;
  // The gain of the result for a unit of the class's work.
  double ValuePerWork(std::size_t request_class) const;

  const Settings& settings_;
  Random& random_;
  std::vector<ClassLoad> class_load_;  // by class
  std::size_t worst_class_ = 0;        // the class with the lowest served share
  Micros window_ = 1000 * 1000;        // measurement window: the shortest latency target, 1 s at most
  double arrival_count_ = 0;           // arrivals that mean_value_ is averaged over
  double mean_value_ = 0;              // of the arriving requests
  std::size_t open_requests_ = 0;      // requests without a final response
  Micros first_arrival_ = 0;           // 0 = none yet
  bool takeover_ = false;
  bool has_cost_hints_ = false;  // requests state their expected work
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_ADMISSION_HPP_
