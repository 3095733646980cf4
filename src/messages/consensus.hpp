// The form in which replicas of a shard speak to each other and keep their log: protocol buffers
// (internal.proto). What it holds is bytes, so that a command is never written as text inside a text.
#ifndef VIOLETWING_MESSAGES_CONSENSUS_HPP_
#define VIOLETWING_MESSAGES_CONSENSUS_HPP_

#include <optional>
#include <string>

#include "control/consensus/replica.hpp"

namespace violetwing::wire {
class ConsensusMessage;
}

namespace violetwing::consensus {

void ToWire(const Message& message, wire::ConsensusMessage& out);
// False where a field that a message of its kind has is missing.
bool FromWire(const wire::ConsensusMessage& in, Message& message);

std::string Encode(const Message& message);
std::string Encode(const Entry& entry);
std::string Encode(const Snapshot& snapshot);
// Empty where the bytes are no such message, or lack a field.
std::optional<Message> DecodeMessage(const std::string& bytes);
std::optional<Entry> DecodeEntry(const std::string& bytes);
std::optional<Snapshot> DecodeSnapshot(const std::string& bytes);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_MESSAGES_CONSENSUS_HPP_
