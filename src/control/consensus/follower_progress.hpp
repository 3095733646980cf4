// The state that a leader keeps for each other replica of its group and for each learner.
#ifndef VIOLETWING_CONTROL_CONSENSUS_FOLLOWER_PROGRESS_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_FOLLOWER_PROGRESS_HPP_

#include <cstddef>
#include <memory>

#include "control/consensus/types.hpp"

namespace violetwing::consensus {

/// Replication state of one follower, as known to its leader. Times are on the leader's clock in microseconds
/// unless noted otherwise.
struct FollowerProgress {
  Member member;
  Index next_index = 1;   ///< Index of the next entry to send.
  Index match_index = 0;  ///< Index of the last entry known to be durable there and equal to the leader's.
  Micros last_contact_at = 0;
  Micros acknowledged_heartbeat_sent_at = 0;  ///< When the latest heartbeat it answered was sent.
  Micros append_sent_at = 0;                  ///< When the append or chunk in flight was sent; 0 if none is.
  Micros last_reply_sent_at = 0;  ///< On the follower's clock: time of its latest heartbeat reply.

  // A follower has caught up once it stores, within `min_election_timeout`, all entries that were in the log
  // at the start of the round (Ongaro 2014, 4.2.1).
  Index round_target = 0;
  Micros round_started_at = 0;
  Micros caught_up_at = 0;  ///< End of the latest round that was short enough; 0 if none was.

  /// The snapshot in transfer, unchanged until the transfer is complete; null if there is none.
  std::shared_ptr<const Snapshot> snapshot;
  std::size_t snapshot_offset = 0;  ///< Bytes of the snapshot's state that the follower has acknowledged.
};

/// The state of a follower that the membership policy uses.
struct FollowerStatus {
  Member member;
  bool voter = false;  ///< False for a learner.
  Micros last_contact_at = 0;
  bool caught_up = false;
  bool draining = false;  ///< Its process has announced its shutdown.
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_FOLLOWER_PROGRESS_HPP_
