#include "control/storage/stored_form.hpp"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "control/consensus/encoding.hpp"
#include "control/storage/json_form.hpp"
#include "messages/decode_error.hpp"
#include "messages/generated/internal.pb.h"
#include "messages/parse.hpp"

namespace violetwing {
namespace {

// One byte of tag and eight of fixed64.
constexpr std::size_t kChecksumFieldBytes = 9;

std::uint64_t ChecksumOf(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

// Messages that are appended to each other parse as one (protocol buffers, "Last One Wins").
std::string WithChecksum(const std::string& body) {
  wire::StoredChecksum field;
  field.set_checksum(ChecksumOf(body));
  return body + field.SerializeAsString();
}

// Whether the bytes are as they were written. A body without a checksum is taken as it is.
bool IsIntact(const std::string& body) {
  const auto field = wire::Parse<wire::StoredChecksum>(body);
  if (!field) return false;
  if (!field->has_checksum()) return true;
  if (body.size() < kChecksumFieldBytes) return false;
  const std::string_view checked(body.data(), body.size() - kChecksumFieldBytes);
  return field->checksum() == ChecksumOf(checked);
}

template <class Decoded>
Result<Decoded> DecodeStored(const std::string& body, Result<Decoded> (*from_json)(const std::string&),
                             Result<Decoded> (*decode)(const std::string&)) {
  if (IsJsonForm(body)) return from_json(body);
  Result<Decoded> decoded = decode(body);
  if (decoded && !IsIntact(body)) return DecodeErrc::kChecksumMismatch;
  return decoded;
}

}  // namespace

std::string EncodeStored(const consensus::Entry& entry) { return WithChecksum(consensus::Encode(entry)); }

std::string EncodeStored(const consensus::Snapshot& snapshot) {
  return WithChecksum(consensus::Encode(snapshot));
}

Result<consensus::Entry> DecodeStoredEntry(const std::string& body) {
  return DecodeStored(body, EntryFromJson, consensus::DecodeEntry);
}

Result<consensus::Snapshot> DecodeStoredSnapshot(const std::string& body) {
  return DecodeStored(body, SnapshotFromJson, consensus::DecodeSnapshot);
}

}  // namespace violetwing
