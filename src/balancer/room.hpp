// What one server of a window may be sent now: its part of what may be out, the credit that one in slow start
// has earned, and the time for which an outlier is ejected. A part of the decision module.
#ifndef VIOLETWING_BALANCER_ROOM_HPP_
#define VIOLETWING_BALANCER_ROOM_HPP_

#include <cstddef>
#include <cstdint>

#include "balancer/admission.hpp"
#include "balancer/records.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

// Servers in the window on the pool's ring; by its own traffic and never by the fleet's size.
std::size_t Width(const Pool& pool);
// Sidecars whose windows hold a server, on average and at the least width; at least 1.
std::size_t Sharers(const Pool& pool, std::size_t sidecar_count);
// The wait of n failures in a row: base * 2^n, `cap` at most.
Micros Doubled(Micros base, int n, Micros cap);

// The longest wait between two attempts of a request, and the longest for which a server is ejected.
inline constexpr Micros kRetryCap = 30'000'000;

class Room {
 public:
  // Keeps references: all must outlive it. `now` is read at each call.
  Room(const Settings& settings, const Admission& admission, Random& random, const Micros& now)
      : set_(settings), admission_(admission), random_(random), now_(now) {}

  // A server that is new here, or whose process is: nothing of it is known.
  void Begin(Server& server);
  // An attempt that was served.
  void CountServed(const Server& server) { served_warm_ += Warmth(server) >= 1; }

  // The share of its capacity that it certainly has.
  double Warmth(const Server& server) const { return WarmthOf(server.info, set_, now_); }
  // What may be out at the window's servers together, for each part of one that is warm and as fast as usual.
  double MostOut(const Pool& pool) const;
  bool Full(const Server& server, double most) const;
  // Whether a server that may still be cold has earned the next attempt.
  bool AcceptInSlowStart(Server& server, const Pool& pool);

  // A bad outcome: the server is ejected for a while, if enough others are left.
  void EjectOutlier(Server& server, const Pool& pool);
  // A server in its wait, or with its one trial attempt out.
  bool Ejected(const Server& server) const {
    return now_ < server.ejected_until || (server.consecutive_failures > 0 && server.Working() > 0);
  }

 private:
  double Part(const Server& server) const;

  const Settings& set_;
  const Admission& admission_;
  Random& random_;
  const Micros& now_;
  std::int64_t served_warm_ = 0;  // attempts that succeeded at warm servers
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_ROOM_HPP_
