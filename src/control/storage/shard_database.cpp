#include "control/storage/shard_database.hpp"

#include <utility>

#include "control/storage/storage_error.hpp"
#include "control/storage/stored_encoding.hpp"

namespace violetwing {
namespace {

using consensus::Entry;
using consensus::Index;
using consensus::Snapshot;
using sqlite::StepResult;

constexpr const char* kFileName = "control.db";

// Format number of the row bodies, stored in table identity. 1: JSON, 2: protocol buffers. Both can be read.
constexpr int kFormat = 2;
constexpr int kOldestFormat = 1;

// Settings for a write-ahead log with one sync per commit. With the exclusive lock SQLite keeps the index of
// the log in process memory, without a file of shared memory.
constexpr const char* kPragmas =
    "PRAGMA locking_mode=EXCLUSIVE;"
    "PRAGMA synchronous=FULL;"
    "PRAGMA wal_autocheckpoint=256;"
    "PRAGMA journal_size_limit=2097152;"
    "PRAGMA cache_size=-1024;";
constexpr const char* kEnableWal = "PRAGMA journal_mode=WAL";

constexpr const char* kTableNames[] = {"identity", "hard_state", "snapshot", "entry"};
// Earlier versions created the tables one by one, so a file may have only some of them, without rows.
constexpr const char* kCreateTables =
    "CREATE TABLE IF NOT EXISTS identity (format INTEGER NOT NULL, disk TEXT NOT NULL);"
    "CREATE TABLE IF NOT EXISTS hard_state (shard INTEGER PRIMARY KEY, term INTEGER NOT NULL, vote TEXT NOT "
    "NULL);"
    "CREATE TABLE IF NOT EXISTS snapshot (shard INTEGER PRIMARY KEY, body BLOB NOT NULL);"
    "CREATE TABLE IF NOT EXISTS entry (shard INTEGER NOT NULL, position INTEGER NOT NULL, body BLOB NOT NULL,"
    " PRIMARY KEY (shard, position)) WITHOUT ROWID;";

constexpr const char* kInsertIdentity = "INSERT INTO identity VALUES (?, ?)";
constexpr const char* kUpdateFormat = "UPDATE identity SET format = ?";
constexpr const char* kReplaceHardState = "INSERT OR REPLACE INTO hard_state VALUES (?, ?, ?)";
constexpr const char* kReplaceSnapshot = "INSERT OR REPLACE INTO snapshot VALUES (?, ?)";
constexpr const char* kInsertEntry = "INSERT INTO entry VALUES (?, ?, ?)";
constexpr const char* kDeleteEntriesFrom = "DELETE FROM entry WHERE shard = ? AND position >= ?";
constexpr const char* kDeleteEntriesUpTo = "DELETE FROM entry WHERE shard = ? AND position <= ?";
constexpr const char* kWriteStatements[] = {kInsertIdentity,   kUpdateFormat, kReplaceHardState,
                                            kReplaceSnapshot,  kInsertEntry,  kDeleteEntriesFrom,
                                            kDeleteEntriesUpTo};

std::uint64_t ToColumnValue(int shard) { return static_cast<std::uint64_t>(shard); }

}  // namespace

// ---- Opening ----

Fallible<void> ShardDatabase::Open(const std::string& directory, const consensus::ReplicaId& new_id) {
  file_ = directory + "/" + kFileName;
  if (auto opened = OpenFile(); !opened) return opened;
  const Fallible<TableStatus> tables = InspectTables();
  if (!tables) return tables.error();
  if (!tables.value().has_rows) {
    if (auto created = CreateTables(new_id); !created) return created;
  } else if (!tables.value().missing.empty()) {
    return MakeFailure(StorageErrc::kMissingTable, "table " + tables.value().missing.front() + " is missing");
  }
  if (auto prepared = PrepareWrites(); !prepared) return prepared;
  return ReadTables();
}

Fallible<void> ShardDatabase::OpenFile() {
  if (const std::error_code error = database_.Open(file_)) return MakeDatabaseFailure(error);
  if (database_.IsEmptyWithWal())
    return MakeFailure(StorageErrc::kTruncated, "is empty, and a write-ahead log lies beside it");
  if (const std::error_code error = database_.Execute(kPragmas)) return MakeDatabaseFailure(error);
  sqlite::Statement mode = database_.Prepare(kEnableWal);
  if (mode.Next() != StepResult::kRow) return MakeDatabaseFailure(mode.error());
  if (mode.Text(0) != "wal") return MakeFailure(StorageErrc::kIoError, "cannot use a write-ahead log");
  return Success();
}

Failure ShardDatabase::MakeFailure(std::error_code code, const std::string& detail) const {
  return {code, file_ + ": " + detail};
}

Failure ShardDatabase::MakeDatabaseFailure(std::error_code code) const {
  if (code == StorageErrc::kCorrupt && database_.IsTruncated())
    return MakeFailure(StorageErrc::kTruncated, "is shorter than its header says");
  return MakeFailure(code, code.message() + ": " + database_.ErrorMessage());
}

Fallible<ShardDatabase::TableStatus> ShardDatabase::InspectTables() {
  TableStatus status;
  for (const std::string table : kTableNames) {
    const Fallible<bool> exists =
        HasRow("SELECT 1 FROM sqlite_master WHERE type = 'table' AND name = '" + table + "'");
    if (!exists) return exists.error();
    if (!exists.value()) {
      status.missing.push_back(table);
      continue;
    }
    const Fallible<bool> has_row = HasRow("SELECT 1 FROM " + table + " LIMIT 1");
    if (!has_row) return has_row.error();
    status.has_rows = status.has_rows || has_row.value();
  }
  return status;
}

Fallible<bool> ShardDatabase::HasRow(const std::string& query) {
  sqlite::Statement statement = database_.Prepare(query);
  const StepResult step = statement.Next();
  if (step == StepResult::kError) return MakeDatabaseFailure(statement.error());
  return step == StepResult::kRow;
}

// Uses one transaction, so that a file has either all tables and its id or nothing.
Fallible<void> ShardDatabase::CreateTables(const consensus::ReplicaId& new_id) {
  std::error_code error = database_.Execute("BEGIN IMMEDIATE");
  if (!error) error = database_.Execute(kCreateTables);
  if (!error) error = database_.Prepare(kInsertIdentity).Bind(1, kFormat).BindText(2, new_id).Run();
  if (!error) error = database_.Execute("COMMIT");
  if (error) return MakeDatabaseFailure(error);
  return Success();
}

// Prepares all write statements, so that a foreign schema is detected when the file is opened.
Fallible<void> ShardDatabase::PrepareWrites() {
  for (const char* sql : kWriteStatements)
    if (const std::error_code error = database_.Prepare(sql).error()) return MakeDatabaseFailure(error);
  return Success();
}

Fallible<void> ShardDatabase::ReadTables() {
  if (auto read = ReadIdentity(); !read) return read;
  if (auto read = ReadHardStates(); !read) return read;
  if (auto read = ReadSnapshots(); !read) return read;
  return ReadEntries();
}

Fallible<void> ShardDatabase::ReadIdentity() {
  sqlite::Statement row = database_.Prepare("SELECT format, disk FROM identity");
  const StepResult step = row.Next();
  if (step == StepResult::kError) return MakeDatabaseFailure(row.error());
  if (step == StepResult::kEnd) return MakeFailure(StorageErrc::kCorrupt, "the identity is missing");
  if (!row.IsInteger(0) || row.Int(0) < kOldestFormat || !row.IsText(1))
    return MakeFailure(StorageErrc::kForeignSchema, "the identity is not that of a store");
  if (row.Int(0) > kFormat) return MakeFailure(StorageErrc::kFormatTooNew, "was written by a newer version");
  has_older_format_ = row.Int(0) < kFormat;
  replica_id_ = row.Text(1);
  const StepResult second = row.Next();
  if (second == StepResult::kError) return MakeDatabaseFailure(row.error());
  if (second == StepResult::kRow) return MakeFailure(StorageErrc::kCorrupt, "there are two identities");
  return Success();
}

Fallible<void> ShardDatabase::ReadHardStates() {
  sqlite::Statement row = database_.Prepare("SELECT shard, term, vote FROM hard_state");
  StepResult step = row.Next();
  for (; step == StepResult::kRow; step = row.Next()) {
    if (!row.IsInteger(1) || !row.IsText(2))
      return MakeFailure(StorageErrc::kCorrupt,
                         "the hard state of shard " + std::to_string(row.Int(0)) + " cannot be read");
    stored_[row.Int(0)].hard_state = {row.Unsigned(1), row.Text(2)};
  }
  if (step == StepResult::kError) return MakeDatabaseFailure(row.error());
  return Success();
}

Fallible<void> ShardDatabase::ReadSnapshots() {
  sqlite::Statement row = database_.Prepare("SELECT shard, body FROM snapshot");
  StepResult step = row.Next();
  for (; step == StepResult::kRow; step = row.Next()) {
    const int shard = row.Int(0);
    Result<Snapshot> snapshot = DecodeStoredSnapshot(row.Blob(1));
    if (!snapshot)
      return MakeFailure(StorageErrc::kCorrupt, "the snapshot of shard " + std::to_string(shard) +
                                                    " cannot be read: " + snapshot.error().message());
    stored_[shard].snapshot = std::move(snapshot.value());
  }
  if (step == StepResult::kError) return MakeDatabaseFailure(row.error());
  return Success();
}

Fallible<void> ShardDatabase::ReadEntries() {
  sqlite::Statement row =
      database_.Prepare("SELECT shard, position, body FROM entry ORDER BY shard, position");
  StepResult step = row.Next();
  for (; step == StepResult::kRow; step = row.Next()) {
    consensus::StoredState& state = stored_[row.Int(0)];
    const Index index = row.Unsigned(1);
    if (index != state.snapshot.index + state.entries.size() + 1)
      return MakeFailure(StorageErrc::kCorrupt, "the log has a gap at " + std::to_string(index));
    Result<Entry> entry = DecodeStoredEntry(row.Blob(2));
    if (!entry)
      return MakeFailure(StorageErrc::kCorrupt, "the entry at " + std::to_string(index) +
                                                    " cannot be read: " + entry.error().message());
    state.entries.push_back(std::move(entry.value()));
  }
  if (step == StepResult::kError) return MakeDatabaseFailure(row.error());
  return Success();
}

// ---- Writing ----

std::error_code ShardDatabase::Commit(const std::vector<ShardWrite>& writes) {
  // The rollback of the previous call may have failed.
  if (database_.InTransaction())
    if (const std::error_code error = database_.Execute("ROLLBACK")) return error;
  if (const std::error_code error = database_.Execute("BEGIN IMMEDIATE")) return error;
  std::error_code error = WriteAll(writes);
  if (!error) error = database_.Execute("COMMIT");
  if (!error) {
    has_older_format_ = false;
    return {};
  }
  // The result is ignored: SQLite may have rolled back already, and the first error is returned.
  database_.Execute("ROLLBACK");
  return error;
}

std::error_code ShardDatabase::WriteAll(const std::vector<ShardWrite>& writes) {
  if (has_older_format_)
    if (const std::error_code error = database_.Prepare(kUpdateFormat).Bind(1, kFormat).Run()) return error;
  for (const ShardWrite& write : writes)
    if (const std::error_code error = Write(write)) return error;
  return {};
}

std::error_code ShardDatabase::Write(const ShardWrite& write) {
  if (write.hard_state)
    if (const std::error_code error = WriteHardState(write.shard, *write.hard_state)) return error;
  if (const std::error_code error = WriteEntries(write)) return error;
  return write.snapshot ? WriteSnapshot(write.shard, *write.snapshot) : std::error_code();
}

std::error_code ShardDatabase::WriteHardState(int shard, const consensus::HardState& hard_state) {
  sqlite::Statement replace = database_.Prepare(kReplaceHardState);
  return replace.Bind(1, ToColumnValue(shard)).Bind(2, hard_state.term).BindText(3, hard_state.vote).Run();
}

std::error_code ShardDatabase::WriteEntries(const ShardWrite& write) {
  const std::uint64_t shard = ToColumnValue(write.shard);
  if (write.replaces_log || write.first_index > 0) {
    sqlite::Statement erase = database_.Prepare(kDeleteEntriesFrom);
    const Index from = write.replaces_log ? 0 : write.first_index;
    if (const std::error_code error = erase.Bind(1, shard).Bind(2, from).Run()) return error;
  }
  Index index = write.first_index;
  for (const Entry& entry : write.entries) {
    sqlite::Statement insert = database_.Prepare(kInsertEntry);
    insert.Bind(1, shard).Bind(2, index).BindBlob(3, EncodeStored(entry));
    if (const std::error_code error = insert.Run()) return error;
    ++index;
  }
  return {};
}

std::error_code ShardDatabase::WriteSnapshot(int shard, const Snapshot& snapshot) {
  sqlite::Statement replace = database_.Prepare(kReplaceSnapshot);
  replace.Bind(1, ToColumnValue(shard)).BindBlob(2, EncodeStored(snapshot));
  if (const std::error_code error = replace.Run()) return error;
  sqlite::Statement erase = database_.Prepare(kDeleteEntriesUpTo);
  return erase.Bind(1, ToColumnValue(shard)).Bind(2, snapshot.index).Run();
}

}  // namespace violetwing
