// The older stored form of log entries and snapshots: JSON, as format 1 of the store wrote it. It is still
// read, so that a disk of an earlier version can be used, and no longer written.
#ifndef VIOLETWING_CONTROL_STORAGE_JSON_FORM_HPP_
#define VIOLETWING_CONTROL_STORAGE_JSON_FORM_HPP_

#include <string>

#include "common/result.hpp"
#include "control/consensus/types.hpp"

namespace violetwing {

/// Whether a stored body is of the older form. Unambiguous: no protocol buffer message of a log entry, a
/// snapshot or a command begins with the byte of an object's brace.
inline bool IsJsonForm(const std::string& body) { return !body.empty() && body.front() == '{'; }

/// Errors: DecodeErrc::kMalformed, and kUnknownKind of an entry.
Result<consensus::Entry> EntryFromJson(const std::string& text);
Result<consensus::Snapshot> SnapshotFromJson(const std::string& text);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_JSON_FORM_HPP_
