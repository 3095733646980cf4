#include "core.hpp"

#include <algorithm>
#include <utility>

namespace violetwing::consensus {
namespace {

// Entries that one message carries at most: bounds its size and the time that reading it takes.
constexpr std::size_t kMostEntries = 64;
// An append without answer is sent again after so long.
constexpr Micros kAppendAgain = 400'000;

}  // namespace

Replica::Replica(ReplicaId id, Members founders, StoredState stored, Timing timing, std::uint64_t seed,
                 Micros now)
    : id_(std::move(id)),
      timing_(timing),
      random_(seed, id_),
      hard_(std::move(stored.hard)),
      snapshot_(std::move(stored.snapshot)),
      entries_(std::move(stored.entries)),
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
  if (index == snapshot_.index) return snapshot_.term;
  if (index < snapshot_.index || index > last()) return 0;
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
  leader_commit_ = message.leader_commit;
  heartbeat_heard_at_ = now;
  CommitUpTo(std::min(message.commit, last()));
  Message reply = Make(MessageKind::kHeartbeatReply, message.from);
  reply.sent_at = message.sent_at;
  effects_.messages.push_back(std::move(reply));
}

void Replica::OnHeartbeatReply(const Message& message, Micros now) {
  const auto it = followers_.find(message.from);
  if (!leader() || message.term != hard_.term || it == followers_.end()) return;
  it->second.heard_at = now;
  it->second.confirmed_at = std::max(it->second.confirmed_at, message.sent_at);
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
    }
  }
  effects_.messages_after_write.push_back(std::move(reply));
}

void Replica::OnAppendReply(const Message& message, Micros now) {
  if (message.term > hard_.term) return BecomeFollower(message.term, {});
  const auto it = followers_.find(message.from);
  if (!leader() || message.term != hard_.term || it == followers_.end()) return;
  Follower& follower = it->second;
  follower.heard_at = now;
  follower.appended_at = 0;
  if (message.granted) {
    follower.match = std::max(follower.match, std::min(message.index, last()));
    follower.next = std::max(follower.next, follower.match + 1);
    AdvanceCommit();
  } else {
    follower.next = std::max(follower.match + 1, std::min(follower.next, message.index + 1));
  }
  if (follower.match < last()) SendAppend(follower, now);
}

void Replica::OnSnapshot(const Message& message, Micros now) {
  Message reply = Make(MessageKind::kAppendReply, message.from);
  if (message.term >= hard_.term && message.snapshot) {
    HearLeader(message, now);
    reply.term = hard_.term;
    reply.granted = true;
    reply.index = std::max(commit_, message.snapshot->index);
    const bool held =
        message.snapshot->index <= last() && TermAt(message.snapshot->index) == message.snapshot->term;
    if (held) {
      CommitUpTo(message.snapshot->index);
    } else if (message.snapshot->index > commit_) {
      snapshot_ = *message.snapshot;
      entries_.clear();
      commit_ = applied_ = snapshot_.index;
      FindMembers();
      effects_.snapshot = effects_.load = snapshot_;
      effects_.replaces_log = true;
      effects_.first = 0;
      effects_.entries.clear();
      effects_.committed.clear();
      if (heartbeat_heard_at_ > 0 && applied_ >= leader_commit_) current_at_ = heartbeat_heard_at_;
    }
  }
  effects_.messages_after_write.push_back(std::move(reply));
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
  entries_.resize(index - snapshot_.index - 1);
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

void Replica::SyncFollowers(Micros now) {
  const auto ensure = [&](const Member& member) {
    if (member.id == id_) return;
    Follower fresh;
    fresh.member = member;
    fresh.next = last() + 1;
    fresh.heard_at = now;
    followers_.try_emplace(member.id, fresh);
  };
  for (const Member& member : members_) {
    ensure(member);
    learners_.erase(member.id);
  }
  for (const auto& [id, learner] : learners_) ensure(learner);
  std::erase_if(followers_, [&](const auto& entry) {
    return !IsMember(entry.first) && learners_.count(entry.first) == 0;
  });
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
  Snapshot fresh{applied_, TermAt(applied_), std::move(members), std::move(state)};
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<std::ptrdiff_t>(applied_ - snapshot_.index));
  snapshot_ = std::move(fresh);
  effects_.snapshot = snapshot_;
}

// ---- Replication ----

void Replica::Broadcast(Micros now) {
  for (auto& [id, follower] : followers_) SendAppend(follower, now);
  AdvanceCommit();
}

void Replica::SendAppend(Follower& follower, Micros now) {
  if (follower.appended_at > 0 && now - follower.appended_at < kAppendAgain) return;
  follower.appended_at = now;
  if (follower.next <= snapshot_.index) {
    Message message = Make(MessageKind::kSnapshot, follower.member.id);
    message.snapshot = snapshot_;
    effects_.messages.push_back(std::move(message));
    return;
  }
  Message message = Make(MessageKind::kAppend, follower.member.id);
  message.index = follower.next - 1;
  message.log_term = TermAt(message.index);
  message.commit = commit_;
  for (Index index = follower.next; index <= last() && message.entries.size() < kMostEntries; ++index)
    message.entries.push_back(At(index));
  effects_.messages.push_back(std::move(message));
}

void Replica::SendHeartbeats(Micros now) {
  heartbeat_at_ = now + timing_.heartbeat;
  for (auto& [id, follower] : followers_) {
    Message message = Make(MessageKind::kHeartbeat, id);
    message.commit = std::min(commit_, follower.match);
    message.leader_commit = commit_;
    message.sent_at = now;
    effects_.messages.push_back(std::move(message));
  }
}

void Replica::AdvanceCommit() {
  const Index index = ReachedByQuorum(written_, [](const Follower& follower) { return follower.match; });
  // Entries of earlier terms are committed only by one of this term that follows them.
  if (index <= commit_ || TermAt(index) != hard_.term) return;
  CommitUpTo(index);
  SendHeartbeats(now_);  // so that the others apply it at once
}

void Replica::CommitUpTo(Index index) {
  commit_ = std::max(commit_, index);
  while (applied_ < commit_) {
    ++applied_;
    effects_.committed.emplace_back(applied_, At(applied_));
  }
  if (!leader() && heartbeat_heard_at_ > 0 && applied_ >= leader_commit_) current_at_ = heartbeat_heard_at_;
}

std::vector<Replica::Progress> Replica::Followers() const {
  std::vector<Progress> out;
  if (!leader()) return out;
  for (const auto& [id, follower] : followers_)
    out.push_back(
        {follower.member, IsMember(id), follower.heard_at, follower.match > 0 && follower.match >= commit_});
  return out;
}

Effects Replica::TakeEffects() { return std::exchange(effects_, {}); }

}  // namespace violetwing::consensus
