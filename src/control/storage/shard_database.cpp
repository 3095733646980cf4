#include "control/storage/shard_database.hpp"

#include <optional>
#include <utility>

#include "control/consensus/encoding.hpp"
#include "control/storage/json_form.hpp"
#include "control/storage/storage_error.hpp"

namespace violetwing {
namespace {

using consensus::Entry;
using consensus::Index;
using consensus::Snapshot;

constexpr const char* kFileName = "control.db";

// Format of the bodies, stored in table identity. 1: JSON, 2: protocol buffers. Older formats are read.
constexpr int kFormat = 2;

// A write-ahead log with one sync for each commit. The exclusive lock keeps the index of the log in this
// process's own memory: no file is mapped by several processes.
constexpr const char* kSetUp =
    "PRAGMA locking_mode=EXCLUSIVE;"
    "PRAGMA journal_mode=WAL;"
    "PRAGMA synchronous=FULL;"
    "PRAGMA wal_autocheckpoint=256;"
    "PRAGMA journal_size_limit=2097152;"
    "PRAGMA cache_size=-1024;"
    "CREATE TABLE IF NOT EXISTS identity (format INTEGER NOT NULL, disk TEXT NOT NULL);"
    "CREATE TABLE IF NOT EXISTS hard_state (shard INTEGER PRIMARY KEY, term INTEGER NOT NULL, vote TEXT NOT "
    "NULL);"
    "CREATE TABLE IF NOT EXISTS snapshot (shard INTEGER PRIMARY KEY, body BLOB NOT NULL);"
    "CREATE TABLE IF NOT EXISTS entry (shard INTEGER NOT NULL, position INTEGER NOT NULL, body BLOB NOT NULL,"
    " PRIMARY KEY (shard, position)) WITHOUT ROWID;";

std::optional<Entry> DecodeStoredEntry(const std::string& body) {
  return IsJsonForm(body) ? EntryFromJson(body) : consensus::DecodeEntry(body);
}

std::optional<Snapshot> DecodeStoredSnapshot(const std::string& body) {
  return IsJsonForm(body) ? SnapshotFromJson(body) : consensus::DecodeSnapshot(body);
}

std::error_code Corrupt(std::string& error_message, const std::string& detail) {
  error_message = std::string(kFileName) + ": " + detail;
  return StorageErrc::kCorrupt;
}

}  // namespace

// ---- Opening ----

std::error_code ShardDatabase::Open(const std::string& directory, const consensus::ReplicaId& new_id,
                                    std::string& error_message) {
  const std::string file = directory + "/" + kFileName;
  if (!database_.Open(file) || !database_.Execute(kSetUp)) return Fail(error_message);
  return ReadTables(file, new_id, error_message);
}

std::error_code ShardDatabase::Fail(std::string& error_message) const {
  error_message = database_.ErrorMessage();
  return StorageErrc::kIoError;
}

std::error_code ShardDatabase::ReadTables(const std::string& file, const consensus::ReplicaId& new_id,
                                          std::string& error_message) {
  {
    sqlite::Statement identity = database_.Prepare("SELECT format, disk FROM identity");
    if (!identity.Next()) return InsertIdentity(new_id, error_message);
    if (identity.Int(0) > kFormat) {
      error_message = file + ": was written by a newer version";
      return StorageErrc::kFormatTooNew;
    }
    replica_id_ = identity.Text(1);
  }
  ReadHardStates();
  if (const std::error_code error = ReadSnapshots(error_message)) return error;
  if (const std::error_code error = ReadEntries(error_message)) return error;
  const std::string upgrade = "UPDATE identity SET format = " + std::to_string(kFormat);
  return database_.Execute(upgrade.c_str()) ? std::error_code() : Fail(error_message);
}

std::error_code ShardDatabase::InsertIdentity(const consensus::ReplicaId& new_id,
                                              std::string& error_message) {
  sqlite::Statement insert = database_.Prepare("INSERT INTO identity VALUES (?, ?)");
  if (!insert.Bind(1, kFormat).BindText(2, new_id).Run()) return Fail(error_message);
  replica_id_ = new_id;
  return {};
}

void ShardDatabase::ReadHardStates() {
  sqlite::Statement row = database_.Prepare("SELECT shard, term, vote FROM hard_state");
  while (row.Next()) stored_[row.Int(0)].hard = {row.Unsigned(1), row.Text(2)};
}

std::error_code ShardDatabase::ReadSnapshots(std::string& error_message) {
  sqlite::Statement row = database_.Prepare("SELECT shard, body FROM snapshot");
  while (row.Next()) {
    const int shard = row.Int(0);
    std::optional<Snapshot> snapshot = DecodeStoredSnapshot(row.Blob(1));
    if (!snapshot)
      return Corrupt(error_message, "the snapshot of shard " + std::to_string(shard) + " cannot be read");
    stored_[shard].snapshot = std::move(*snapshot);
  }
  return {};
}

std::error_code ShardDatabase::ReadEntries(std::string& error_message) {
  sqlite::Statement row =
      database_.Prepare("SELECT shard, position, body FROM entry ORDER BY shard, position");
  while (row.Next()) {
    consensus::StoredState& state = stored_[row.Int(0)];
    const Index index = row.Unsigned(1);
    if (index != state.snapshot.index + state.entries.size() + 1)
      return Corrupt(error_message, "the log has a gap at " + std::to_string(index));
    std::optional<Entry> entry = DecodeStoredEntry(row.Blob(2));
    if (!entry) return Corrupt(error_message, "the entry at " + std::to_string(index) + " cannot be read");
    state.entries.push_back(std::move(*entry));
  }
  return {};
}

// ---- Writing ----

bool ShardDatabase::Commit(const std::vector<ShardWrite>& writes) {
  if (!database_.Execute("BEGIN IMMEDIATE")) return false;
  bool written = true;
  for (const ShardWrite& write : writes) written = written && Write(write);
  if (written && database_.Execute("COMMIT")) return true;
  database_.Execute("ROLLBACK");
  return false;
}

bool ShardDatabase::Write(const ShardWrite& write) {
  if (write.hard && !WriteHardState(write.shard, *write.hard)) return false;
  if (!WriteEntries(write)) return false;
  return !write.snapshot || WriteSnapshot(write.shard, *write.snapshot);
}

bool ShardDatabase::WriteHardState(int shard, const consensus::HardState& hard) {
  sqlite::Statement replace = database_.Prepare("INSERT OR REPLACE INTO hard_state VALUES (?, ?, ?)");
  return replace.Bind(1, static_cast<std::uint64_t>(shard)).Bind(2, hard.term).BindText(3, hard.vote).Run();
}

bool ShardDatabase::WriteEntries(const ShardWrite& write) {
  const auto shard = static_cast<std::uint64_t>(write.shard);
  if (write.replaces_log || write.first > 0) {
    sqlite::Statement erase = database_.Prepare("DELETE FROM entry WHERE shard = ? AND position >= ?");
    if (!erase.Bind(1, shard).Bind(2, write.replaces_log ? 0 : write.first).Run()) return false;
  }
  Index index = write.first;
  for (const Entry& entry : write.entries) {
    sqlite::Statement insert = database_.Prepare("INSERT INTO entry VALUES (?, ?, ?)");
    if (!insert.Bind(1, shard).Bind(2, index).BindBlob(3, consensus::Encode(entry)).Run()) return false;
    ++index;
  }
  return true;
}

bool ShardDatabase::WriteSnapshot(int shard, const Snapshot& snapshot) {
  const auto shard_column = static_cast<std::uint64_t>(shard);
  sqlite::Statement replace = database_.Prepare("INSERT OR REPLACE INTO snapshot VALUES (?, ?)");
  if (!replace.Bind(1, shard_column).BindBlob(2, consensus::Encode(snapshot)).Run()) return false;
  sqlite::Statement erase = database_.Prepare("DELETE FROM entry WHERE shard = ? AND position <= ?");
  return erase.Bind(1, shard_column).Bind(2, snapshot.index).Run();
}

}  // namespace violetwing
