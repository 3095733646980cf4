#include "balancer/room.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing::balancer {
namespace {

// Servers in the window. Few enough that each server holds connections from few sidecars, enough to leave a
// choice.
constexpr std::size_t kWindowWidth = 3;
// A busy sidecar's window is wider: this many servers for each attempt it lately had out at once. With few
// its neighbours' servers choke under it; with many it keeps sharing all of them when it has little to send,
// as in an overload. 0.25 to 2 were tried.
constexpr double kServersPerOut = 0.75;
// A warm server under this slowness, whose last attempt did not fail, tells what a warm one can serve.
constexpr double kSound = 2;
// A server that fails to connect, times out or lets a request outlive its aim is ejected for
// random(0, min(kRetryCap, base * 2^n)), n being such events in a row: the request's own wait, applied to a
// server.
constexpr Micros kServerBase = 500'000;
// At most this part of the window is ejected at once: a slowdown that all share must not empty it.
constexpr double kMostEjected = 0.5;

}  // namespace

// The window is of fixed size for all but the busiest sidecars. One that has more attempts out than window
// servers takes a longer run of the ring, by its own traffic and never by the fleet's size: else a few busy
// callers choke the servers of their windows while others idle.
std::size_t Width(const Pool& pool) {
  return std::min(std::max(kWindowWidth, static_cast<std::size_t>(kServersPerOut * pool.out_peak)),
                  pool.ring.size());
}

std::size_t Sharers(const Pool& pool, std::size_t sidecar_count) {
  return std::max<std::size_t>(kWindowWidth * sidecar_count / std::max<std::size_t>(pool.ring.size(), 1), 1);
}

Micros Doubled(Micros base, int n, Micros cap) {
  return std::min(cap, base << std::min(n, 20));  // 20: far past any cap, short of overflow
}

// Chance decides who starts it.
void Room::Begin(Server& server) {
  server.Forget();
  server.slow_start_credit = random_.Unit();
  server.served_then = served_warm_;
}

// Outlier ejection. Guards against dead, stuck and choking servers. A server on trial with an attempt out
// counts among the ejected, so that lateness ejects it from a narrow window once and not again: one that
// answers in the end is not given up (round 27).
void Room::EjectOutlier(Server& server, const Pool& pool) {
  if (now_ < server.ejected_until) return;
  const std::size_t width = Width(pool);
  std::size_t ejected = 0;
  for (std::size_t i = 0; i < width; ++i) ejected += Ejected(pool.InWindow(i));
  if (static_cast<double>(ejected + 1) > kMostEjected * static_cast<double>(width)) return;
  const Micros base = kServerBase * static_cast<Micros>(pool.sharers);
  server.ejected_until = now_ + random_.Upto(Doubled(base, server.consecutive_failures++, kRetryCap));
}

double Room::MostOut(const Pool& pool) const {
  double parts = 0;
  for (std::size_t i = 0; i < Width(pool); ++i) parts += Part(pool.InWindow(i));
  return admission_.MostOut(pool) / std::max(parts, 1e-9);
}

// By its speed, and by what it can do already.
double Room::Part(const Server& server) const { return Warmth(server) / std::sqrt(server.slow); }

bool Room::Full(const Server& server, double most) const {
  return server.Working() + 1 > std::max(most * Part(server), kLeastOut);
}

// Slow start. A server that may be cold is sent its share of what this sidecar is *served* by a warm one on
// average. Counting answers and not sends guards against an overload, where sends and retries together exceed
// what a server can do many times, and against an idle newcomer that every sidecar prefers at once. Counting
// warm servers alone guards against a window of many cold ones that would keep each other at what they serve
// already. Where no warm one is sound, credit would never come, and all that is let in would go to choked
// servers while the cold ones idle: then by what is out at it, as a server that is sent one for each that it
// answers cannot be overrun.
bool Room::AcceptInSlowStart(Server& server, const Pool& pool) {
  const double warmth = Warmth(server);
  if (warmth >= 1) return true;
  std::int64_t sound = 0;
  for (std::size_t i = 0; i < Width(pool); ++i) {
    const Server& other = pool.InWindow(i);
    sound += Warmth(other) >= 1 && other.consecutive_failures == 0 && other.slow < kSound;
  }
  const double served_each = static_cast<double>(served_warm_ - server.served_then) /
                             static_cast<double>(std::max<std::int64_t>(sound, 1));
  server.slow_start_credit = std::min(1.0, server.slow_start_credit + warmth * served_each);
  server.served_then = served_warm_;
  const double most = std::max(warmth * MostOut(pool), 1.0);
  return server.slow_start_credit >= 1 || (sound == 0 && server.Working() < most);
}

}  // namespace violetwing::balancer
