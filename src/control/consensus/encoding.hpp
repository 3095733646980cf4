// Serialization of consensus messages, log entries and snapshots as the protocol buffers of internal.proto,
// both between processes and on disk. Commands and states are bytes fields, which avoids escaping of nested
// text.
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

/// Sets the fields of `out` that the kind of `message` requires.
void ToWire(const Message& message, wire::ConsensusMessage& out);
/// Returns false if a field that the message's kind requires is missing, or an entry has the fields of two
/// kinds; the content of `message` is then unspecified.
bool FromWire(const wire::ConsensusMessage& in, Message& message);

/// Encodes a message for the wire.
std::string Encode(const Message& message);
/// Encodes an entry for the wire and for disk.
std::string Encode(const Entry& entry);
/// Encodes a snapshot for disk.
std::string Encode(const Snapshot& snapshot);

/// Decodes a message. Empty if the bytes do not parse or FromWire rejects them.
std::optional<Message> DecodeMessage(const std::string& bytes);
/// Decodes an entry; one without the fields of a kind is a no-op. Errors: DecodeErrc::kMalformed and
/// DecodeErrc::kAmbiguousKind.
Result<Entry> DecodeEntry(const std::string& bytes);
/// Decodes a snapshot. Errors: DecodeErrc::kMalformed.
Result<Snapshot> DecodeSnapshot(const std::string& bytes);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_ENCODING_HPP_
