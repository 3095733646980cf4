// Serialized form of consensus messages, log entries and snapshots: the protocol buffers of internal.proto,
// both between processes and on disk. Commands and states are bytes in it, so that no text is escaped inside
// a text.
#ifndef VIOLETWING_CONTROL_CONSENSUS_ENCODING_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_ENCODING_HPP_

#include <optional>
#include <string>

#include "control/consensus/types.hpp"

namespace violetwing::wire {
class ConsensusMessage;
}

namespace violetwing::consensus {

/// Sets the fields of `out` that a message of this kind requires.
void ToWire(const Message& message, wire::ConsensusMessage& out);
/// False where a field is missing that a message of its kind requires, or an entry claims to be of two kinds;
/// `message` is then unspecified.
bool FromWire(const wire::ConsensusMessage& in, Message& message);

std::string Encode(const Message& message);
std::string Encode(const Entry& entry);
std::string Encode(const Snapshot& snapshot);

/// Empty where the bytes do not parse, or FromWire refuses them.
std::optional<Message> DecodeMessage(const std::string& bytes);
/// Empty where the bytes do not parse, or claim to be of two kinds. An entry of no kind is a no-op.
std::optional<Entry> DecodeEntry(const std::string& bytes);
/// Empty where the bytes do not parse.
std::optional<Snapshot> DecodeSnapshot(const std::string& bytes);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_ENCODING_HPP_
