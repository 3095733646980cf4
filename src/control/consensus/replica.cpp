// Construction, message dispatch, proposals, the log, and the membership derived from it.
#include "control/consensus/replica.hpp"

#include <algorithm>
#include <utility>

namespace violetwing::consensus {

Replica::Replica(ReplicaId id, Members bootstrap_members, StoredState stored, Timing timing,
                 std::uint64_t seed, Micros now)
    : id_(std::move(id)),
      timing_(timing),
      random_(seed, id_),
      hard_state_(std::move(stored.hard_state)),
      snapshot_(std::move(stored.snapshot)),
      log_(snapshot_.index, snapshot_.term, std::move(stored.entries)),
      bootstrap_members_(std::move(bootstrap_members)),
      commit_(snapshot_.index),
      applied_(snapshot_.index),
      now_(now),
      started_at_(now),
      last_leader_contact_at_(now),  // it may have acknowledged a lease just before a restart
      durable_index_(log_.last_index()) {
  RecomputeMembers();
  if (snapshot_.index > 0) effects_.snapshot_to_load = snapshot_;
  ResetElectionTimer(now);
}

bool Replica::IsMember(const ReplicaId& id) const {
  return std::any_of(members_.begin(), members_.end(), [&](const Member& member) { return member.id == id; });
}

// ---- Messages ----

Message Replica::NewMessage(MessageKind kind, const ReplicaId& to) const {
  Message message;
  message.kind = kind;
  message.from = id_;
  message.to = to;
  message.term = hard_state_.term;
  return message;
}

void Replica::Step(const Message& message, Micros now) {
  now_ = now;
  if (message.to != id_) return;
  switch (message.kind) {
    case MessageKind::kPreVote:
      return OnPreVote(message, now);
    case MessageKind::kVote:
      return OnVote(message, now);
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      return OnVoteReply(message, now);
    case MessageKind::kHeartbeat:
      return OnHeartbeat(message, now);
    case MessageKind::kHeartbeatReply:
      return OnHeartbeatReply(message, now);
    case MessageKind::kAppend:
      return OnAppend(message, now);
    case MessageKind::kAppendReply:
      return OnAppendReply(message, now);
    case MessageKind::kSnapshot:
      return OnSnapshot(message, now);
    case MessageKind::kSnapshotReply:
      return OnSnapshotReply(message, now);
  }
}

Effects Replica::TakeEffects() { return std::exchange(effects_, {}); }

// ---- Proposals ----

ProposeResult Replica::Propose(std::string command) {
  if (!leader()) return ProposeError::kNotLeader;
  const Index index = AppendEntry({hard_state_.term, EntryKind::kCommand, std::move(command), {}});
  SendAppends(now_);
  return index;
}

ProposeResult Replica::ProposeMembers(Members members) {
  if (!leader()) return ProposeError::kNotLeader;
  if (!Ready()) return ProposeError::kNotReady;
  if (members_index_ > commit_) return ProposeError::kChangeInProgress;
  if (members == members_) return ProposeError::kUnchanged;
  const Index index = AppendEntry({hard_state_.term, EntryKind::kMembers, {}, std::move(members)});
  SyncFollowers(now_);
  SendAppends(now_);
  return index;
}

void Replica::AddLearner(const Member& learner, Micros now) {
  if (learner.id == id_ || IsMember(learner.id)) return;
  learners_[learner.id] = learner;
  if (leader()) SyncFollowers(now);
}

void Replica::SetDraining(const ReplicaId& id, bool draining) {
  if (draining)
    draining_.insert(id);
  else
    draining_.erase(id);
}

// ---- The log ----

Index Replica::AppendEntry(Entry entry) {
  const bool changes_members = entry.kind == EntryKind::kMembers;
  effects_.RecordAppend(last() + 1, entry);
  log_.Append(std::move(entry));
  if (changes_members) RecomputeMembers();
  return last();
}

void Replica::TruncateFrom(Index index) {
  log_.TruncateFrom(index);
  effects_.RecordTruncation(index);
  RecomputeMembers();
}

void Replica::RecomputeMembers() {
  members_index_ = snapshot_.index;
  members_ = snapshot_.index > 0 ? snapshot_.members : bootstrap_members_;
  for (Index index = last(); index > snapshot_.index; --index) {
    if (log_.At(index).kind != EntryKind::kMembers) continue;
    members_ = log_.At(index).members;
    members_index_ = index;
    break;
  }
}

void Replica::CommitUpTo(Index index) {
  commit_ = std::max(commit_, index);
  while (applied_ < commit_) {
    ++applied_;
    effects_.committed.emplace_back(applied_, log_.At(applied_));
  }
}

void Replica::Compact(std::string state) {
  if (applied_ <= snapshot_.index) return;
  Members members = snapshot_.index > 0 ? snapshot_.members : bootstrap_members_;
  for (Index index = snapshot_.index + 1; index <= applied_; ++index)
    if (log_.At(index).kind == EntryKind::kMembers) members = log_.At(index).members;
  snapshot_ = Snapshot{applied_, TermAt(applied_), std::move(members), std::move(state)};
  log_.Compact(snapshot_.index);
  effects_.snapshot = snapshot_;
}

}  // namespace violetwing::consensus
