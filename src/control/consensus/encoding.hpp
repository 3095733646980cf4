// Serialized form of consensus messages, log entries and snapshots: the protocol buffers of internal.proto,
// both between processes and on disk. Commands and states are bytes in it, so that no text is escaped inside
// a text.
#ifndef VIOLETWING_CONTROL_CONSENSUS_ENCODING_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_ENCODING_HPP_

#include <optional>
#include <string>

#include "common/result.hpp"
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

/// The bytes for the wire.
std::string Encode(const Message& message);
/// The bytes for the wire and the disk.
std::string Encode(const Entry& entry);
/// The bytes for the disk.
std::string Encode(const Snapshot& snapshot);

/// Empty where the bytes do not parse, or FromWire refuses them.
std::optional<Message> DecodeMessage(const std::string& bytes);
/// An entry of no kind is a no-op. Errors: DecodeErrc::kMalformed and kAmbiguousKind.
Result<Entry> DecodeEntry(const std::string& bytes);
/// Errors: DecodeErrc::kMalformed.
Result<Snapshot> DecodeSnapshot(const std::string& bytes);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_ENCODING_HPP_
