// Plain data types of the decision module, and its random number generator.
#ifndef VIOLETWING_BALANCER_RECORDS_HPP_
#define VIOLETWING_BALANCER_RECORDS_HPP_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

// Whether a result proves that the attempt never ran. Some servers also reject requests that they had
// started; a rejection by them proves nothing.
inline bool ProvesNeverRan(Result result, bool rejected_may_have_run) {
  return (result == Result::kRejected && !rejected_may_have_run) || result == Result::kUnreachable ||
         result == Result::kNeverSent || result == Result::kNoDescriptor;
}

// Lower bound of each concurrency limit. With 1, a single expensive request would block a server or a window
// for all others.
constexpr double kMinConcurrency = 2;

struct Server {
  ServerInfo info;
  std::size_t pool = 0;
  bool listed = false;
  int in_flight = 0;                   // attempts of this sidecar in flight
  int idle_in_flight = 0;              // the part of in_flight that waits for slow clients and uses no CPU
  double slowness = 1;                 // mean response time relative to the mean of the request's class
  std::vector<double> rejected_share;  // by class: share of its recent requests that it rejected
  double error_share = 0;              // share of all recent requests that it answered with an error
  int consecutive_failures = 0;        // ejections since its last timely response
  Micros ejected_until = 0;            // no attempts until then; after that, one trial attempt at a time
  double slow_start_credit = 0;        // sends that it may still get in slow start
  std::int64_t successes_at_last_credit = 0;  // of warm servers, when the credit was last computed

  int ActiveInFlight() const { return in_flight - idle_in_flight; }

  // Own attempts in flight, weighted by the server's response time. The counts alone neither detect a server
  // that is slow but does respond, nor distinguish between idle servers.
  double LoadScore() const { return (ActiveInFlight() + 1) * slowness; }

  // Drops the observations of the previous process, as they say nothing about the one that replaces it.
  void ResetHistory() {
    slowness = 1;
    rejected_share.clear();
    error_share = 0;
    consecutive_failures = 0;
    ejected_until = 0;
  }
};

// The fraction of its full capacity that a server has at least: it grows linearly from cold_share to 1 over
// the warm-up.
inline double CapacityShareOf(const ServerInfo& info, const Settings& settings, Micros now) {
  const Micros age = now - info.started;
  if (info.started == 0 || age >= settings.warm_after) return 1;
  const double grown =
      static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(settings.warm_after);
  return settings.cold_share + (1 - settings.cold_share) * grown;
}

// Servers that share a ring, and the statistics of this sidecar for them together. There are two pools, own
// zone and other zones, if crossing zones has a price; otherwise all servers are in one pool.
struct Pool {
  std::vector<Server*> ring;      // usable servers, by id
  std::size_t window_offset = 0;  // ring index at which the window begins
  // Sidecars whose windows contain a server, on average and at the minimum width.
  std::size_t sidecars_per_server = 1;
  int in_flight = 0;          // own attempts for which CountsAsLoad() holds
  double peak_in_flight = 0;  // decaying peak of in_flight
  double admitted_share = 1;  // fraction of the arriving work that is admitted; above 1 = reserve
  double concurrency = 10;    // estimated capacity: responses per second times their target latency
  bool starting = true;       // no window with responses has ended: each timely response raises `concurrency`
  double expected_time = 0;   // of the current window: sum of the target latencies of its responses ...
  double elapsed_time = 0;    // ... and of their actual response times
  Micros window_start = 0;
  bool was_busy = false;  // more than half of the limit was in flight during the window

  Server& WindowServer(std::size_t i) const { return *ring[(window_offset + i) % ring.size()]; }
};

struct Attempt {
  Server* server = nullptr;  // valid only while in flight: the server may be dropped from the list after
  int zone = -1;
  std::int64_t cell = -1;
  Micros sent = 0;
  bool in_flight = true;
  bool idle = false;             // its request body is incomplete, or its response is being streamed
  bool overdue_counted = false;  // its exceeded latency target has been counted as overload already
  // Whether it counts as load of the pool's servers: it neither waits for a client nor is overdue.
  bool CountsAsLoad() const { return !idle && !overdue_counted; }
  bool may_have_run = true;  // until an outcome proves the opposite
};

// A request, from its arrival until its last attempt is resolved.
struct TrackedRequest {
  std::size_t request_class = 0;
  bool late = false;  // the client's earlier tries used up the latency target
  std::size_t pool = 0;
  Micros arrived = 0;
  Micros deadline = 0;
  bool body_incomplete = false;  // its last byte has not arrived
  bool body_discarded = false;   // bytes already sent were discarded; it cannot be sent again
  bool ended = false;
  bool cancelled = false;     // the attempts in flight at its end have been cancelled
  int backoffs = 0;           // waits before another attempt so far
  std::uint64_t timer = 0;    // token of the pending timer; 0 = none
  std::string key;            // of its queue if its class is sequential; empty = not queued
  Micros key_settled_at = 0;  // blocks its key until then, as an attempt may still be running
  std::vector<Attempt> attempts;

  bool AnyInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  // The first attempt that may have run, or null. It determines which retries are allowed.
  const Attempt* FirstMayHaveRun() const {
    for (const Attempt& a : attempts)
      if (a.may_have_run) return &a;
    return nullptr;
  }
};

// The admission statistics of a request class.
struct ClassLoad {
  double mean_work = 1;         // work of a request: its stated cost, or else its response time
  double arrivals = 0;          // arrivals that mean_work is averaged over
  double arriving_work = 0;     // decaying sum of the recently arrived work
  double served_share = 1;      // share of its value that was earned recently
  double mean_latency = 0;      // of successful attempts
  double latency_samples = 0;   // responses that mean_latency is averaged over
  double unloaded_latency = 0;  // lowest mean_latency so far; 0 = unknown
};

// The typical times of a request class.
struct ClassTimes {
  double mean_latency = 0;    // of successful attempts; 0 = none yet
  Micros typical_budget = 0;  // a clearly shorter budget is what remains of the deadline after earlier tries
};

// SplitMix64: small, and produces the same sequence on each platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Unit() * static_cast<double>(n)); }
  Micros UpTo(Micros max) { return static_cast<Micros>(Unit() * static_cast<double>(max)); }

 private:
  std::uint64_t state_;
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_RECORDS_HPP_
