// The follower's side of replication: heartbeats, appended entries, and snapshots received in chunks.
#include <algorithm>
#include <utility>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {

void Replica::OnLeaderContact(const Message& message, Micros now) {
  // The sender resigned after sending this message, and the resignation arrived first. Its entries are valid,
  // but it is no longer the leader.
  if (message.term == resigned_term_) return;
  Member leader{message.from, {}};
  for (const Member& member : members_)
    if (member.id == message.from) leader = member;
  if (message.term > hard_state_.term || role_ != Role::kFollower)
    BecomeFollower(message.term, leader);
  else
    known_leader_ = leader;
  last_leader_ = message.from;
  seen_leader_ = true;
  last_leader_contact_at_ = now;
  ResetElectionTimer(now);
}

void Replica::OnHeartbeat(const Message& message, Micros now) {
  if (message.term < hard_state_.term) {
    // The higher term in the reply makes the old leader step down.
    effects_.messages_after_write.push_back(NewMessage(MessageKind::kAppendReply, message.from));
    return;
  }
  OnLeaderContact(message, now);
  AddQuorumConfirmation(message);
  CommitUpTo(std::min(message.commit, last()));
  ApplyQuorumConfirmations();
  if (message.succession_rank) return OnLeaderResigned(*message.succession_rank, now);
  Message reply = NewMessage(MessageKind::kHeartbeatReply, message.from);
  reply.sent_at = message.sent_at;
  reply.follower_sent_at = now;
  effects_.messages.push_back(std::move(reply));
}

// ---- Entries ----

void Replica::OnAppend(const Message& message, Micros now) {
  Message reply = NewMessage(MessageKind::kAppendReply, message.from);
  if (message.term >= hard_state_.term) {
    OnLeaderContact(message, now);
    reply.term = hard_state_.term;
    if (message.index < snapshot_.index) {
      // All entries up to the snapshot are committed, so they are known to match.
      reply.granted = true;
      reply.index = snapshot_.index;
    } else if (message.index > last() || TermAt(message.index) != message.log_term) {
      reply.index = std::min(last(), message.index > 0 ? message.index - 1 : 0);
    } else {
      StoreEntries(message);
      reply.granted = true;
      reply.index = message.index + message.entries.size();
      CommitUpTo(std::min(message.commit, reply.index));
      ApplyQuorumConfirmations();
    }
  }
  effects_.messages_after_write.push_back(std::move(reply));
}

void Replica::StoreEntries(const Message& message) {
  Index index = message.index;
  for (const Entry& entry : message.entries) {
    ++index;
    if (index <= last() && TermAt(index) == entry.term) continue;
    if (index <= last()) TruncateFrom(index);
    AppendEntry(entry);
  }
}

// ---- Snapshots ----

void Replica::OnSnapshot(const Message& message, Micros now) {
  Message reply = NewMessage(MessageKind::kAppendReply, message.from);
  if (message.term < hard_state_.term || !message.snapshot) {
    effects_.messages_after_write.push_back(std::move(reply));
    return;
  }
  OnLeaderContact(message, now);
  const Snapshot& chunk = *message.snapshot;
  const bool in_log = chunk.index <= commit_ || (chunk.index <= last() && TermAt(chunk.index) == chunk.term);
  if (!in_log && !AddSnapshotChunk(message)) {
    Message next_chunk_request = NewMessage(MessageKind::kSnapshotReply, message.from);
    next_chunk_request.index = chunk.index;
    next_chunk_request.offset = incoming_snapshot_->state.size();
    effects_.messages.push_back(std::move(next_chunk_request));
    return;
  }
  reply.term = hard_state_.term;
  reply.granted = true;
  reply.index = std::max(commit_, chunk.index);
  if (in_log) {
    CommitUpTo(chunk.index);
  } else {
    Snapshot complete = chunk;
    complete.state = std::move(incoming_snapshot_->state);
    InstallSnapshot(std::move(complete));
  }
  incoming_snapshot_.reset();
  ApplyQuorumConfirmations();
  effects_.messages_after_write.push_back(std::move(reply));
}

// Chunks are accepted in order. The reply to an unexpected chunk has the offset reached so far, from which
// the leader continues.
bool Replica::AddSnapshotChunk(const Message& message) {
  const Snapshot& chunk = *message.snapshot;
  const bool same_snapshot = incoming_snapshot_ && incoming_snapshot_->from == message.from &&
                             incoming_snapshot_->index == chunk.index &&
                             incoming_snapshot_->term == chunk.term;
  if (!same_snapshot) incoming_snapshot_ = IncomingSnapshot{message.from, chunk.index, chunk.term, {}};
  if (message.offset != incoming_snapshot_->state.size()) return false;
  incoming_snapshot_->state += chunk.state;
  return incoming_snapshot_->state.size() >= message.size;
}

void Replica::InstallSnapshot(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  log_.Reset(snapshot_.index, snapshot_.term);
  commit_ = applied_ = snapshot_.index;
  RecomputeMembers();
  effects_.RecordSnapshotInstalled(snapshot_);
}

}  // namespace violetwing::consensus
