#include "control/storage/stored_encoding.hpp"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "control/consensus/encoding.hpp"
#include "control/storage/json_encoding.hpp"
#include "messages/decode_error.hpp"
#include "messages/generated/internal.pb.h"
#include "messages/parse.hpp"

namespace violetwing {
namespace {

// 1 byte for the tag and 8 for the fixed64.
constexpr std::size_t kChecksumFieldBytes = 9;

std::uint64_t ChecksumOf(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

// Concatenated messages parse as one merged message (protocol buffers, "Last One Wins").
std::string AppendChecksum(const std::string& body) {
  wire::StoredChecksum checksum_field;
  checksum_field.set_checksum(ChecksumOf(body));
  return body + checksum_field.SerializeAsString();
}

// Whether the checksum matches. True for a body without a checksum.
bool HasValidChecksum(const std::string& body) {
  const auto checksum_field = wire::Parse<wire::StoredChecksum>(body);
  if (!checksum_field) return false;
  if (!checksum_field->has_checksum()) return true;
  if (body.size() < kChecksumFieldBytes) return false;
  const std::string_view checked(body.data(), body.size() - kChecksumFieldBytes);
  return checksum_field->checksum() == ChecksumOf(checked);
}

template <class Decoded>
Result<Decoded> DecodeStored(const std::string& body, Result<Decoded> (*from_json)(const std::string&),
                             Result<Decoded> (*decode)(const std::string&)) {
  if (IsJsonEncoded(body)) return from_json(body);
  Result<Decoded> decoded = decode(body);
  if (decoded && !HasValidChecksum(body)) return DecodeErrc::kChecksumMismatch;
  return decoded;
}

}  // namespace

std::string EncodeStored(const consensus::Entry& entry) { return AppendChecksum(consensus::Encode(entry)); }

std::string EncodeStored(const consensus::Snapshot& snapshot) {
  return AppendChecksum(consensus::Encode(snapshot));
}

Result<consensus::Entry> DecodeStoredEntry(const std::string& body) {
  return DecodeStored(body, EntryFromJson, consensus::DecodeEntry);
}

Result<consensus::Snapshot> DecodeStoredSnapshot(const std::string& body) {
  return DecodeStored(body, SnapshotFromJson, consensus::DecodeSnapshot);
}

}  // namespace violetwing
