// The bodies of the store's rows: log entries and snapshots with a checksum, since SQLite has none for the
// pages of its file. Bodies without one, of earlier versions, are read too.
#ifndef VIOLETWING_CONTROL_STORAGE_STORED_FORM_HPP_
#define VIOLETWING_CONTROL_STORAGE_STORED_FORM_HPP_

#include <string>

#include "common/result.hpp"
#include "control/consensus/types.hpp"

namespace violetwing {

/// The body that is stored: the protocol buffer, and its checksum as the last field.
std::string EncodeStored(const consensus::Entry& entry);
std::string EncodeStored(const consensus::Snapshot& snapshot);

/// Errors: any DecodeErrc.
Result<consensus::Entry> DecodeStoredEntry(const std::string& body);
Result<consensus::Snapshot> DecodeStoredSnapshot(const std::string& body);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_STORED_FORM_HPP_
