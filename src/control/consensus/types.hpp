// The data types of the consensus algorithm: log positions, group members, log entries, snapshots, messages,
// durable state and timing. Plain values without behavior; encoding.hpp has their serialized form.
#ifndef VIOLETWING_CONTROL_CONSENSUS_TYPES_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_TYPES_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace violetwing::consensus {

/// Position of an entry in the log. The first entry has index 1; 0 stands for "before the first entry".
using Index = std::uint64_t;
/// Election term. Starts at 0 and never decreases.
using Term = std::uint64_t;
/// Identity of a replica, which is that of its disk: drawn when the disk's store is created.
using ReplicaId = std::string;

/// A voting replica of a group.
struct Member {
  ReplicaId id;
  std::string address;  ///< Where its process takes internal calls; empty if unknown.
  bool operator==(const Member&) const = default;
};
/// The voters of a group. All replicas hold them in the same order.
using Members = std::vector<Member>;

/// What a log entry is for.
enum class EntryKind {
  kCommand,  ///< A command for the state machine.
  kNoop,     ///< The first entry of a leader's term (Ongaro 2014, 6.4).
  kMembers,  ///< A membership change (Ongaro 2014, 4.1).
};

/// One entry of the replicated log.
struct Entry {
  Term term = 0;  ///< Of the leader that appended it.
  EntryKind kind = EntryKind::kCommand;
  std::string command;  ///< Of kCommand only: bytes for the state machine.
  Members members;      ///< Of kMembers only: the voters from this entry on, as soon as it is in the log.
  bool operator==(const Entry&) const = default;
};

/// The state to which the log up to and including `index` has led.
struct Snapshot {
  Index index = 0;  ///< 0: there is no snapshot.
  Term term = 0;    ///< Of the entry at `index`.
  Members members;
  std::string state;  ///< Bytes written by the state machine.
  bool operator==(const Snapshot&) const = default;
};

/// What a vote depends on. It is durable before the vote is sent.
struct HardState {
  Term term = 0;
  ReplicaId vote;  ///< Empty: no vote given in `term`.
  bool operator==(const HardState&) const = default;
};

/// What a replica reads from its disk when its process starts.
struct StoredState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;  ///< Consecutive, the first at index snapshot.index + 1.
  bool operator==(const StoredState&) const = default;
};

/// The kinds of messages that the replicas of a group exchange.
enum class MessageKind {
  kPreVote,         ///< Asks whether a vote would be granted (Ongaro 2014, 9.6).
  kPreVoteReply,    ///< Answers kPreVote.
  kVote,            ///< Asks for a vote.
  kVoteReply,       ///< Answers kVote.
  kHeartbeat,       ///< From the leader; carries commit index and lease information, no entries.
  kHeartbeatReply,  ///< Answers kHeartbeat.
  kAppend,          ///< Entries, and the position of the one before them.
  kAppendReply,     ///< Answers kAppend, the last chunk of a snapshot, and messages of an earlier term.
  kSnapshot,        ///< One chunk of a snapshot.
  kSnapshotReply,   ///< Answers a chunk that does not complete the snapshot.
};

/// A message between two replicas. `kind` says which fields it uses; the others keep their defaults.
struct Message {
  MessageKind kind = MessageKind::kHeartbeat;
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  /// kAppend: of the entry before `entries`. Votes: of the candidate's last entry. kAppendReply: of the last
  /// entry known to match if granted, otherwise where to try next. kSnapshotReply: of the snapshot.
  Index index = 0;
  Term log_term = 0;        ///< Of the entry at `index`.
  Index commit = 0;         ///< The commit index, for heartbeats at most what the receiver has stored.
  Index leader_commit = 0;  ///< kHeartbeat: the leader's commit index.
  bool granted = false;     ///< Of replies.
  /// kPreVoteReply: the sender has had no contact with a leader (see Timing::startup_election_delay). kVote:
  /// all voters have said so.
  bool leaderless = false;
  Micros sent_at = 0;  ///< By the leader's clock; kHeartbeatReply returns that of the heartbeat.
  /// By the follower's clock: when it sent the latest kHeartbeatReply that the leader has. kHeartbeat returns
  /// it; 0 if there is none.
  Micros follower_sent_at = 0;
  /// kHeartbeat: how long ago the leader sent the heartbeats that a quorum has acknowledged since; negative
  /// without a lease.
  Micros quorum_age = -1;
  /// kHeartbeat: the leader has given up its term and its lease for good. The receiver's turn among the
  /// candidates, from 0.
  std::optional<std::uint32_t> succession_rank;
  std::vector<Entry> entries;        ///< kAppend.
  std::optional<Snapshot> snapshot;  ///< kSnapshot: its `state` is the chunk at `offset`.
  /// In bytes of the snapshot's state. kSnapshot: where the chunk begins. kSnapshotReply: how much has been
  /// received.
  std::size_t offset = 0;
  std::size_t size = 0;  ///< kSnapshot: bytes of the whole state.
};

/// Durations of the protocol, all in microseconds on the steady clock, and the startup order. All replicas of
/// a group must use the same values: a lease is safe only if lease_duration is below min_election_timeout.
struct Timing {
  Micros heartbeat_interval = 120'000;
  /// No replica votes within this time of its last contact with a leader.
  Micros min_election_timeout = 600'000;
  /// The members become candidates in turn, in an order drawn for the term, one such slot after the other, so
  /// that votes are not split. Longer than the host's tick interval and a round
  /// of votes.
  Micros election_slot_duration = 100'000;
  /// By how much later than the first member another may have had its last contact with a leader. The first
  /// candidate waits for so long, as those others would refuse it until then.
  Micros contact_skew = 5'000;
  /// A follower that has caught up counts as such for so long.
  Micros caught_up_validity = 1'000'000;
  /// Of the leader lease, from the sending of heartbeats that a quorum has acknowledged (Ongaro 2014, 6.4.1).
  Micros lease_duration = 450'000;
  /// How old a follower's quorum confirmation may be, by its own clock. It bounds the staleness of a read
  /// that needs no log entry. Above two heartbeat intervals and two round trips.
  Micros follower_read_validity = 900'000;
  /// An append without an answer is sent again after this.
  Micros append_retry_interval = 400'000;

  // Startup. A process that has started asks for votes early and often until it has had contact with a
  // leader. Where all voters have started so, and none leads or is a candidate, no lease can be held: they
  // elect without waiting for the end of one.

  /// The earliest election after the start: a replica without a vote may trust the old leader for
  /// `lease_duration`.
  Micros startup_election_delay = 200'000;
  /// Which member has the first slot then, modulo their number. Groups differ, so that their leaders do, then
  /// and in the order of later elections.
  std::size_t startup_first_candidate = 0;
  /// Time after the start from which on elections use the ordinary timeouts.
  Micros startup_period = 5'000'000;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_TYPES_HPP_
