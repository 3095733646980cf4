#include "control/consensus/replica.hpp"

#include <algorithm>
#include <utility>

namespace violetwing::consensus {
namespace {

// Heartbeats that a follower remembers while it has not applied what they tell of.
constexpr std::size_t kMostProofs = 64;
// Of the entries that a snapshot covers, so many of the last are kept, and bytes of their commands: a replica
// finds there what has come while a snapshot was sent to it. At 12 changes a second, 40 s.
constexpr std::size_t kMostTrailing = 512;
constexpr std::size_t kMostTrailingBytes = std::size_t{1024} * 1024;

}  // namespace

Replica::Replica(ReplicaId id, Members founders, StoredState stored, Timing timing, std::uint64_t seed,
                 Micros now)
    : id_(std::move(id)),
      timing_(timing),
      random_(seed, id_),
      hard_(std::move(stored.hard)),
      snapshot_(std::move(stored.snapshot)),
      entries_(std::make_move_iterator(stored.entries.begin()),
               std::make_move_iterator(stored.entries.end())),
      base_(snapshot_.index),
      base_term_(snapshot_.term),
      founders_(std::move(founders)),
      commit_(snapshot_.index),
      applied_(snapshot_.index),
      written_(snapshot_.index + entries_.size()),
      now_(now),
      leader_heard_at_(now),  // it may have promised a lease just before it was restarted
      started_at_(now) {
  FindMembers();
  if (snapshot_.index > 0) effects_.load = snapshot_;
  ResetElection(now);
}

bool Replica::IsMember(const ReplicaId& id) const {
  return std::any_of(members_.begin(), members_.end(), [&](const Member& m) { return m.id == id; });
}

Term Replica::TermAt(Index index) const {
  if (index == base_) return base_term_;
  if (index < base_ || index > last()) return 0;
  return At(index).term;
}

// ---- Messages ----

Message Replica::Make(MessageKind kind, const ReplicaId& to) const {
  Message message;
  message.kind = kind;
  message.from = id_;
  message.to = to;
  message.term = hard_.term;
  return message;
}

void Replica::Step(const Message& message, Micros now) {
  now_ = now;
  if (message.to != id_) return;  // meant for another disk
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

void Replica::HearLeader(const Message& message, Micros now) {
  Member leader{message.from, {}};
  for (const Member& member : members_)
    if (member.id == message.from) leader = member;
  if (message.term > hard_.term || role_ != Role::kFollower)
    BecomeFollower(message.term, leader);
  else
    known_leader_ = leader;
  met_leader_ = true;
  leader_heard_at_ = now;
  ResetElection(now);
}

void Replica::OnHeartbeat(const Message& message, Micros now) {
  if (message.term < hard_.term) {
    // Tells a leader of an earlier term that its time is over.
    effects_.messages_after_write.push_back(Make(MessageKind::kAppendReply, message.from));
    return;
  }
  HearLeader(message, now);
  TakeProof(message);
  CommitUpTo(std::min(message.commit, last()));
  UseProofs();
  Message reply = Make(MessageKind::kHeartbeatReply, message.from);
  reply.sent_at = message.sent_at;
  reply.follower_sent_at = now;
  effects_.messages.push_back(std::move(reply));
}

// The leader had this replica's reply before it sent the heartbeat, and what a quorum had confirmed by then
// was sent no longer ago than it says: both are measured back from this replica's own reading of its clock.
void Replica::TakeProof(const Message& heartbeat) {
  if (heartbeat.follower_sent_at <= 0 || heartbeat.quorum_age < 0) return;
  const Proof proof{heartbeat.leader_commit, heartbeat.follower_sent_at - heartbeat.quorum_age};
  if (!proofs_.empty() && proofs_.back().commit >= proof.commit) {
    if (proofs_.back().commit == proof.commit) proofs_.back().at = std::max(proofs_.back().at, proof.at);
    return;
  }
  if (proofs_.size() < kMostProofs) proofs_.push_back(proof);
}

void Replica::UseProofs() {
  while (!proofs_.empty() && proofs_.front().commit <= applied_) {
    proven_at_ = std::max(proven_at_, proofs_.front().at);
    proofs_.pop_front();
  }
}

void Replica::OnHeartbeatReply(const Message& message, Micros now) {
  const auto it = followers_.find(message.from);
  if (!leader() || message.term != hard_.term || it == followers_.end()) return;
  it->second.heard_at = now;
  it->second.confirmed_at = std::max(it->second.confirmed_at, message.sent_at);
  it->second.reply_sent_at = std::max(it->second.reply_sent_at, message.follower_sent_at);
}

void Replica::OnAppend(const Message& message, Micros now) {
  Message reply = Make(MessageKind::kAppendReply, message.from);
  if (message.term >= hard_.term) {
    HearLeader(message, now);
    reply.term = hard_.term;
    if (message.index < snapshot_.index) {  // all up to the snapshot is known to agree
      reply.granted = true;
      reply.index = snapshot_.index;
    } else if (message.index > last() || TermAt(message.index) != message.log_term) {
      reply.index = std::min(last(), message.index > 0 ? message.index - 1 : 0);
    } else {
      for (std::size_t i = 0; i < message.entries.size(); ++i) {
        const Index at = message.index + 1 + i;
        if (at <= last() && TermAt(at) == message.entries[i].term) continue;
        if (at <= last()) TruncateFrom(at);
        Append(message.entries[i]);
      }
      reply.granted = true;
      reply.index = message.index + message.entries.size();
      CommitUpTo(std::min(message.commit, reply.index));
      UseProofs();
    }
  }
  effects_.messages_after_write.push_back(std::move(reply));
}

void Replica::OnSnapshot(const Message& message, Micros now) {
  Message reply = Make(MessageKind::kAppendReply, message.from);
  if (message.term < hard_.term || !message.snapshot) {
    effects_.messages_after_write.push_back(std::move(reply));
    return;
  }
  HearLeader(message, now);
  const Snapshot& told = *message.snapshot;
  const bool held = told.index <= commit_ || (told.index <= last() && TermAt(told.index) == told.term);
  if (!held && !TakePiece(message)) {
    Message next = Make(MessageKind::kSnapshotReply, message.from);
    next.index = told.index;
    next.offset = incoming_->state.size();
    effects_.messages.push_back(std::move(next));
    return;
  }
  reply.term = hard_.term;
  reply.granted = true;
  reply.index = std::max(commit_, told.index);
  if (held) {
    CommitUpTo(told.index);
  } else {
    Snapshot whole = told;
    whole.state = std::move(incoming_->state);
    Install(std::move(whole));
  }
  incoming_.reset();
  UseProofs();
  effects_.messages_after_write.push_back(std::move(reply));
}

// Pieces come in order; one that does not fit is answered by what is held, and sent again from there.
bool Replica::TakePiece(const Message& message) {
  const Snapshot& piece = *message.snapshot;
  const bool known = incoming_ && incoming_->from == message.from && incoming_->index == piece.index &&
                     incoming_->term == piece.term;
  if (!known) incoming_ = Incoming{message.from, piece.index, piece.term, {}};
  if (message.offset != incoming_->state.size()) return false;
  incoming_->state += piece.state;
  return incoming_->state.size() >= message.size;
}

void Replica::Install(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  entries_.clear();
  base_ = snapshot_.index;
  base_term_ = snapshot_.term;
  commit_ = applied_ = snapshot_.index;
  FindMembers();
  effects_.snapshot = effects_.load = snapshot_;
  effects_.replaces_log = true;
  effects_.first = 0;
  effects_.entries.clear();
  effects_.committed.clear();
}

// ---- The log ----

Index Replica::Append(Entry entry) {
  if (effects_.first == 0) effects_.first = last() + 1;
  effects_.entries.push_back(entry);
  const bool members = entry.kind == EntryKind::kMembers;
  entries_.push_back(std::move(entry));
  if (members) FindMembers();
  return last();
}

void Replica::TruncateFrom(Index index) {
  entries_.resize(index - base_ - 1);
  if (effects_.first == 0 || effects_.first >= index) {
    effects_.first = index;
    effects_.entries.clear();
  } else {
    effects_.entries.resize(index - effects_.first);
  }
  FindMembers();
}

void Replica::FindMembers() {
  members_index_ = snapshot_.index;
  members_ = snapshot_.index > 0 ? snapshot_.members : founders_;
  for (Index index = last(); index > snapshot_.index; --index) {
    if (At(index).kind != EntryKind::kMembers) continue;
    members_ = At(index).members;
    members_index_ = index;
    break;
  }
}

std::optional<Index> Replica::Propose(std::string command) {
  if (!leader()) return std::nullopt;
  const Index index = Append({hard_.term, EntryKind::kCommand, std::move(command), {}});
  Broadcast(now_);
  return index;
}

bool Replica::ProposeMembers(Members members) {
  if (!Ready() || members_index_ > commit_ || members == members_) return false;
  Append({hard_.term, EntryKind::kMembers, {}, std::move(members)});
  SyncFollowers(now_);
  Broadcast(now_);
  return true;
}

void Replica::AddLearner(const Member& learner, Micros now) {
  if (learner.id == id_ || IsMember(learner.id)) return;
  learners_[learner.id] = learner;
  if (leader()) SyncFollowers(now);
}

void Replica::Written(Index index, Term term) {
  if (!leader() || TermAt(index) != term) return;
  written_ = std::max(written_, index);
  AdvanceCommit();
}

void Replica::Compact(std::string state) {
  if (applied_ <= snapshot_.index) return;
  Members members = snapshot_.index > 0 ? snapshot_.members : founders_;
  for (Index index = snapshot_.index + 1; index <= applied_; ++index)
    if (At(index).kind == EntryKind::kMembers) members = At(index).members;
  snapshot_ = Snapshot{applied_, TermAt(applied_), std::move(members), std::move(state)};
  TrimTrailing();
  effects_.snapshot = snapshot_;
}

// Drops what the snapshot covers, but for the last of it.
void Replica::TrimTrailing() {
  std::size_t kept = 0;
  std::size_t bytes = 0;
  while (snapshot_.index - kept > base_ && kept < kMostTrailing && bytes <= kMostTrailingBytes)
    bytes += At(snapshot_.index - kept++).command.size();
  const Index base = snapshot_.index - kept;
  base_term_ = TermAt(base);
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(base - base_));
  base_ = base;
}

void Replica::CommitUpTo(Index index) {
  commit_ = std::max(commit_, index);
  while (applied_ < commit_) {
    ++applied_;
    effects_.committed.emplace_back(applied_, At(applied_));
  }
}

Effects Replica::TakeEffects() { return std::exchange(effects_, {}); }

}  // namespace violetwing::consensus
