#include "control/consensus/encoding.hpp"

#include <algorithm>

#include "generated/internal.pb.h"
#include "messages/decode_error.hpp"
#include "messages/parse.hpp"

namespace violetwing::consensus {
namespace {

using WireMessage = wire::ConsensusMessage;

WireMessage::Kind ToWire(MessageKind kind) {
  switch (kind) {
    case MessageKind::kHeartbeat:
      return WireMessage::HEARTBEAT;
    case MessageKind::kHeartbeatReply:
      return WireMessage::HEARTBEAT_REPLY;
    case MessageKind::kPreVote:
      return WireMessage::PRE_VOTE;
    case MessageKind::kPreVoteReply:
      return WireMessage::PRE_VOTE_REPLY;
    case MessageKind::kVote:
      return WireMessage::VOTE;
    case MessageKind::kVoteReply:
      return WireMessage::VOTE_REPLY;
    case MessageKind::kAppend:
      return WireMessage::APPEND;
    case MessageKind::kAppendReply:
      return WireMessage::APPEND_REPLY;
    case MessageKind::kSnapshot:
      return WireMessage::SNAPSHOT;
    case MessageKind::kSnapshotReply:
      return WireMessage::SNAPSHOT_REPLY;
  }
  return WireMessage::HEARTBEAT;
}

MessageKind FromWire(WireMessage::Kind kind) {
  switch (kind) {
    case WireMessage::HEARTBEAT:
      return MessageKind::kHeartbeat;
    case WireMessage::HEARTBEAT_REPLY:
      return MessageKind::kHeartbeatReply;
    case WireMessage::PRE_VOTE:
      return MessageKind::kPreVote;
    case WireMessage::PRE_VOTE_REPLY:
      return MessageKind::kPreVoteReply;
    case WireMessage::VOTE:
      return MessageKind::kVote;
    case WireMessage::VOTE_REPLY:
      return MessageKind::kVoteReply;
    case WireMessage::APPEND:
      return MessageKind::kAppend;
    case WireMessage::APPEND_REPLY:
      return MessageKind::kAppendReply;
    case WireMessage::SNAPSHOT:
      return MessageKind::kSnapshot;
    case WireMessage::SNAPSHOT_REPLY:
      return MessageKind::kSnapshotReply;
  }
  return MessageKind::kHeartbeat;
}

void ToWire(const Members& members, wire::Members& out) {
  for (const Member& member : members) {
    wire::Member& wire_member = *out.add_members();
    wire_member.set_id(member.id);
    wire_member.set_address(member.address);
  }
}

Members FromWire(const wire::Members& in) {
  Members members;
  members.reserve(static_cast<std::size_t>(in.members_size()));
  for (const wire::Member& member : in.members()) members.push_back({member.id(), member.address()});
  return members;
}

void ToWire(const Entry& entry, wire::Entry& out) {
  out.set_term(entry.term);
  if (entry.kind == EntryKind::kCommand) out.set_command(entry.command);
  if (entry.kind == EntryKind::kMembers) ToWire(entry.members, *out.mutable_members());
}

// Returns false if the entry has the fields of two kinds.
bool FromWire(const wire::Entry& in, Entry& entry) {
  if (in.has_command() && in.has_members()) return false;
  entry.term = in.term();
  entry.kind = EntryKind::kNoop;
  if (in.has_command()) {
    entry.kind = EntryKind::kCommand;
    entry.command = in.command();
  } else if (in.has_members()) {
    entry.kind = EntryKind::kMembers;
    entry.members = FromWire(in.members());
  }
  return true;
}

void ToWire(const Snapshot& snapshot, wire::Snapshot& out) {
  out.set_index(snapshot.index);
  out.set_term(snapshot.term);
  ToWire(snapshot.members, *out.mutable_members());
  out.set_state(snapshot.state);
}

Snapshot FromWire(const wire::Snapshot& in) {
  return {in.index(), in.term(), FromWire(in.members()), in.state()};
}

bool ReadEntries(const wire::Entries& in, std::vector<Entry>& entries) {
  entries.resize(static_cast<std::size_t>(in.entries_size()));
  for (std::size_t i = 0; i < entries.size(); ++i)
    if (!FromWire(in.entries(static_cast<int>(i)), entries[i])) return false;
  return true;
}

// Whether all fields that the message's kind requires are present.
bool HasRequiredFields(const WireMessage& in) {
  switch (in.kind()) {
    case WireMessage::HEARTBEAT:
      return in.has_commit() && in.has_leader_commit() && in.has_sent_at() && in.has_follower_sent_at() &&
             in.has_quorum_age();
    case WireMessage::HEARTBEAT_REPLY:
      return in.has_sent_at() && in.has_follower_sent_at();
    case WireMessage::PRE_VOTE:
    case WireMessage::VOTE:
      return in.has_index() && in.has_log_term() && in.has_leaderless();
    case WireMessage::PRE_VOTE_REPLY:
    case WireMessage::VOTE_REPLY:
      return in.has_granted() && in.has_leaderless();
    case WireMessage::APPEND:
      return in.has_index() && in.has_log_term() && in.has_commit() && in.has_entries();
    case WireMessage::APPEND_REPLY:
      return in.has_index() && in.has_granted();
    case WireMessage::SNAPSHOT:
      return in.has_snapshot() && in.has_offset() && in.has_size();
    case WireMessage::SNAPSHOT_REPLY:
      return in.has_index() && in.has_offset();
  }
  return false;
}

}  // namespace

void ToWire(const Message& message, wire::ConsensusMessage& out) {
  out.set_kind(ToWire(message.kind));
  out.set_from(message.from);
  out.set_to(message.to);
  out.set_term(message.term);
  switch (message.kind) {
    case MessageKind::kHeartbeat:
      out.set_commit(message.commit);
      out.set_leader_commit(message.leader_commit);
      out.set_sent_at(message.sent_at);
      out.set_follower_sent_at(message.follower_sent_at);
      out.set_quorum_age(message.quorum_age);
      if (message.succession_rank) out.set_succession_rank(*message.succession_rank);
      break;
    case MessageKind::kHeartbeatReply:
      out.set_sent_at(message.sent_at);
      out.set_follower_sent_at(message.follower_sent_at);
      break;
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      out.set_index(message.index);
      out.set_log_term(message.log_term);
      out.set_leaderless(message.leaderless);
      break;
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      out.set_granted(message.granted);
      out.set_leaderless(message.leaderless);
      break;
    case MessageKind::kAppend:
      out.set_index(message.index);
      out.set_log_term(message.log_term);
      out.set_commit(message.commit);
      out.mutable_entries();
      for (const Entry& entry : message.entries) ToWire(entry, *out.mutable_entries()->add_entries());
      break;
    case MessageKind::kAppendReply:
      out.set_index(message.index);
      out.set_granted(message.granted);
      break;
    case MessageKind::kSnapshot:
      if (!message.snapshot) break;
      ToWire(*message.snapshot, *out.mutable_snapshot());
      out.set_offset(message.offset);
      out.set_size(std::max(message.size, message.offset + message.snapshot->state.size()));
      break;
    case MessageKind::kSnapshotReply:
      out.set_index(message.index);
      out.set_offset(message.offset);
      break;
  }
}

bool FromWire(const wire::ConsensusMessage& in, Message& message) {
  if (!HasRequiredFields(in)) return false;
  message.kind = FromWire(in.kind());
  message.from = in.from();
  message.to = in.to();
  message.term = in.term();
  message.index = in.index();
  message.log_term = in.log_term();
  message.commit = in.commit();
  message.leader_commit = in.leader_commit();
  message.granted = in.granted();
  message.leaderless = in.leaderless();
  message.sent_at = in.sent_at();
  message.follower_sent_at = in.follower_sent_at();
  message.quorum_age = in.has_quorum_age() ? in.quorum_age() : Micros{-1};
  if (in.has_succession_rank()) message.succession_rank = in.succession_rank();
  message.offset = in.offset();
  message.size = in.size();
  if (in.has_snapshot()) message.snapshot = FromWire(in.snapshot());
  return ReadEntries(in.entries(), message.entries);
}

std::string Encode(const Message& message) {
  wire::ConsensusMessage out;
  ToWire(message, out);
  return out.SerializePartialAsString();
}

std::string Encode(const Entry& entry) {
  wire::Entry out;
  ToWire(entry, out);
  return out.SerializeAsString();
}

std::string Encode(const Snapshot& snapshot) {
  wire::Snapshot out;
  ToWire(snapshot, out);
  return out.SerializeAsString();
}

std::optional<Message> DecodeMessage(const std::string& bytes) {
  const auto in = wire::Parse<wire::ConsensusMessage>(bytes);
  Message message;
  if (!in || !FromWire(*in, message)) return std::nullopt;
  return message;
}

Result<Entry> DecodeEntry(const std::string& bytes) {
  const auto in = wire::Parse<wire::Entry>(bytes);
  if (!in) return DecodeErrc::kMalformed;
  Entry entry;
  if (!FromWire(*in, entry)) return DecodeErrc::kAmbiguousKind;
  return entry;
}

Result<Snapshot> DecodeSnapshot(const std::string& bytes) {
  const auto in = wire::Parse<wire::Snapshot>(bytes);
  if (!in) return DecodeErrc::kMalformed;
  return FromWire(*in);
}

}  // namespace violetwing::consensus
