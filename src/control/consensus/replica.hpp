// One replica of a replicated log: leader election with pre-votes, log replication, commitment by quorum,
// membership changes of one replica at a time, snapshots for replicas that are behind, and a leader lease on
// the steady clock. After Ongaro, "Consensus: Bridging Theory and Practice" (2014), "Ongaro 2014" below.
//
// A replica is a disk: its id is drawn when the disk's store is created. A machine whose disk was lost comes
// back as another replica, so it never votes on what the old one had acknowledged.
//
// The algorithm holds no clock, socket, file or thread. Time comes in with each event, randomness by a seed;
// the host carries out the effects. The implementation is split by concern: replica.cpp (construction,
// dispatch, proposals), election.cpp, lease.cpp, follower.cpp (the follower's side of replication) and
// replication.cpp (the leader's side).
#ifndef VIOLETWING_CONTROL_CONSENSUS_REPLICA_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_REPLICA_HPP_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "control/consensus/effects.hpp"
#include "control/consensus/follower_progress.hpp"
#include "control/consensus/log.hpp"
#include "control/consensus/types.hpp"

namespace violetwing::consensus {

/// Why a proposal was not appended.
enum class ProposeError {
  kNotLeader,         ///< This replica does not lead; try known_leader().
  kNotReady,          ///< The leader has yet to commit an entry of its term (Ongaro 2014, 4.1).
  kChangeInProgress,  ///< The membership change before is not committed yet.
  kUnchanged,         ///< The group already has these members.
};

/// The index of the appended entry, or why there is none. An appended entry may still be lost with its
/// leader.
using ProposeResult = std::variant<Index, ProposeError>;

/// Whether the proposal was appended to the leader's log.
inline bool IsAppended(const ProposeResult& result) { return std::holds_alternative<Index>(result); }

/// A replica as the leader, a candidate or a follower of its group. After each call the host takes the
/// effects and carries them out. Not thread-safe: one thread at a time. `now` is the host's steady clock in
/// microseconds and must not decrease from call to call.
class Replica {
 public:
  /// `id` is that of the disk and is empty only in tests of messages. `bootstrap_members` is the group where
  /// nothing is stored yet, empty for a replica that joins an existing group. `seed` drives election
  /// timeouts.
  Replica(ReplicaId id, Members bootstrap_members, StoredState stored, Timing timing, std::uint64_t seed,
          Micros now);

  // ---- Events ----

  /// Handles a message. One for another replica is ignored: its sender means a disk that is gone.
  void Step(const Message& message, Micros now);
  /// Acts on timers. To be called several times per heartbeat interval.
  void Tick(Micros now);
  /// When Tick has to be called at the latest, for an election that is due then: a time that may have passed;
  /// empty while this replica leads or has no vote.
  std::optional<Micros> NextElectionAt() const {
    return leader() || !IsMember(id_) ? std::nullopt : std::optional(election_deadline_);
  }
  /// Appends a command to the leader's log and sends it. Fails with kNotLeader.
  ProposeResult Propose(std::string command);
  /// Appends a membership change, which must add or remove one member. Fails with any ProposeError.
  ProposeResult ProposeMembers(Members members);
  /// Starts replication to a replica without a vote, so that it can become a member. Ignored for members.
  void AddLearner(const Member& learner, Micros now);
  /// The host's disk holds the log up to `index`, whose entry is of `term`.
  void OnLogDurable(Index index, Term term);
  /// Gives up leadership and the lease at once and tells the followers to elect another leader, those first
  /// that are there and store most of the log (after Ongaro 2014, 3.10: a voter may vote at once, and if the
  /// first successor fails the next has its turn). Ignored unless this replica leads.
  void Resign(Micros now);
  /// The process of replica `id` has announced its shutdown, or is back.
  void SetDraining(const ReplicaId& id, bool draining);
  /// Replaces the entries up to applied() by a snapshot whose state is `state`.
  void Compact(std::string state);

  /// What the host has to do because of the events since the last call.
  Effects TakeEffects();

  // ---- Leadership and lease ----

  /// Whether this replica leads in its term; another may lead in a later one unless HasLease().
  bool leader() const { return role_ == Role::kLeader; }
  /// The leader that this replica follows or is; its address is empty where the members do not name it.
  const std::optional<Member>& known_leader() const { return known_leader_; }
  /// The current term.
  Term term() const { return hard_.term; }
  /// Whether this replica leads and a quorum has acknowledged it so lately that no other can have been
  /// elected (Ongaro 2014, 6.4.1).
  bool HasLease(Micros now) const;
  /// Whether this replica leads and has applied all that was committed before its term.
  bool Ready() const { return leader() && TermAt(applied_) == hard_.term; }
  /// Whether this replica has lately held all that was committed, so that its state may be read: a leader by
  /// its lease, a follower by the moment, on its own clock, at which a quorum is known to have confirmed a
  /// leader all of whose commits have been applied here since. Messages that were delayed, or lay unread
  /// while the process stood still, prove nothing later than the reply of this replica that they return.
  bool HasQuorumContact(Micros now) const;

  /// A moment, on this replica's clock, such that all that was committed anywhere before it has been applied
  /// here; 0 if none is known. A read that was asked for before it may be answered from the state of now
  /// (read index, Ongaro 2014, 6.4): a quorum has answered heartbeats that the leader sent after it, so that
  /// no other leader had been elected by then.
  Micros StateConfirmedAt() const;

  // ---- Group ----

  /// The id of this replica.
  const ReplicaId& id() const { return id_; }
  /// The voters by the latest membership change in the log, committed or not.
  const Members& members() const { return members_; }
  /// Whether `id` has a vote, as far as this replica knows.
  bool IsMember(const ReplicaId& id) const;
  /// Whether this replica should ask the leader to be added as a learner: it has no vote, or has been without
  /// quorum contact and so may not know that it has none.
  bool NeedsToJoin(Micros now) const { return !IsMember(id_) || !HasQuorumContact(now); }
  /// The other voters and the learners, for the membership policy; empty unless this replica leads.
  std::vector<FollowerStatus> FollowerStatuses() const;

  // ---- Log ----

  /// The last index whose entry has been handed to the state machine.
  Index applied() const { return applied_; }
  /// The last index of the log.
  Index last() const { return log_.last_index(); }
  /// The term of the entry at `index`; 0 if it is not held.
  Term TermAt(Index index) const { return log_.TermAt(index); }
  /// Number of entries after the snapshot.
  std::size_t entries_since_snapshot() const { return last() - snapshot_.index; }

  /// For tests that explore the state space: two replicas with the same text behave alike, times aside.
  std::string Fingerprint() const;

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
  /// A snapshot of which some chunks have been received.
  struct IncomingSnapshot {
    ReplicaId from;
    Index index = 0;
    Term term = 0;
    std::string state;
  };
  /// A quorum confirmation that takes effect once all up to `commit` is applied here.
  struct ReadProof {
    Index commit = 0;
    Micros confirmed_at = 0;  ///< By this replica's own clock.
  };

  // ---- replica.cpp ----

  std::size_t Quorum() const { return members_.size() / 2 + 1; }
  /// A message of `kind` in the current term.
  Message NewMessage(MessageKind kind, const ReplicaId& to) const;
  Index AppendEntry(Entry entry);
  void TruncateFrom(Index index);
  /// Sets the members from the latest membership change in the log.
  void RecomputeMembers();
  void CommitUpTo(Index index);

  // ---- election.cpp ----

  void ResetElectionTimer(Micros now);
  /// The next turn after an attempt at an election.
  void ScheduleNextAttempt(Micros now);
  /// Index in the members; their number if it is none of them.
  std::size_t PositionOf(const ReplicaId& id) const;
  std::uint64_t ElectionKey(const ReplicaId& id) const;
  /// This member's turn in the elections of this term, from 0.
  std::size_t ElectionRank() const;
  Micros SlotJitter();
  Micros NextStartupSlot(Micros now);
  bool InStartupPeriod(Micros now) const {
    return !seen_leader_ && now - started_at_ < timing_.startup_period;
  }
  void BecomeFollower(Term term, std::optional<Member> leader);
  void BecomeLeader(Micros now);
  void StartPreVote(Micros now);
  void StartElection(Micros now);
  void RequestVotes(Message request, Micros now);
  void CountVotes(Micros now);
  /// The other voters, in the order in which they should become candidates.
  std::vector<const FollowerProgress*> Successors(Micros now) const;
  void OnLeaderResigned(std::uint32_t rank, Micros now);
  bool IsLogUpToDate(const Message& candidate) const;
  /// Whether no lease can depend on this replica.
  bool IsLeaderless(Micros now) const;
  bool AllVotersLeaderless() const;
  void OnPreVote(const Message& message, Micros now);
  void OnVote(const Message& message, Micros now);
  void OnVoteReply(const Message& message, Micros now);

  // ---- lease.cpp ----

  /// When the lease that a quorum has acknowledged began; 0 without one.
  Micros LeaseStart() const;
  /// Whether a lease may be held that this replica has acknowledged, or holds itself.
  bool LeaseMayBeHeld(Micros now) const;
  /// Whether a quorum has answered lately enough for this leader to stay one.
  bool IsQuorumActive(Micros now) const;
  void AddReadProof(const Message& heartbeat);
  void ApplyReadProofs();

  // ---- follower.cpp ----

  void OnLeaderContact(const Message& message, Micros now);
  void OnHeartbeat(const Message& message, Micros now);
  void OnAppend(const Message& message, Micros now);
  /// Appends the entries of `message` after its index, where the log matches.
  void StoreEntries(const Message& message);
  void OnSnapshot(const Message& message, Micros now);
  /// True once the snapshot is complete.
  bool AddSnapshotChunk(const Message& message);
  void InstallSnapshot(Snapshot snapshot);

  // ---- replication.cpp ----

  void SyncFollowers(Micros now);
  void RemoveUnresponsiveLearners(Micros now);
  void SendAppends(Micros now);
  void SendAppend(FollowerProgress& follower, Micros now);
  void SendSnapshotChunk(FollowerProgress& follower);
  void SendHeartbeats(Micros now);
  /// A heartbeat without the time at which it is sent, and without the lease.
  Message HeartbeatFor(const FollowerProgress& follower) const;
  void OnHeartbeatReply(const Message& message, Micros now);
  void OnAppendReply(const Message& message, Micros now);
  void OnSnapshotReply(const Message& message, Micros now);
  /// The follower that sent the reply; null if it is not one of this leader's in its term.
  FollowerProgress* FindReplyingFollower(const Message& reply);
  void UpdateCatchUpRound(FollowerProgress& follower, Micros now) const;
  /// The highest value that a quorum of the group has reached: `own` here, `of(follower)` elsewhere; 0 if
  /// none.
  template <class Value, class Of>
  Value ReachedByQuorum(Value own, Of of) const;
  void AdvanceCommit();

  const ReplicaId id_;
  const Timing timing_;
  Random random_;

  // ---- Durable state, and what follows from it ----

  HardState hard_;
  Snapshot snapshot_;
  Log log_;
  Members bootstrap_members_;
  Members members_;
  Index members_index_ = 0;  // of the entry that set members_
  Index commit_ = 0;
  Index applied_ = 0;

  // ---- Role and timers ----

  Role role_ = Role::kFollower;
  std::optional<Member> known_leader_;
  Term resigned_term_ = 0;  // whose leader has resigned, as this replica knows
  ReplicaId last_leader_;   // also while no leader is known; empty if there was none in this process
  Micros now_ = 0;
  Micros started_at_ = 0;
  Micros last_leader_contact_at_ = 0;
  Micros election_deadline_ = 0;
  bool seen_leader_ = false;   // has led, or had contact with a leader, since the process started
  int elections_started_ = 0;  // since the process started; pre-votes do not count
  std::set<ReplicaId> votes_granted_;
  std::set<ReplicaId> leaderless_voters_;  // in this election

  // ---- Follower ----

  std::deque<ReadProof> pending_read_proofs_;  // of heartbeats whose commits are not yet applied
  Micros quorum_confirmed_at_ = 0;             // by its own clock; 0 if not yet in this process
  std::optional<IncomingSnapshot> incoming_snapshot_;

  // ---- Leader ----

  Index durable_index_ = 0;  // of its own log, counted from the start of its term
  Micros leader_since_ = 0;
  Index term_start_index_ = 0;  // of the first entry in its term
  Micros next_heartbeat_at_ = 0;
  std::map<ReplicaId, FollowerProgress> followers_;
  std::map<ReplicaId, Member> learners_;
  std::set<ReplicaId> draining_;

  Effects effects_;
};

template <class Value, class Of>
Value Replica::ReachedByQuorum(Value own, Of of) const {
  std::vector<Value> reached;
  for (const Member& member : members_) {
    const auto it = followers_.find(member.id);
    const Value elsewhere = it == followers_.end() ? Value{0} : of(it->second);
    reached.push_back(member.id == id_ ? own : elsewhere);
  }
  if (reached.size() < Quorum()) return 0;
  std::sort(reached.rbegin(), reached.rend());
  return reached[Quorum() - 1];
}

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_REPLICA_HPP_
