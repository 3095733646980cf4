// Decides when this control process may make the calls of a duty. A core: it holds no clock, socket, file or
// thread.
#ifndef VIOLETWING_CONTROL_DUTIES_LEASE_KEEPER_HPP_
#define VIOLETWING_CONTROL_DUTIES_LEASE_KEEPER_HPP_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/time.hpp"
#include "control/consensus/replica.hpp"
#include "control/duties/duty.hpp"
#include "control/duties/duty_table.hpp"

namespace violetwing::duties {

/// Time limit of a call of a duty for its connection, and again for its response.
inline constexpr Micros kCallTimeout = 800'000;

/// The leader of the configuration's shard acquires all leases by commands of its log, and acts on one while
/// it is sure to lead (consensus::Replica::HasLease). No other leader exists then, so that no other process
/// acts.
///
/// A new holder first waits until the last call of the holder before can no longer arrive: that process has
/// decided on it before this one was elected, and gives it up after `call_time_limit`. A process that has
/// acted before, and then lost the lease to another, also waits until `lease` after its own last call can
/// have arrived: holders A, B and A never act within that time (RULES.md, ONE). What this machine did before
/// the process started counts as done at the start.
///
/// Times are in microseconds of one steady clock. Not thread-safe.
class LeaseKeeper {
 public:
  /// The terms of the leases.
  struct Settings {
    std::string holder;          ///< name of this node
    Micros lease = 0;            ///< shortest time between calls of a holder before and after another one's
    Micros call_time_limit = 0;  ///< from the decision on a call until it can no longer arrive
  };
  /// Submits the command to the shard's log; it may be lost.
  using Acquire = std::function<void(const AcquireLease&)>;

  /// `started_at`: when the process started.
  LeaseKeeper(Settings settings, Micros started_at, Acquire acquire);

  /// Acquires the leases that this process should hold. To be called at short intervals.
  void Tick(const consensus::Replica& replica, const DutyTable& table, Micros now);
  /// The token for calls of a duty that leave now; empty if this process must not make any.
  std::optional<FencingToken> Grant(Duty duty, const consensus::Replica& replica, const DutyTable& table,
                                    Micros now) const;
  /// A call of the duty leaves.
  void OnCallSent(Duty duty, Micros now) { held_[duty].last_call_at = now; }

 private:
  struct Held {
    FencingToken token = 0;   // of the latest grant to this node that was seen
    Micros acts_from = 0;     // under that token
    Micros last_call_at = 0;  // under any
    Micros requested_at = 0;  // the latest request for the lease; 0: none
  };

  static bool IsSureToLead(const consensus::Replica& replica, Micros now);
  void Observe(const Lease& lease, Held& held, Micros now) const;
  void Request(Duty duty, const Lease* current, const consensus::Replica& replica, Micros now);

  const Settings settings_;
  const Acquire acquire_;
  std::map<Duty, Held> held_;
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_LEASE_KEEPER_HPP_
