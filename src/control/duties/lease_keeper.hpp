// Decides when this control process may make the calls of a duty. Does no I/O, reads no clock and starts no
// threads.
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

/// Timeout of a call of a duty for establishing the connection, and again for receiving the response.
inline constexpr Micros kCallTimeout = 800'000;

/// The leader of the configuration shard acquires the leases of all duties by commands in the shard's log. It
/// makes calls under them only while it has its leader lease (consensus::Replica::HasLease). No other leader
/// can exist then, so no other process makes calls.
///
/// A new holder first waits until the last call of the previous holder can no longer arrive. The previous
/// holder decided on that call before the new one was elected, and abandons it after `call_time_limit`. A
/// process that made calls, and then lost the lease to another process, also waits until `lease_duration`
/// after the latest time at which its own last call can have arrived. Therefore holders A, B and A never make
/// calls within `lease_duration` (RULES.md, ONE). Calls that an earlier process on this machine made count as
/// having arrived when this process started.
///
/// Times are in microseconds of one steady clock. Not thread-safe.
class LeaseKeeper {
 public:
  /// Parameters of the leases.
  struct Settings {
    std::string holder;  ///< name of this node
    /// Minimum time between two calls of a holder if another one held the lease in between.
    Micros lease_duration = 0;
    Micros call_time_limit = 0;  ///< time from the decision on a call until it can no longer arrive
  };
  /// Submits the command to the shard's log. The command may be lost.
  using Acquire = std::function<void(const AcquireLease&)>;

  /// `started_at`: when the process started.
  LeaseKeeper(Settings settings, Micros started_at, Acquire acquire);

  /// Acquires the leases that this process should hold. Must be called at short intervals.
  void Tick(const consensus::Replica& replica, const DutyTable& table, Micros now);
  /// Returns the fencing token for calls of a duty sent now; empty if this process must not send any.
  std::optional<FencingToken> Grant(Duty duty, const consensus::Replica& replica, const DutyTable& table,
                                    Micros now) const;
  /// Records that a call of the duty is being sent.
  void OnCallSent(Duty duty, Micros now) { leases_[duty].last_call_at = now; }

 private:
  struct LeaseState {
    FencingToken token = 0;    // of the latest known grant to this node
    Micros may_call_from = 0;  // earliest time of a call under that token
    Micros last_call_at = 0;   // time of the latest call under any token
    Micros requested_at = 0;   // time of the latest request for the lease; 0 if there is none
  };

  static bool HasLeaderLease(const consensus::Replica& replica, Micros now);
  void OnGranted(const Lease& lease, LeaseState& state, Micros now) const;
  void SubmitRequest(Duty duty, const Lease* current, const consensus::Replica& replica, Micros now);

  const Settings settings_;
  const Acquire acquire_;
  std::map<Duty, LeaseState> leases_;
};

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_LEASE_KEEPER_HPP_
