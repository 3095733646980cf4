// The JSON encoding of log entries and snapshots, which stores of format 1 contain. It is still read, so that
// disks of earlier versions can be used, but no longer written.
#ifndef VIOLETWING_CONTROL_STORAGE_JSON_ENCODING_HPP_
#define VIOLETWING_CONTROL_STORAGE_JSON_ENCODING_HPP_

#include <string>

#include "common/result.hpp"
#include "control/consensus/types.hpp"

namespace violetwing {

/// Whether a stored body is JSON. Unambiguous: no protocol buffer message of a log entry, a snapshot or a
/// command begins with the byte of an opening brace.
inline bool IsJsonEncoded(const std::string& body) { return !body.empty() && body.front() == '{'; }

/// Errors: DecodeErrc::kMalformed; for an entry also kUnknownKind.
Result<consensus::Entry> EntryFromJson(const std::string& text);
Result<consensus::Snapshot> SnapshotFromJson(const std::string& text);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_JSON_ENCODING_HPP_
