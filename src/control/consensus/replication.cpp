// The leader's side of replication: what each follower is sent, what it holds, and what a quorum holds.
#include <algorithm>
#include <utility>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

// What one message carries at most: bounds its size, the time that reading it takes, and how long heartbeats
// to the same process wait behind it. An entry that is larger goes alone.
constexpr std::size_t kMostEntries = 64;
constexpr std::size_t kMostBytes = std::size_t{256} * 1024;
// A learner that was not heard for so long is sent nothing more: it asks again if it is there.
constexpr Micros kForgetLearner = 10'000'000;

}  // namespace

void Replica::SyncFollowers(Micros now) {
  const auto ensure = [&](const Member& member) {
    if (member.id == id_) return;
    Follower fresh;
    fresh.member = member;
    fresh.next = last() + 1;
    fresh.heard_at = fresh.round_began_at = now;
    fresh.round_target = last();
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

void Replica::ForgetSilentLearners(Micros now) {
  for (auto it = learners_.begin(); it != learners_.end();) {
    const auto follower = followers_.find(it->first);
    const bool silent = follower != followers_.end() && now - follower->second.heard_at > kForgetLearner;
    if (silent) followers_.erase(follower);
    it = silent ? learners_.erase(it) : std::next(it);
  }
}

void Replica::Broadcast(Micros now) {
  for (auto& [id, follower] : followers_) SendAppend(follower, now);
  AdvanceCommit();
}

void Replica::SendAppend(Follower& follower, Micros now) {
  if (follower.appended_at > 0 && now - follower.appended_at < timing_.append_again) return;
  follower.appended_at = now;
  if (follower.snapshot || follower.next <= base_) return SendSnapshot(follower);
  Message message = Make(MessageKind::kAppend, follower.member.id);
  message.index = follower.next - 1;
  message.log_term = TermAt(message.index);
  message.commit = commit_;
  std::size_t bytes = 0;
  for (Index index = follower.next; index <= last() && message.entries.size() < kMostEntries; ++index) {
    bytes += At(index).command.size();
    if (bytes > kMostBytes && !message.entries.empty()) break;
    message.entries.push_back(At(index));
  }
  effects_.messages.push_back(std::move(message));
}

// The next piece of the snapshot that is on its way there; a new one begins where none is.
void Replica::SendSnapshot(Follower& follower) {
  if (!follower.snapshot) {
    follower.snapshot = std::make_shared<const Snapshot>(snapshot_);
    follower.snapshot_offset = 0;
  }
  const Snapshot& whole = *follower.snapshot;
  Message message = Make(MessageKind::kSnapshot, follower.member.id);
  message.offset = follower.snapshot_offset;
  message.size = whole.state.size();
  message.snapshot =
      Snapshot{whole.index, whole.term, whole.members, whole.state.substr(message.offset, kMostBytes)};
  effects_.messages.push_back(std::move(message));
}

void Replica::OnSnapshotReply(const Message& message, Micros now) {
  const auto it = followers_.find(message.from);
  if (!leader() || message.term != hard_.term || it == followers_.end()) return;
  Follower& follower = it->second;
  follower.heard_at = now;
  if (!follower.snapshot || message.index != follower.snapshot->index) return;
  follower.appended_at = 0;
  follower.snapshot_offset = std::min(message.offset, follower.snapshot->state.size());
  SendAppend(follower, now);
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
    if (follower.snapshot && follower.match >= follower.snapshot->index) follower.snapshot.reset();
    CountRound(follower, now);
    AdvanceCommit();
  } else {
    follower.next = std::max(follower.match + 1, std::min(follower.next, message.index + 1));
  }
  if (follower.match < last()) SendAppend(follower, now);
}

// Ongaro 2014, 4.2.1: a replica that keeps coming closer need never hold all at the moment of a look.
void Replica::CountRound(Follower& follower, Micros now) const {
  if (follower.match < follower.round_target) return;
  if (now - follower.round_began_at <= timing_.election_least) follower.caught_up_at = now;
  follower.round_target = last();
  follower.round_began_at = now;
}

void Replica::SendHeartbeats(Micros now) {
  heartbeat_at_ = now + timing_.heartbeat;
  const Micros start = members_.size() > 1 ? LeaseStart() : now;
  const Micros quorum_age = Ready() && HasLease(now) ? now - start : Micros{-1};
  for (auto& [id, follower] : followers_) {
    Message message = Make(MessageKind::kHeartbeat, id);
    message.commit = std::min(commit_, follower.match);
    message.leader_commit = commit_;
    message.sent_at = now;
    message.follower_sent_at = follower.reply_sent_at;
    message.quorum_age = quorum_age;
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

void Replica::SetLeaving(const ReplicaId& id, bool leaving) {
  if (leaving)
    leaving_.insert(id);
  else
    leaving_.erase(id);
}

std::vector<Replica::Progress> Replica::Followers() const {
  std::vector<Progress> out;
  if (!leader()) return out;
  for (const auto& [id, follower] : followers_) {
    const bool lately = follower.caught_up_at > 0 && now_ - follower.caught_up_at < timing_.election_most;
    const bool caught_up = follower.match > 0 && (follower.match >= commit_ || lately);
    out.push_back({follower.member, IsMember(id), follower.heard_at, caught_up, leaving_.count(id) > 0});
  }
  return out;
}

}  // namespace violetwing::consensus
