// JSON form of what the replicas of a shard say to each other.
#ifndef VIOLETWING_MESSAGES_CONSENSUS_HPP_
#define VIOLETWING_MESSAGES_CONSENSUS_HPP_

#include <nlohmann/json.hpp>

#include "control/consensus/core.hpp"

namespace violetwing::consensus {

NLOHMANN_JSON_SERIALIZE_ENUM(EntryKind, {{EntryKind::kCommand, "command"},
                                         {EntryKind::kNoop, "noop"},
                                         {EntryKind::kMembers, "members"}})
NLOHMANN_JSON_SERIALIZE_ENUM(MessageKind, {{MessageKind::kHeartbeat, "heartbeat"},
                                           {MessageKind::kHeartbeatReply, "heartbeat_reply"},
                                           {MessageKind::kPreVote, "pre_vote"},
                                           {MessageKind::kPreVoteReply, "pre_vote_reply"},
                                           {MessageKind::kVote, "vote"},
                                           {MessageKind::kVoteReply, "vote_reply"},
                                           {MessageKind::kAppend, "append"},
                                           {MessageKind::kAppendReply, "append_reply"},
                                           {MessageKind::kSnapshot, "snapshot"},
                                           {MessageKind::kSnapshotReply, "snapshot_reply"}})

// The readers throw nlohmann::json::exception where a field is missing or of another type.
void to_json(nlohmann::json& out, const Member& member);
void from_json(const nlohmann::json& in, Member& member);
void to_json(nlohmann::json& out, const Entry& entry);
void from_json(const nlohmann::json& in, Entry& entry);
void to_json(nlohmann::json& out, const Snapshot& snapshot);
void from_json(const nlohmann::json& in, Snapshot& snapshot);
void to_json(nlohmann::json& out, const Message& message);
void from_json(const nlohmann::json& in, Message& message);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_MESSAGES_CONSENSUS_HPP_
