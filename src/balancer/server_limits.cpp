#include "balancer/server_limits.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing::balancer {
namespace {

// Minimum number of servers in the window: few enough that each server has connections from few sidecars, and
// enough to leave a choice.
constexpr std::size_t kMinWindowWidth = 3;
// Servers in the window of a busy sidecar per attempt of its recent peak in flight. Fewer overload the
// servers that it shares with its neighbors on the ring; with more it keeps sharing all of them when it has
// little to send, as in an overload. 0.25 to 2 were tried.
constexpr double kServersPerInFlight = 0.75;
// A warm server counts as healthy below this slowness, if its last attempt did not fail. Slow start is based
// on the successes of healthy servers.
constexpr double kMaxHealthySlowness = 2;
// Base of the ejection time. A server is ejected for random(0, min(kMaxBackoff, base * 2^n)) when it is
// unreachable, times out or has a request in flight past its latency target; n is the number of such
// ejections in a row. This is the backoff of requests, applied to a server.
constexpr Micros kEjectionBase = 500'000;
// Maximum ejected share of the window. A slowdown of all servers must not empty it.
constexpr double kMaxEjectedShare = 0.5;

}  // namespace

// The window has a fixed size for all but the busiest sidecars. One with more attempts in flight than servers
// in its window takes a longer part of the ring, by its own traffic and not by the number of servers.
// Otherwise a few busy callers overload the servers of their windows while others are idle.
std::size_t WindowWidth(const Pool& pool) {
  return std::min(
      std::max(kMinWindowWidth, static_cast<std::size_t>(kServersPerInFlight * pool.peak_in_flight)),
      pool.ring.size());
}

std::size_t SidecarsPerServer(const Pool& pool, std::size_t sidecar_count) {
  return std::max<std::size_t>(kMinWindowWidth * sidecar_count / std::max<std::size_t>(pool.ring.size(), 1),
                               1);
}

Micros ExponentialBackoff(Micros base, int n, Micros cap) {
  return std::min(cap, base << std::min(n, 20));  // 20: far above any cap, without overflow
}

// The initial credit is random, so that chance decides which sidecars send to the new server first.
void ServerLimits::OnNewServer(Server& server) {
  server.ResetHistory();
  server.slow_start_credit = random_.Unit();
  server.successes_at_last_credit = warm_successes_;
}

// Outlier ejection protects against dead, hanging and overloaded servers. A server on trial with an attempt
// in flight counts as ejected. So a late response ejects it from a narrow window once and not again, and a
// server that is slow but does respond is not given up.
void ServerLimits::EjectOutlier(Server& server, const Pool& pool) {
  if (now_ < server.ejected_until) return;
  const std::size_t width = WindowWidth(pool);
  std::size_t ejected = 0;
  for (std::size_t i = 0; i < width; ++i) ejected += IsEjected(pool.WindowServer(i));
  if (static_cast<double>(ejected + 1) > kMaxEjectedShare * static_cast<double>(width)) return;
  const Micros base = kEjectionBase * static_cast<Micros>(pool.sidecars_per_server);
  server.ejected_until =
      now_ + random_.UpTo(ExponentialBackoff(base, server.consecutive_failures++, kMaxBackoff));
}

double ServerLimits::LimitPerUnit(const Pool& pool) const {
  double total_weight = 0;
  for (std::size_t i = 0; i < WindowWidth(pool); ++i) total_weight += CapacityWeight(pool.WindowServer(i));
  return admission_.ConcurrencyLimit(pool) / std::max(total_weight, 1e-9);
}

double ServerLimits::CapacityWeight(const Server& server) const {
  return CapacityShare(server) / std::sqrt(server.slowness);
}

bool ServerLimits::AtLimit(const Server& server, double limit_per_unit) const {
  return server.ActiveInFlight() + 1 > std::max(limit_per_unit * CapacityWeight(server), kMinConcurrency);
}

// Slow start. A server that may be cold gets its capacity share of the successes that this sidecar has at a
// warm server on average.
// - Successes are counted instead of sends because in an overload sends and retries exceed the capacity of a
//   server many times, and because every sidecar prefers an idle new server at once.
// - Only warm servers are counted, as in a window of many cold ones these would keep each other at their
//   current rate.
// - Without a healthy warm server no credit would arise, and all admitted requests would go to overloaded
//   servers while the cold ones are idle. The number in flight is limited instead: a server that gets one
//   request for each of its responses cannot be overloaded.
bool ServerLimits::MaySendInSlowStart(Server& server, const Pool& pool) {
  const double capacity_share = CapacityShare(server);
  if (capacity_share >= 1) return true;
  std::int64_t healthy = 0;
  for (std::size_t i = 0; i < WindowWidth(pool); ++i) {
    const Server& other = pool.WindowServer(i);
    healthy +=
        CapacityShare(other) >= 1 && other.consecutive_failures == 0 && other.slowness < kMaxHealthySlowness;
  }
  const double successes_per_server = static_cast<double>(warm_successes_ - server.successes_at_last_credit) /
                                      static_cast<double>(std::max<std::int64_t>(healthy, 1));
  server.slow_start_credit = std::min(1.0, server.slow_start_credit + capacity_share * successes_per_server);
  server.successes_at_last_credit = warm_successes_;
  const double limit = std::max(capacity_share * LimitPerUnit(pool), 1.0);
  return server.slow_start_credit >= 1 || (healthy == 0 && server.ActiveInFlight() < limit);
}

}  // namespace violetwing::balancer
