// What a leader knows of each other replica of its group, and of learners.
#ifndef VIOLETWING_CONTROL_CONSENSUS_FOLLOWER_PROGRESS_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_FOLLOWER_PROGRESS_HPP_

#include <cstddef>
#include <memory>

#include "control/consensus/types.hpp"

namespace violetwing::consensus {

/// Replication state of one follower, as its leader sees it. Times are the leader's unless said otherwise.
struct FollowerProgress {
  Member member;
  Index next_index = 1;   ///< Of the next entry to send.
  Index match_index = 0;  ///< The last entry known to be durable there and equal to the leader's.
  Micros last_contact_at = 0;
  Micros acknowledged_heartbeat_sent_at = 0;  ///< When the latest heartbeat that it answered was sent.
  Micros append_sent_at = 0;                  ///< Of the append or chunk in flight; 0 without one.
  Micros last_reply_sent_at = 0;              ///< By the follower's clock: of its latest heartbeat reply.

  // A follower has caught up once it stores, within `min_election_timeout`, all that stood in the log when
  // the round began (Ongaro 2014, 4.2.1).
  Index round_target = 0;
  Micros round_started_at = 0;
  Micros caught_up_at = 0;  ///< End of the latest round that was short enough; 0 without one.

  /// The snapshot in transfer, which stays the same until it is complete; null without one.
  std::shared_ptr<const Snapshot> snapshot;
  std::size_t snapshot_offset = 0;  ///< Bytes of its state that the follower has acknowledged.
};

/// What the membership policy sees of a follower.
struct FollowerStatus {
  Member member;
  bool voter = false;  ///< Otherwise a learner.
  Micros last_contact_at = 0;
  bool caught_up = false;
  bool draining = false;  ///< Its process has announced its shutdown.
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_FOLLOWER_PROGRESS_HPP_
