// Encoding of the row bodies in the store: log entries and snapshots with a checksum, since SQLite has no
// checksums of its pages. Bodies without a checksum, from earlier versions, are also read.
#ifndef VIOLETWING_CONTROL_STORAGE_STORED_ENCODING_HPP_
#define VIOLETWING_CONTROL_STORAGE_STORED_ENCODING_HPP_

#include <string>

#include "common/result.hpp"
#include "control/consensus/types.hpp"

namespace violetwing {

/// Returns the protocol buffer message followed by its checksum as the last field.
std::string EncodeStored(const consensus::Entry& entry);
std::string EncodeStored(const consensus::Snapshot& snapshot);

/// Errors: any DecodeErrc.
Result<consensus::Entry> DecodeStoredEntry(const std::string& body);
Result<consensus::Snapshot> DecodeStoredSnapshot(const std::string& body);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_STORED_ENCODING_HPP_
