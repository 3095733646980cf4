// Entries and snapshots as version 1 of the store kept them, in JSON: read, and no longer written.
#ifndef VIOLETWING_CONTROL_STORAGE_JSON_FORM_HPP_
#define VIOLETWING_CONTROL_STORAGE_JSON_FORM_HPP_

#include <optional>
#include <string>

#include "control/consensus/types.hpp"

namespace violetwing {

// Whether a stored body is of that version: an object's brace begins no body of a later one.
inline bool IsJsonForm(const std::string& body) { return !body.empty() && body.front() == '{'; }
// Empty where the text cannot be read.
std::optional<consensus::Entry> EntryFromJson(const std::string& text);
std::optional<consensus::Snapshot> SnapshotFromJson(const std::string& text);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_JSON_FORM_HPP_
