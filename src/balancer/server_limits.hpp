// Per-server limits of the decision module: concurrency, slow start and outlier ejection.
#ifndef VIOLETWING_BALANCER_SERVER_LIMITS_HPP_
#define VIOLETWING_BALANCER_SERVER_LIMITS_HPP_

#include <cstddef>
#include <cstdint>

#include "balancer/admission.hpp"
#include "balancer/records.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

// The number of servers in the window on the pool's ring. Depends on the pool's own traffic, not on the
// number of servers.
std::size_t WindowWidth(const Pool& pool);
// The number of sidecars whose windows contain a server, on average and at the minimum width; at least 1.
std::size_t SidecarsPerServer(const Pool& pool, std::size_t sidecar_count);
// The backoff after n failures in a row: min(cap, base * 2^n).
Micros ExponentialBackoff(Micros base, int n, Micros cap);

// Upper limit of the backoff between two attempts of a request, and of the ejection time of a server.
inline constexpr Micros kMaxBackoff = 30'000'000;

class ServerLimits {
 public:
  // Keeps references to all arguments, which must outlive it. `now` is read at each call.
  ServerLimits(const Settings& settings, const Admission& admission, Random& random, const Micros& now)
      : settings_(settings), admission_(admission), random_(random), now_(now) {}

  // Resets the state of a server that is new in the list or has restarted.
  void OnNewServer(Server& server);
  // Counts a successful attempt.
  void CountSuccess(const Server& server) { warm_successes_ += CapacityShare(server) >= 1; }

  // The fraction of its full capacity that the server has at least.
  double CapacityShare(const Server& server) const { return CapacityShareOf(server.info, settings_, now_); }
  // The concurrency limit of a server with CapacityWeight 1, i.e. one that is warm and of average speed.
  double LimitPerUnit(const Pool& pool) const;
  bool AtLimit(const Server& server, double limit_per_unit) const;
  // Whether a server may get the next attempt: it is warm, or has earned the credit in slow start.
  bool MaySendInSlowStart(Server& server, const Pool& pool);

  // Ejects a server for a while after a bad outcome, unless too many others of its window are ejected.
  void EjectOutlier(Server& server, const Pool& pool);
  // Whether the server is ejected, or on trial with its one trial attempt in flight.
  bool IsEjected(const Server& server) const {
    return now_ < server.ejected_until || (server.consecutive_failures > 0 && server.ActiveInFlight() > 0);
  }

 private:
  // The server's part of the pool's limit, relative to a warm server of average speed.
  double CapacityWeight(const Server& server) const;

  const Settings& settings_;
  const Admission& admission_;
  Random& random_;
  const Micros& now_;
  std::int64_t warm_successes_ = 0;  // attempts that succeeded at warm servers
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_SERVER_LIMITS_HPP_
