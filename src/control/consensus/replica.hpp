// Replicated log of one shard: leader election with pre-votes, replication, commitment by quorum, membership
// changes one replica at a time, snapshots for replicas that are behind, and a leader lease on the steady
// clock. After Ongaro, "Consensus: Bridging Theory and Practice" (2014). A replica is a disk: its id is drawn
// when the disk's store is created, so that a machine whose disk was lost never votes on what the old one had
// promised.
//
// A core: it holds no clock, socket, file or thread. Time comes in with each event, randomness by its seed.
#ifndef VIOLETWING_CONTROL_CONSENSUS_REPLICA_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_REPLICA_HPP_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"

namespace violetwing::consensus {

using Index = std::uint64_t;
using Term = std::uint64_t;
using ReplicaId = std::string;

// A replica of the group and the address at which its process takes internal calls.
struct Member {
  ReplicaId id;
  std::string address;
  bool operator==(const Member&) const = default;
};
using Members = std::vector<Member>;

enum class EntryKind { kCommand, kNoop, kMembers };

struct Entry {
  Term term = 0;
  EntryKind kind = EntryKind::kCommand;
  std::string command;  // of kCommand
  Members members;      // of kMembers: the whole group from this entry on
};

// All that the log up to `index` has led to.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Members members;
  std::string state;
};

// What a vote depends on. It is on disk before the vote leaves.
struct HardState {
  Term term = 0;
  ReplicaId vote;
  bool operator==(const HardState&) const = default;
};

enum class MessageKind {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kHeartbeat,
  kHeartbeatReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  kSnapshotReply,  // to a piece that is not the last
};

struct Message {
  MessageKind kind = MessageKind::kHeartbeat;
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  Index index = 0;    // kAppend: before the entries; votes: the candidate's last; replies: what is held
  Term log_term = 0;  // the term of the entry at `index`
  Index commit = 0;
  Index leader_commit = 0;  // of heartbeats: all that is committed, held by the receiver or not
  bool granted = false;     // of replies
  // kPreVoteReply: the sender knows of no leader, see Timing::settle. kVote: all voters have said so.
  bool leaderless = false;
  Micros sent_at = 0;  // by the leader's clock; heartbeat replies return it
  // By the follower's clock: when it sent the last heartbeat reply that the leader has. Heartbeats return it.
  Micros follower_sent_at = 0;
  // Heartbeats: how long ago the leader sent what a quorum has confirmed since; negative without a lease.
  Micros quorum_age = -1;
  std::vector<Entry> entries;
  // kSnapshot: its state is the piece from `offset` of `size` bytes. kSnapshotReply: `index` of the snapshot
  // and, as `offset`, how many bytes of it are held.
  std::optional<Snapshot> snapshot;
  std::size_t offset = 0;
  std::size_t size = 0;
};

// What was read from disk at the start.
struct StoredState {
  HardState hard;
  Snapshot snapshot;
  std::vector<Entry> entries;  // from snapshot.index + 1 on
};

struct Timing {
  Micros heartbeat = 120'000;
  Micros election_least = 600'000;  // no vote within this time of a leader's word
  Micros election_most = 1'000'000;
  Micros lease = 450'000;  // from the sending of heartbeats that a quorum answered; below election_least
  // How old a follower's proof may be, by its own clock, that it holds all that was committed then. It bounds
  // how old an answer can be that needs no log entry. Above two heartbeats and two round trips.
  Micros follower_proof = 900'000;
  Micros append_again = 400'000;  // an append without an answer is sent again after so long
  // A process that has started looks for votes at once, and often, until it has heard a leader. Where all
  // voters have started so and none leads or is a candidate, no lease can hold: they elect without waiting
  // for its end.
  Micros settle = 200'000;  // first after this: a reader without a vote may trust the old leader for `lease`
  // Then they take turns, in the order of the group's members, so that votes are not split. Longer than a
  // tick of the shell and a round of votes.
  Micros start_turn = 100'000;
  // Whose turn is first, of the members, modulo their number: groups differ, so that their leaders do.
  std::size_t start_first = 0;
  Micros start_for = 5'000'000;  // after that rounds come as in any election
};

// What the shell has to do after an event, in this order.
struct Effects {
  // To be written before `messages_after_write` leave.
  std::optional<HardState> hard;
  std::optional<Snapshot> snapshot;  // replaces all entries up to its index
  bool replaces_log = false;         // the snapshot replaces the later entries too
  Index first = 0;                   // index of `entries`; what was stored from there on is dropped
  std::vector<Entry> entries;
  // Messages that promise nothing, and those that promise what is written above or was before.
  std::vector<Message> messages;
  std::vector<Message> messages_after_write;
  // For the state machine: a snapshot to load, then entries to apply.
  std::optional<Snapshot> load;
  std::vector<std::pair<Index, Entry>> committed;

  bool WritesAnything() const { return hard || snapshot || first > 0; }
};

class Replica {
 public:
  // `id` is empty only in tests of messages. `founders` is the group where nothing is stored yet.
  Replica(ReplicaId id, Members founders, StoredState stored, Timing timing, std::uint64_t seed, Micros now);

  void Step(const Message& message, Micros now);
  void Tick(Micros now);
  // Leaders only; the index at which it may come to stand.
  std::optional<Index> Propose(std::string command);
  // One replica more or fewer than now. Only a leader that has committed in its term, one change at a time.
  bool ProposeMembers(Members members);
  // Sends the log to a replica that has no vote.
  void AddLearner(const Member& learner, Micros now);
  // The shell's disk holds entries up to `index`, the last of them of `term`.
  void Written(Index index, Term term);
  // All that was committed up to the applied index has led to `state`.
  void Compact(std::string state);

  Effects TakeEffects();

  bool leader() const { return role_ == Role::kLeader; }
  // A leader whose word a quorum has confirmed so lately that no other can have been elected.
  bool HasLease(Micros now) const;
  // A leader that has applied all that was committed before its term.
  bool Ready() const { return leader() && TermAt(applied_) == hard_.term; }
  // Whether this replica has lately held all that was committed: a leader by its lease, a follower by the
  // moment, on its own clock, at which a quorum is known to have confirmed a leader all of whose commits have
  // been applied here since. Messages that were held up, or lay unread while the process stood still, prove
  // nothing later than the reply of this replica that they return.
  bool HasQuorumContact(Micros now) const;
  const std::optional<Member>& known_leader() const { return known_leader_; }
  Term term() const { return hard_.term; }
  const Members& members() const { return members_; }
  const ReplicaId& id() const { return id_; }
  bool IsMember(const ReplicaId& id) const;
  // It has no vote, as far as it knows, or has long heard nothing that would tell it that it has none.
  bool WantsToJoin(Micros now) const { return !IsMember(id_) || !HasQuorumContact(now); }
  Index applied() const { return applied_; }
  Index last() const { return base_ + entries_.size(); }
  // Of the entry at that index; 0 if it is not held.
  Term TermAt(Index index) const;
  // Entries after the snapshot.
  std::size_t entries() const { return last() - snapshot_.index; }

  // For the policy on members; leaders only.
  struct Progress {
    Member member;
    bool voter = false;
    Micros heard_at = 0;
    bool caught_up = false;
    bool leaving = false;
  };
  std::vector<Progress> Followers() const;
  // The process of this replica has said that it is about to end, or is there again.
  void SetLeaving(const ReplicaId& id, bool leaving);
  // All that decides what this replica does next, times aside: for tests that explore its states.
  std::string Fingerprint() const;

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
  struct Follower {
    Member member;
    Index next = 1;
    Index match = 0;
    Micros heard_at = 0;
    Micros confirmed_at = 0;   // sending time of the last heartbeat that it answered
    Micros appended_at = 0;    // of the append that is on its way; 0 without one
    Micros reply_sent_at = 0;  // by its own clock: of its last heartbeat reply
    // It has caught up once it holds, within `election_least`, all that stood in the log when the round
    // began.
    Index round_target = 0;
    Micros round_began_at = 0;
    Micros caught_up_at = 0;
    // A snapshot on its way there stays the same until it is held whole.
    std::shared_ptr<const Snapshot> snapshot;
    std::size_t snapshot_offset = 0;
  };
  // A snapshot that comes in pieces.
  struct Incoming {
    ReplicaId from;
    Index index = 0;
    Term term = 0;
    std::string state;
  };
  // A follower's proof that comes into force once all up to `commit` is applied.
  struct Proof {
    Index commit = 0;
    Micros at = 0;
  };

  const Entry& At(Index index) const { return entries_[index - base_ - 1]; }
  std::size_t Quorum() const { return members_.size() / 2 + 1; }
  // A lease may hold that this replica has confirmed, or that it holds itself.
  bool LeaseMayHold(Micros now) const;
  bool UpToDate(const Message& candidate) const;

  void BecomeFollower(Term term, std::optional<Member> leader);
  void Campaign(bool real, Micros now);
  Micros NextTurn(Micros now);
  bool Starting(Micros now) const { return !met_leader_ && now - started_at_ < timing_.start_for; }
  bool KnowsNoLeader(Micros now) const;
  bool AllKnowNoLeader() const;
  void CountVotes(Micros now);
  void BecomeLeader(Micros now);
  void ResetElection(Micros now);

  void OnPreVote(const Message& message, Micros now);
  void OnVote(const Message& message, Micros now);
  void OnVoteReply(const Message& message, Micros now);
  void OnHeartbeat(const Message& message, Micros now);
  void OnHeartbeatReply(const Message& message, Micros now);
  void OnAppend(const Message& message, Micros now);
  void OnAppendReply(const Message& message, Micros now);
  void OnSnapshot(const Message& message, Micros now);
  void OnSnapshotReply(const Message& message, Micros now);
  void HearLeader(const Message& message, Micros now);
  // Adds a piece; true once the snapshot is whole.
  bool TakePiece(const Message& message);
  void Install(Snapshot snapshot);
  void TakeProof(const Message& heartbeat);
  void UseProofs();

  Index Append(Entry entry);
  void TruncateFrom(Index index);
  void TrimTrailing();
  void FindMembers();
  void SyncFollowers(Micros now);
  void SendAppend(Follower& follower, Micros now);
  void SendSnapshot(Follower& follower);
  void CountRound(Follower& follower, Micros now) const;
  void ForgetSilentLearners(Micros now);
  void Broadcast(Micros now);
  void SendHeartbeats(Micros now);
  // The highest value that a quorum of the group has reached: `own` here, `of(follower)` elsewhere.
  template <class Value, class Of>
  Value ReachedByQuorum(Value own, Of of) const;
  void AdvanceCommit();
  void CommitUpTo(Index index);
  Micros LeaseStart() const;
  bool HearsQuorum(Micros now) const;
  Message Make(MessageKind kind, const ReplicaId& to) const;

  const ReplicaId id_;
  const Timing timing_;
  Random random_;
  HardState hard_;
  Snapshot snapshot_;
  // From `base_` + 1 on. Some that the snapshot covers are kept, so that a replica that was behind when the
  // snapshot was sent to it finds its next entries.
  std::deque<Entry> entries_;
  Index base_ = 0;
  Term base_term_ = 0;
  Members founders_;
  Members members_;
  Index members_index_ = 0;  // of the entry that set them
  Index commit_ = 0;
  Index applied_ = 0;
  Index written_ = 0;  // of its own log, as leader

  Role role_ = Role::kFollower;
  std::optional<Member> known_leader_;
  Micros now_ = 0;
  Micros leader_heard_at_ = 0;
  std::deque<Proof> proofs_;  // of heartbeats whose commits are not yet applied
  Micros proven_at_ = 0;      // by its own clock; 0 without a proof in this process's incarnation
  std::optional<Incoming> incoming_;
  Micros election_at_ = 0;
  Micros heartbeat_at_ = 0;
  Micros led_since_ = 0;
  Index term_start_ = 0;  // of the leader's first entry in its term
  Micros started_at_ = 0;
  bool met_leader_ = false;  // has led, or heard a leader, since the process began
  int campaigns_ = 0;        // for real votes, since the process began
  std::set<ReplicaId> votes_;
  std::set<ReplicaId> leaderless_;  // those that know of no leader, in this round
  std::map<ReplicaId, Follower> followers_;
  std::map<ReplicaId, Member> learners_;
  std::set<ReplicaId> leaving_;

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
