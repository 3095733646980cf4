// The leader's side of replication: sending entries, snapshots and heartbeats, tracking the progress of each
// follower, and advancing the commit index.
#include <algorithm>
#include <utility>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

// Bounds on one append or snapshot chunk. They limit its size, its decoding time, and how long heartbeats to
// the same process are delayed behind it. A larger entry is sent alone.
constexpr std::size_t kMaxAppendEntries = 64;
constexpr std::size_t kMaxAppendBytes = std::size_t{256} * 1024;
// A learner without contact for this long is dropped. If it is still running, it asks to join again.
constexpr Micros kLearnerTimeout = 10'000'000;

}  // namespace

// ---- Followers ----

// Updates followers_ to the other members and the learners, and keeps the progress of those already in it.
void Replica::SyncFollowers(Micros now) {
  const auto add_follower = [&](const Member& member) {
    if (member.id == id_) return;
    FollowerProgress progress;
    progress.member = member;
    progress.next_index = last() + 1;
    progress.last_contact_at = now;
    progress.round_started_at = now;
    progress.round_target = last();
    followers_.try_emplace(member.id, progress);
  };
  for (const Member& member : members_) {
    add_follower(member);
    learners_.erase(member.id);
  }
  for (const auto& [id, learner] : learners_) add_follower(learner);
  std::erase_if(followers_, [&](const auto& entry) {
    return !IsMember(entry.first) && learners_.count(entry.first) == 0;
  });
}

void Replica::RemoveUnresponsiveLearners(Micros now) {
  std::erase_if(learners_, [&](const auto& learner) {
    const auto follower = followers_.find(learner.first);
    if (follower == followers_.end() || now - follower->second.last_contact_at <= kLearnerTimeout)
      return false;
    followers_.erase(follower);
    return true;
  });
}

std::vector<FollowerStatus> Replica::FollowerStatuses() const {
  std::vector<FollowerStatus> statuses;
  if (!leader()) return statuses;
  for (const auto& [id, follower] : followers_) {
    const bool recently_caught_up =
        follower.caught_up_at > 0 && now_ - follower.caught_up_at < timing_.caught_up_validity;
    const bool caught_up =
        follower.match_index > 0 && (follower.match_index >= commit_ || recently_caught_up);
    statuses.push_back(
        {follower.member, IsMember(id), follower.last_contact_at, caught_up, draining_.count(id) > 0});
  }
  return statuses;
}

FollowerProgress* Replica::FindReplyingFollower(const Message& reply) {
  const auto it = followers_.find(reply.from);
  if (!leader() || reply.term != hard_state_.term || it == followers_.end()) return nullptr;
  return &it->second;
}

// ---- Entries ----

void Replica::SendAppends(Micros now) {
  for (auto& [id, follower] : followers_) SendAppend(follower, now);
  AdvanceCommit();
}

void Replica::SendAppend(FollowerProgress& follower, Micros now) {
  const bool in_flight =
      follower.append_sent_at > 0 && now - follower.append_sent_at < timing_.append_retry_interval;
  if (in_flight) return;
  follower.append_sent_at = now;
  if (follower.snapshot || follower.next_index <= log_.base()) return SendSnapshotChunk(follower);
  Message message = NewMessage(MessageKind::kAppend, follower.member.id);
  message.index = follower.next_index - 1;
  message.log_term = TermAt(message.index);
  message.commit = commit_;
  std::size_t bytes = 0;
  for (Index index = follower.next_index; index <= last(); ++index) {
    if (message.entries.size() >= kMaxAppendEntries) break;
    const Entry& entry = log_.At(index);
    bytes += entry.command.size();
    if (bytes > kMaxAppendBytes && !message.entries.empty()) break;
    message.entries.push_back(entry);
  }
  effects_.messages.push_back(std::move(message));
}

void Replica::OnAppendReply(const Message& message, Micros now) {
  if (message.term > hard_state_.term) return BecomeFollower(message.term, {});
  FollowerProgress* const follower = FindReplyingFollower(message);
  if (follower == nullptr) return;
  follower->last_contact_at = now;
  follower->append_sent_at = 0;
  if (message.granted) {
    follower->match_index = std::max(follower->match_index, std::min(message.index, last()));
    follower->next_index = std::max(follower->next_index, follower->match_index + 1);
    if (follower->snapshot && follower->match_index >= follower->snapshot->index) follower->snapshot.reset();
    UpdateCatchUpRound(*follower, now);
    AdvanceCommit();
  } else {
    follower->next_index =
        std::max(follower->match_index + 1, std::min(follower->next_index, message.index + 1));
  }
  if (follower->match_index < last()) SendAppend(*follower, now);
}

// Catch-up is measured in rounds (Ongaro 2014, 4.2.1), because under steady load a replica that keeps up may
// never store all entries at the time of a check.
void Replica::UpdateCatchUpRound(FollowerProgress& follower, Micros now) const {
  if (follower.match_index < follower.round_target) return;
  if (now - follower.round_started_at <= timing_.min_election_timeout) follower.caught_up_at = now;
  follower.round_target = last();
  follower.round_started_at = now;
}

void Replica::OnLogDurable(Index index, Term term) {
  if (!leader() || TermAt(index) != term) return;
  durable_index_ = std::max(durable_index_, index);
  AdvanceCommit();
}

void Replica::AdvanceCommit() {
  const Index index =
      ReachedByQuorum(durable_index_, [](const FollowerProgress& follower) { return follower.match_index; });
  // Entries of earlier terms are committed only through a later entry of this term (Ongaro 2014, 3.6.2).
  if (index <= commit_ || TermAt(index) != hard_state_.term) return;
  CommitUpTo(index);
  SendHeartbeats(now_);  // so that the followers apply the entries without delay
}

// ---- Snapshots ----

// Sends the next chunk of the snapshot in transfer. Starts a new transfer if there is none.
void Replica::SendSnapshotChunk(FollowerProgress& follower) {
  if (!follower.snapshot) {
    follower.snapshot = std::make_shared<const Snapshot>(snapshot_);
    follower.snapshot_offset = 0;
  }
  const Snapshot& complete = *follower.snapshot;
  Message message = NewMessage(MessageKind::kSnapshot, follower.member.id);
  message.offset = follower.snapshot_offset;
  message.size = complete.state.size();
  message.snapshot = Snapshot{complete.index, complete.term, complete.members,
                              complete.state.substr(message.offset, kMaxAppendBytes)};
  effects_.messages.push_back(std::move(message));
}

void Replica::OnSnapshotReply(const Message& message, Micros now) {
  FollowerProgress* const follower = FindReplyingFollower(message);
  if (follower == nullptr) return;
  follower->last_contact_at = now;
  if (!follower->snapshot || message.index != follower->snapshot->index) return;
  follower->append_sent_at = 0;
  follower->snapshot_offset = std::min(message.offset, follower->snapshot->state.size());
  SendAppend(*follower, now);
}

// ---- Heartbeats ----

void Replica::SendHeartbeats(Micros now) {
  next_heartbeat_at_ = now + timing_.heartbeat_interval;
  const Micros lease_start = members_.size() > 1 ? LeaseStart() : now;
  const Micros quorum_age = Ready() && HasLease(now) ? now - lease_start : Micros{-1};
  for (auto& [id, follower] : followers_) {
    Message message = HeartbeatFor(follower);
    message.sent_at = now;
    message.quorum_age = quorum_age;
    effects_.messages.push_back(std::move(message));
  }
}

Message Replica::HeartbeatFor(const FollowerProgress& follower) const {
  Message message = NewMessage(MessageKind::kHeartbeat, follower.member.id);
  message.commit = std::min(commit_, follower.match_index);
  message.leader_commit = commit_;
  message.follower_sent_at = follower.last_reply_sent_at;
  return message;
}

void Replica::OnHeartbeatReply(const Message& message, Micros now) {
  FollowerProgress* const follower = FindReplyingFollower(message);
  if (follower == nullptr) return;
  follower->last_contact_at = now;
  follower->acknowledged_heartbeat_sent_at =
      std::max(follower->acknowledged_heartbeat_sent_at, message.sent_at);
  follower->last_reply_sent_at = std::max(follower->last_reply_sent_at, message.follower_sent_at);
}

}  // namespace violetwing::consensus
