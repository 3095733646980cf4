// One replica of a replicated log, an implementation of Raft: leader election with pre-votes, log
// replication, commitment by quorum, membership changes of one replica at a time, snapshots for lagging
// replicas, and a leader lease on the steady clock. It follows Ongaro, "Consensus: Bridging Theory and
// Practice" (2014), cited as "Ongaro 2014".
//
// The identity of a replica is that of its disk: the id is generated when the disk's store is created. A
// machine that lost its disk returns as a new replica, so it never votes on behalf of the old one without the
// entries that the old one had acknowledged.
//
// The algorithm uses no clock, sockets, files or threads. Each event carries the current time, a seed
// provides randomness, and the host carries out the effects. The implementation is split by concern:
// replica.cpp (construction, dispatch, proposals), election.cpp, lease.cpp, follower.cpp (the follower's side
// of replication) and replication.cpp (the leader's side).
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
  kNotLeader,         ///< This replica is not the leader; try known_leader().
  kNotReady,          ///< The leader has not yet committed an entry of its term (Ongaro 2014, 4.1).
  kChangeInProgress,  ///< The previous membership change is not committed yet.
  kUnchanged,         ///< The group already has these members.
};

/// The index of the appended entry, or why none was appended. An appended entry can still be lost if its
/// leader fails.
using ProposeResult = std::variant<Index, ProposeError>;

/// Whether the proposal was appended to the leader's log.
inline bool IsAppended(const ProposeResult& result) { return std::holds_alternative<Index>(result); }

/// A replica in the role of leader, candidate or follower of its group. After each call the host must take
/// the effects and carry them out. Not thread-safe. `now` is the host's steady clock in microseconds and must
/// not decrease between calls.
class Replica {
 public:
  /// `id` is that of the disk and is empty only in tests of messages. `bootstrap_members` are the members of
  /// the group as long as no others are stored; empty for a replica that joins an existing group. `seed`
  /// drives the random part of election timeouts.
  Replica(ReplicaId id, Members bootstrap_members, StoredState stored, Timing timing, std::uint64_t seed,
          Micros now);

  // ---- Events ----

  /// Handles a message. A message addressed to another id is ignored: it is meant for an earlier disk of this
  /// machine.
  void Step(const Message& message, Micros now);
  /// Handles timers. Must be called several times per heartbeat interval.
  void Tick(Micros now);
  /// The time at which the next election is due and Tick must be called at the latest. It may be in the past.
  /// Empty while this replica is the leader or has no vote.
  std::optional<Micros> NextElectionAt() const {
    return leader() || !IsMember(id_) ? std::nullopt : std::optional(election_deadline_);
  }
  /// Appends a command to the leader's log and sends it to the followers. Fails with kNotLeader.
  ProposeResult Propose(std::string command);
  /// Appends a membership change, which must add or remove one member. Can fail with any ProposeError.
  ProposeResult ProposeMembers(Members members);
  /// Starts replication to a replica without a vote, so that it can become a member. Ignored for members.
  void AddLearner(const Member& learner, Micros now);
  /// Reports that the log is durable up to `index`, whose entry has the term `term`.
  void OnLogDurable(Index index, Term term);
  /// Gives up leadership and the lease immediately and asks the followers to elect another leader. Reachable
  /// followers that store the most entries become candidates first. This is a variant of leadership transfer
  /// (Ongaro 2014, 3.10) in which voters may vote immediately, and if the first successor fails, the next one
  /// becomes a candidate. Ignored unless this replica is the leader.
  void Resign(Micros now);
  /// Records whether the process of replica `id` has announced its shutdown.
  void SetDraining(const ReplicaId& id, bool draining);
  /// Replaces the entries up to applied() with a snapshot whose state is `state`.
  void Compact(std::string state);

  /// Returns the effects of the events since the last call.
  Effects TakeEffects();

  // ---- Leadership and lease ----

  /// Whether this replica is the leader of its term. Unless HasLease(), a later term may have another leader.
  bool leader() const { return role_ == Role::kLeader; }
  /// The leader of this replica's term, possibly itself; empty if unknown. Its address is empty if it is not
  /// among the members.
  const std::optional<Member>& known_leader() const { return known_leader_; }
  /// The current term.
  Term term() const { return hard_state_.term; }
  /// Whether this replica is the leader and a quorum has acknowledged it so recently that no other leader can
  /// have been elected (Ongaro 2014, 6.4.1).
  bool HasLease(Micros now) const;
  /// Whether this replica is the leader and has applied all entries committed before its term.
  bool Ready() const { return leader() && TermAt(applied_) == hard_state_.term; }
  /// Whether this replica had recently applied all committed entries, so that its state may be read. For a
  /// leader, this follows from its lease. For a follower, it follows from the latest time, on its own clock,
  /// at which a quorum confirmed a leader whose commits have all been applied here since. A heartbeat
  /// confirms nothing later than the reply of this replica whose time it returns, even if it was delayed or
  /// stayed unread while the process was paused.
  bool HasQuorumContact(Micros now) const;

  /// The latest known time, on this replica's clock, before which every entry committed on any replica has
  /// been applied here; 0 if none is known. A read requested before this time may be served from the current
  /// state (read index, Ongaro 2014, 6.4): a quorum has answered heartbeats that the leader sent at or after
  /// this time, so no other leader had been elected by then.
  Micros StateConfirmedAt() const;

  // ---- Group ----

  /// The id of this replica.
  const ReplicaId& id() const { return id_; }
  /// The voters according to the latest membership change in the log, whether or not it is committed.
  const Members& members() const { return members_; }
  /// Whether `id` is a voter according to this replica's log.
  bool IsMember(const ReplicaId& id) const;
  /// Whether this replica should ask the leader to add it as a learner. This is the case if it has no vote,
  /// or no quorum contact and therefore may not know that it was removed.
  bool NeedsToJoin(Micros now) const { return !IsMember(id_) || !HasQuorumContact(now); }
  /// The other voters and the learners, for the membership policy; empty unless this replica is the leader.
  std::vector<FollowerStatus> FollowerStatuses() const;

  // ---- Log ----

  /// The index of the last entry passed to the state machine.
  Index applied() const { return applied_; }
  /// The last index of the log.
  Index last() const { return log_.last_index(); }
  /// The term of the entry at `index`; 0 if it is not in the log.
  Term TermAt(Index index) const { return log_.TermAt(index); }
  /// Number of entries after the snapshot.
  std::size_t entries_since_snapshot() const { return last() - snapshot_.index; }

  /// The state as text, for tests that explore the state space. Replicas with the same text behave
  /// identically, except for timing.
  std::string Fingerprint() const;

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
  /// A partially received snapshot.
  struct IncomingSnapshot {
    ReplicaId from;
    Index index = 0;
    Term term = 0;
    std::string state;
  };
  /// A confirmation by a quorum that takes effect once all entries up to `commit` are applied here.
  struct QuorumConfirmation {
    Index commit = 0;
    Micros confirmed_at = 0;  ///< On this replica's own clock.
  };

  // ---- replica.cpp ----

  std::size_t Quorum() const { return members_.size() / 2 + 1; }
  /// Creates a message of `kind` in the current term.
  Message NewMessage(MessageKind kind, const ReplicaId& to) const;
  Index AppendEntry(Entry entry);
  void TruncateFrom(Index index);
  /// Sets the members from the latest membership change in the log.
  void RecomputeMembers();
  void CommitUpTo(Index index);

  // ---- election.cpp ----

  void ResetElectionTimer(Micros now);
  /// Sets the election deadline to this replica's next slot, in case the current attempt fails.
  void ScheduleNextAttempt(Micros now);
  /// Index of `id` in the members; their number if it is not among them.
  std::size_t PositionOf(const ReplicaId& id) const;
  std::uint64_t ElectionKey(const ReplicaId& id) const;
  /// The rank of this member in the election order of the current term, from 0.
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
  /// The other voters in the order in which they should become candidates.
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

  /// Start of the lease that a quorum has acknowledged; 0 if there is none.
  Micros LeaseStart() const;
  /// Whether a lease may still be held that this replica has acknowledged or holds itself.
  bool LeaseMayBeHeld(Micros now) const;
  /// Whether a quorum has answered recently enough for this replica to remain the leader.
  bool IsQuorumActive(Micros now) const;
  void AddQuorumConfirmation(const Message& heartbeat);
  void ApplyQuorumConfirmations();

  // ---- follower.cpp ----

  void OnLeaderContact(const Message& message, Micros now);
  void OnHeartbeat(const Message& message, Micros now);
  void OnAppend(const Message& message, Micros now);
  /// Stores the entries of `message`. The log must match at the index of `message`.
  void StoreEntries(const Message& message);
  void OnSnapshot(const Message& message, Micros now);
  /// Returns true once the snapshot is complete.
  bool AddSnapshotChunk(const Message& message);
  void InstallSnapshot(Snapshot snapshot);

  // ---- replication.cpp ----

  void SyncFollowers(Micros now);
  void RemoveUnresponsiveLearners(Micros now);
  void SendAppends(Micros now);
  void SendAppend(FollowerProgress& follower, Micros now);
  void SendSnapshotChunk(FollowerProgress& follower);
  void SendHeartbeats(Micros now);
  /// Creates a heartbeat without its sending time and lease information.
  Message HeartbeatFor(const FollowerProgress& follower) const;
  void OnHeartbeatReply(const Message& message, Micros now);
  void OnAppendReply(const Message& message, Micros now);
  void OnSnapshotReply(const Message& message, Micros now);
  /// The follower that sent the reply. Null if this replica is not the leader of the reply's term or does not
  /// replicate to the sender.
  FollowerProgress* FindReplyingFollower(const Message& reply);
  void UpdateCatchUpRound(FollowerProgress& follower, Micros now) const;
  /// The highest value that a quorum of the group has reached, where the value is `own_value` for this
  /// replica and `value_of(follower)` for others; 0 if there is none.
  template <class Value, class ValueOf>
  Value ReachedByQuorum(Value own_value, ValueOf value_of) const;
  void AdvanceCommit();

  const ReplicaId id_;
  const Timing timing_;
  Random random_;

  // ---- Durable state and state derived from it ----

  HardState hard_state_;
  Snapshot snapshot_;
  Log log_;
  Members bootstrap_members_;
  Members members_;
  Index members_index_ = 0;  // index of the entry that set members_; that of the snapshot if none did
  Index commit_ = 0;
  Index applied_ = 0;

  // ---- Role and timers ----

  Role role_ = Role::kFollower;
  std::optional<Member> known_leader_;
  Term resigned_term_ = 0;  // latest term whose leader is known to have resigned
  ReplicaId last_leader_;   // kept while no leader is known; empty before the first one in this process
  Micros now_ = 0;
  Micros started_at_ = 0;
  Micros last_leader_contact_at_ = 0;
  Micros election_deadline_ = 0;
  bool seen_leader_ = false;   // has led or had contact with a leader since the process started
  int elections_started_ = 0;  // since the process started, without pre-votes
  std::set<ReplicaId> votes_granted_;
  std::set<ReplicaId> leaderless_voters_;  // voters that reported this in the current election

  // ---- Follower ----

  std::deque<QuorumConfirmation> pending_confirmations_;  // of heartbeats whose commits are not yet applied
  Micros quorum_confirmed_at_ = 0;  // on its own clock; 0 before the first one in this process
  std::optional<IncomingSnapshot> incoming_snapshot_;

  // ---- Leader ----

  Index durable_index_ = 0;  // durable part of its own log, tracked from the start of its term
  Micros leader_since_ = 0;
  Index term_start_index_ = 0;  // index of its first entry of this term
  Micros next_heartbeat_at_ = 0;
  std::map<ReplicaId, FollowerProgress> followers_;
  std::map<ReplicaId, Member> learners_;
  std::set<ReplicaId> draining_;

  Effects effects_;
};

template <class Value, class ValueOf>
Value Replica::ReachedByQuorum(Value own_value, ValueOf value_of) const {
  std::vector<Value> reached;
  for (const Member& member : members_) {
    const auto it = followers_.find(member.id);
    const Value value = it == followers_.end() ? Value{0} : value_of(it->second);
    reached.push_back(member.id == id_ ? own_value : value);
  }
  if (reached.size() < Quorum()) return 0;
  std::sort(reached.rbegin(), reached.rend());
  return reached[Quorum() - 1];
}

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_REPLICA_HPP_
