// The data types of the consensus algorithm: log positions, group members, log entries, snapshots, messages,
// durable state and timing. They are plain values; encoding.hpp defines their serialized form.
#ifndef VIOLETWING_CONTROL_CONSENSUS_TYPES_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_TYPES_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace violetwing::consensus {

/// Position of an entry in the log. The first entry has index 1; 0 means "before the first entry".
using Index = std::uint64_t;
/// Election term. Starts at 0 and never decreases.
using Term = std::uint64_t;
/// Identity of a replica. It is the identity of its disk, generated when the disk's store is created.
using ReplicaId = std::string;

/// A voting replica of a group.
struct Member {
  ReplicaId id;
  std::string address;  ///< Where its process accepts internal requests; empty if unknown.
  bool operator==(const Member&) const = default;
};
/// The voters of a group, in the same order on all replicas.
using Members = std::vector<Member>;

/// The kinds of log entries.
enum class EntryKind {
  kCommand,  ///< A command for the state machine.
  kNoop,     ///< The first entry that a leader appends in its term (Ongaro 2014, 6.4).
  kMembers,  ///< A membership change (Ongaro 2014, 4.1).
};

/// One entry of the replicated log.
struct Entry {
  Term term = 0;  ///< The term of the leader that appended it.
  EntryKind kind = EntryKind::kCommand;
  std::string command;  ///< kCommand only: opaque bytes for the state machine.
  Members members;      ///< kMembers only: the voters, effective once the entry is appended.
  bool operator==(const Entry&) const = default;
};

/// The state after applying the log up to and including `index`.
struct Snapshot {
  Index index = 0;  ///< 0 if there is no snapshot.
  Term term = 0;    ///< The term of the entry at `index`.
  Members members;
  std::string state;  ///< Opaque bytes serialized by the state machine.
  bool operator==(const Snapshot&) const = default;
};

/// The term and the vote. They are made durable before a vote is sent.
struct HardState {
  Term term = 0;
  ReplicaId vote;  ///< Empty if no vote was granted in `term`.
  bool operator==(const HardState&) const = default;
};

/// The state that a replica reads from its disk when its process starts.
struct StoredState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;  ///< Consecutive; the first has index snapshot.index + 1.
  bool operator==(const StoredState&) const = default;
};

/// The kinds of messages that the replicas of a group exchange.
enum class MessageKind {
  kPreVote,         ///< Asks whether a vote would be granted (Ongaro 2014, 9.6).
  kPreVoteReply,    ///< Answers kPreVote.
  kVote,            ///< Asks for a vote.
  kVoteReply,       ///< Answers kVote.
  kHeartbeat,       ///< From the leader: commit index and lease information, without entries.
  kHeartbeatReply,  ///< Answers kHeartbeat.
  kAppend,          ///< Entries, with the index and term of the entry before them.
  kAppendReply,     ///< Answers kAppend, the last chunk of a snapshot, and messages of an earlier term.
  kSnapshot,        ///< One chunk of a snapshot.
  kSnapshotReply,   ///< Answers a chunk that does not complete the snapshot.
};

/// A message between two replicas. `kind` determines which fields are used; the others keep their defaults.
struct Message {
  MessageKind kind = MessageKind::kHeartbeat;
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  /// kAppend: the index of the entry before `entries`. kPreVote and kVote: that of the candidate's last
  /// entry. kAppendReply: that of the last entry known to match if granted, otherwise the index to try next.
  /// kSnapshotReply: that of the snapshot.
  Index index = 0;
  Term log_term = 0;        ///< The term of the entry at `index`.
  Index commit = 0;         ///< The commit index; in kHeartbeat limited to what the receiver stores.
  Index leader_commit = 0;  ///< kHeartbeat: the leader's commit index.
  bool granted = false;     ///< Replies only.
  /// kPreVoteReply: the sender has had no contact with a leader since its start (see
  /// Timing::startup_election_delay). kVote: all voters have reported this.
  bool leaderless = false;
  Micros sent_at = 0;  ///< On the leader's clock. kHeartbeatReply returns the value of the heartbeat.
  /// On the follower's clock: when it sent the latest kHeartbeatReply that the leader has received.
  /// kHeartbeat returns the value to the follower; 0 if there is none.
  Micros follower_sent_at = 0;
  /// kHeartbeat: time since the leader sent the latest heartbeats that a quorum has acknowledged; negative if
  /// the leader has no lease.
  Micros quorum_age = -1;
  /// kHeartbeat: set when the leader resigns, which ends its leadership and its lease in this term. The value
  /// is the receiver's rank among the successors, from 0.
  std::optional<std::uint32_t> succession_rank;
  std::vector<Entry> entries;        ///< kAppend.
  std::optional<Snapshot> snapshot;  ///< kSnapshot: its `state` holds the chunk at `offset`.
  /// In bytes of the snapshot's state. kSnapshot: the start of the chunk. kSnapshotReply: the number of bytes
  /// received so far.
  std::size_t offset = 0;
  std::size_t size = 0;  ///< kSnapshot: total size of the state in bytes.
};

/// Durations of the protocol, in microseconds on the steady clock, and the startup order. All replicas of a
/// group must use the same values: a lease is safe only if lease_duration is below min_election_timeout.
struct Timing {
  Micros heartbeat_interval = 120'000;
  /// A replica grants no vote within this time of its last contact with a leader.
  Micros min_election_timeout = 600'000;
  /// To avoid split votes, the members become candidates one slot after another, in a pseudorandom order that
  /// depends on the term. A slot must be longer than the host's tick interval plus a round of votes.
  Micros election_slot_duration = 100'000;
  /// Maximum difference between the members' times of last contact with a leader. The first candidate waits
  /// this much longer, because members with later contact would reject it before.
  Micros contact_skew = 5'000;
  /// How long a follower that has caught up counts as caught up.
  Micros caught_up_validity = 1'000'000;
  /// Duration of the leader lease, from the time at which the leader sent the heartbeats that a quorum has
  /// acknowledged (Ongaro 2014, 6.4.1).
  Micros lease_duration = 450'000;
  /// Maximum age of a follower's quorum confirmation, on its own clock. It bounds the staleness of reads that
  /// need no log entry. It must exceed two heartbeat intervals plus two round trips.
  Micros follower_read_validity = 900'000;
  /// An append without a reply is sent again after this time.
  Micros append_retry_interval = 400'000;

  // Startup. After its start a process requests votes early and often until it has had contact with a leader.
  // If all voters have just started and none of them is a leader or a candidate, no lease can be held, and
  // they elect a leader without waiting for a lease to expire.

  /// Time from the start to the earliest election. A replica without a vote may rely on the old leader for
  /// `lease_duration`.
  Micros startup_election_delay = 200'000;
  /// Index, modulo the number of members, of the member that has the first slot after the start. It differs
  /// between groups, so that different members lead them, both then and in the order of later elections.
  std::size_t startup_first_candidate = 0;
  /// Time after the start during which elections use the startup slots instead of the regular timeouts.
  Micros startup_period = 5'000'000;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_TYPES_HPP_
