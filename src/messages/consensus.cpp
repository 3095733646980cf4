#include "consensus.hpp"

#include <stdexcept>

namespace violetwing::consensus {

using nlohmann::json;

namespace {

// A piece has a name of its own: a process of an earlier version would take it for the whole.
void WriteSnapshot(json& out, const Message& message) {
  const bool whole = message.offset == 0 && message.snapshot->state.size() >= message.size;
  out[whole ? "snapshot" : "piece"] = *message.snapshot;
  if (whole) return;
  out["offset"] = message.offset;
  out["size"] = message.size;
}

void ReadSnapshot(const json& in, Message& message) {
  const bool whole = in.contains("snapshot");
  message.snapshot = in.at(whole ? "snapshot" : "piece").get<Snapshot>();
  message.size = message.snapshot->state.size();
  if (whole) return;
  in.at("offset").get_to(message.offset);
  in.at("size").get_to(message.size);
}

}  // namespace

void to_json(json& out, const Member& member) { out = json{{"id", member.id}, {"address", member.address}}; }

void from_json(const json& in, Member& member) {
  in.at("id").get_to(member.id);
  in.at("address").get_to(member.address);
}

void to_json(json& out, const Entry& entry) {
  out = json{{"term", entry.term}, {"kind", entry.kind}};
  if (entry.kind == EntryKind::kCommand) out["command"] = entry.command;
  if (entry.kind == EntryKind::kMembers) out["members"] = entry.members;
}

void from_json(const json& in, Entry& entry) {
  in.at("term").get_to(entry.term);
  in.at("kind").get_to(entry.kind);
  if (json(entry.kind) != in.at("kind")) throw std::invalid_argument("unknown kind of entry");
  if (entry.kind == EntryKind::kCommand) in.at("command").get_to(entry.command);
  if (entry.kind == EntryKind::kMembers) in.at("members").get_to(entry.members);
}

void to_json(json& out, const Snapshot& snapshot) {
  out = json{{"index", snapshot.index},
             {"term", snapshot.term},
             {"members", snapshot.members},
             {"state", snapshot.state}};
}

void from_json(const json& in, Snapshot& snapshot) {
  in.at("index").get_to(snapshot.index);
  in.at("term").get_to(snapshot.term);
  in.at("members").get_to(snapshot.members);
  in.at("state").get_to(snapshot.state);
}

void to_json(json& out, const Message& message) {
  out = json{{"kind", message.kind}, {"from", message.from}, {"to", message.to}, {"term", message.term}};
  switch (message.kind) {
    case MessageKind::kHeartbeat:
      out["commit"] = message.commit;
      out["leader_commit"] = message.leader_commit;
      out["sent_at"] = message.sent_at;
      out["follower_sent_at"] = message.follower_sent_at;
      out["quorum_age"] = message.quorum_age;
      break;
    case MessageKind::kHeartbeatReply:
      out["sent_at"] = message.sent_at;
      out["follower_sent_at"] = message.follower_sent_at;
      break;
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      out["index"] = message.index;
      out["log_term"] = message.log_term;
      out["leaderless"] = message.leaderless;
      break;
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      out["granted"] = message.granted;
      out["leaderless"] = message.leaderless;
      break;
    case MessageKind::kAppend:
      out["index"] = message.index;
      out["log_term"] = message.log_term;
      out["commit"] = message.commit;
      out["entries"] = message.entries;
      break;
    case MessageKind::kAppendReply:
      out["index"] = message.index;
      out["granted"] = message.granted;
      break;
    case MessageKind::kSnapshot:
      if (message.snapshot) WriteSnapshot(out, message);
      break;
    case MessageKind::kSnapshotReply:
      out["index"] = message.index;
      out["offset"] = message.offset;
      break;
  }
}

void from_json(const json& in, Message& message) {
  in.at("kind").get_to(message.kind);
  // The library reads an unknown name as the first of the list.
  if (json(message.kind) != in.at("kind")) throw std::invalid_argument("unknown kind of message");
  in.at("from").get_to(message.from);
  in.at("to").get_to(message.to);
  in.at("term").get_to(message.term);
  switch (message.kind) {
    case MessageKind::kHeartbeat:
      in.at("commit").get_to(message.commit);
      in.at("leader_commit").get_to(message.leader_commit);
      in.at("sent_at").get_to(message.sent_at);
      // A process of an earlier version returns nothing, which proves nothing.
      message.follower_sent_at = in.value("follower_sent_at", Micros{0});
      message.quorum_age = in.value("quorum_age", Micros{-1});
      break;
    case MessageKind::kHeartbeatReply:
      in.at("sent_at").get_to(message.sent_at);
      message.follower_sent_at = in.value("follower_sent_at", Micros{0});
      break;
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      in.at("index").get_to(message.index);
      in.at("log_term").get_to(message.log_term);
      message.leaderless =
          in.value("leaderless", false);  // a process of an earlier version says nothing of it
      break;
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      in.at("granted").get_to(message.granted);
      message.leaderless = in.value("leaderless", false);
      break;
    case MessageKind::kAppend:
      in.at("index").get_to(message.index);
      in.at("log_term").get_to(message.log_term);
      in.at("commit").get_to(message.commit);
      in.at("entries").get_to(message.entries);
      break;
    case MessageKind::kAppendReply:
      in.at("index").get_to(message.index);
      in.at("granted").get_to(message.granted);
      break;
    case MessageKind::kSnapshot:
      ReadSnapshot(in, message);
      break;
    case MessageKind::kSnapshotReply:
      in.at("index").get_to(message.index);
      in.at("offset").get_to(message.offset);
      break;
  }
}

}  // namespace violetwing::consensus
