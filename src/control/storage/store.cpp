#include "control/storage/store.hpp"

#include <chrono>
#include <utility>

#include "control/consensus/encoding.hpp"
#include "control/storage/json_form.hpp"

namespace violetwing {
namespace {

using consensus::Entry;
using consensus::Index;

// Between two tries of a write that the disk has refused.
constexpr std::chrono::milliseconds kRetryPause{200};

// The form of what is stored; a newer binary reads the older ones. 1: bodies in JSON, 2: in protocol buffers.
constexpr int kFormat = 2;

// A write-ahead log with one sync for each commit. The exclusive lock keeps its index in this process's own
// memory: no file is mapped by several processes.
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

std::string Text(sqlite3_stmt* statement, int column) {
  const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement, column));
  return text == nullptr
             ? std::string()
             : std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(statement, column)));
}

std::string Blob(sqlite3_stmt* statement, int column) {
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement, column));
  const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement, column));
  return bytes == nullptr ? std::string() : std::string(bytes, size);
}

std::optional<Entry> ReadEntry(const std::string& body) {
  return IsJsonForm(body) ? EntryFromJson(body) : consensus::DecodeEntry(body);
}

std::optional<consensus::Snapshot> ReadSnapshot(const std::string& body) {
  return IsJsonForm(body) ? SnapshotFromJson(body) : consensus::DecodeSnapshot(body);
}

void BindBlob(sqlite3_stmt* statement, int at, const std::string& bytes) {
  sqlite3_bind_blob(statement, at, bytes.data(), static_cast<int>(bytes.size()), SQLITE_TRANSIENT);
}

void Bind(sqlite3_stmt* statement, int at, const std::string& text) {
  sqlite3_bind_text(statement, at, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
}

void Bind(sqlite3_stmt* statement, int at, std::uint64_t number) {
  sqlite3_bind_int64(statement, at, static_cast<sqlite3_int64>(number));
}

}  // namespace

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
  for (auto& [sql, statement] : statements_) sqlite3_finalize(statement);
  sqlite3_close(database_);
}

bool Store::Run(const char* sql, std::string* problem) {
  char* message = nullptr;
  const int code = sqlite3_exec(database_, sql, nullptr, nullptr, &message);
  if (code != SQLITE_OK && problem != nullptr) *problem = message != nullptr ? message : sqlite3_errstr(code);
  sqlite3_free(message);
  return code == SQLITE_OK;
}

sqlite3_stmt* Store::Prepare(const std::string& sql) {
  sqlite3_stmt*& statement = statements_[sql];
  if (statement == nullptr) {
    if (sqlite3_prepare_v2(database_, sql.c_str(), -1, &statement, nullptr) != SQLITE_OK) return nullptr;
  }
  sqlite3_reset(statement);
  sqlite3_clear_bindings(statement);
  return statement;
}

bool Store::Step(sqlite3_stmt* statement) {
  if (statement == nullptr) return false;
  const int code = sqlite3_step(statement);
  sqlite3_reset(statement);
  return code == SQLITE_DONE || code == SQLITE_ROW;
}

std::error_code Store::Open(const std::string& directory, const std::string& founder, std::string& problem) {
  const std::string file = directory + "/control.db";
  const auto failed = std::make_error_code(std::errc::io_error);
  if (sqlite3_open(file.c_str(), &database_) != SQLITE_OK) {
    problem = sqlite3_errmsg(database_);
    return failed;
  }
  if (!Run(kSetUp, &problem)) return failed;
  sqlite3_stmt* read = Prepare("SELECT format, disk FROM identity");
  if (read != nullptr && sqlite3_step(read) == SQLITE_ROW) {
    if (sqlite3_column_int(read, 0) > kFormat) {
      problem = file + ": was written by a newer version";
      return std::make_error_code(std::errc::not_supported);
    }
    disk_ = Text(read, 1);
    sqlite3_reset(read);
    const std::string upgrade = "UPDATE identity SET format = " + std::to_string(kFormat);
    return ReadAll(problem) && Run(upgrade.c_str(), &problem) ? std::error_code() : failed;
  }
  if (read != nullptr) sqlite3_reset(read);
  sqlite3_stmt* insert = Prepare("INSERT INTO identity VALUES (?, ?)");
  if (insert == nullptr) return failed;
  Bind(insert, 1, std::uint64_t{kFormat});
  Bind(insert, 2, founder);
  if (!Step(insert)) {
    problem = sqlite3_errmsg(database_);
    return failed;
  }
  disk_ = founder;
  return {};
}

bool Store::ReadAll(std::string& problem) {
  sqlite3_stmt* hard = Prepare("SELECT shard, term, vote FROM hard_state");
  while (hard != nullptr && sqlite3_step(hard) == SQLITE_ROW)
    stored_[sqlite3_column_int(hard, 0)].hard = {static_cast<consensus::Term>(sqlite3_column_int64(hard, 1)),
                                                 Text(hard, 2)};
  const bool read = ReadSnapshots(problem) && ReadEntries(problem);
  if (hard != nullptr) sqlite3_reset(hard);
  return read;
}

bool Store::ReadSnapshots(std::string& problem) {
  sqlite3_stmt* row = Prepare("SELECT shard, body FROM snapshot");
  while (row != nullptr && sqlite3_step(row) == SQLITE_ROW) {
    std::optional<consensus::Snapshot> snapshot = ReadSnapshot(Blob(row, 1));
    const int shard = sqlite3_column_int(row, 0);
    if (!snapshot) {
      problem = "control.db: the snapshot of shard " + std::to_string(shard) + " cannot be read";
      return false;
    }
    stored_[shard].snapshot = std::move(*snapshot);
  }
  if (row != nullptr) sqlite3_reset(row);
  return true;
}

bool Store::ReadEntries(std::string& problem) {
  sqlite3_stmt* row = Prepare("SELECT shard, position, body FROM entry ORDER BY shard, position");
  while (row != nullptr && sqlite3_step(row) == SQLITE_ROW) {
    consensus::StoredState& state = stored_[sqlite3_column_int(row, 0)];
    const auto position = static_cast<Index>(sqlite3_column_int64(row, 1));
    if (position != state.snapshot.index + state.entries.size() + 1) {
      problem = "control.db: the log has a gap at " + std::to_string(position);
      return false;
    }
    std::optional<Entry> entry = ReadEntry(Blob(row, 2));
    if (!entry) {
      problem = "control.db: the entry at " + std::to_string(position) + " cannot be read";
      return false;
    }
    state.entries.push_back(std::move(*entry));
  }
  if (row != nullptr) sqlite3_reset(row);
  return true;
}

void Store::Start(std::function<void()> notify) {
  notify_ = std::move(notify);
  thread_ = std::thread([this] { Work(); });
}

void Store::Enqueue(ShardWrite write, std::uint64_t token) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back({std::move(write), token});
  }
  wake_.notify_one();
}

std::vector<std::uint64_t> Store::TakeWritten() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(written_, {});
}

void Store::Work() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
    if (stopped_) return;
    std::vector<Job> jobs(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
    queue_.clear();
    lock.unlock();
    bool done = WriteAll(jobs);
    while (!done) {
      std::this_thread::sleep_for(kRetryPause);
      lock.lock();
      const bool over = stopped_;
      lock.unlock();
      if (over) return;
      done = WriteAll(jobs);
    }
    lock.lock();
    for (const Job& job : jobs) written_.push_back(job.token);
    lock.unlock();
    notify_();
    lock.lock();
  }
}

bool Store::WriteAll(const std::vector<Job>& jobs) {
  if (!Run("BEGIN IMMEDIATE")) return false;
  for (const Job& job : jobs) {
    if (Write(job.write)) continue;
    Run("ROLLBACK");
    return false;
  }
  if (Run("COMMIT")) return true;
  Run("ROLLBACK");
  return false;
}

bool Store::Write(const ShardWrite& write) {
  const auto shard = static_cast<std::uint64_t>(write.shard);
  if (write.hard) {
    sqlite3_stmt* hard = Prepare("INSERT OR REPLACE INTO hard_state VALUES (?, ?, ?)");
    if (hard == nullptr) return false;
    Bind(hard, 1, shard);
    Bind(hard, 2, write.hard->term);
    Bind(hard, 3, write.hard->vote);
    if (!Step(hard)) return false;
  }
  if (write.replaces_log || write.first > 0) {
    sqlite3_stmt* erase = Prepare("DELETE FROM entry WHERE shard = ? AND position >= ?");
    if (erase == nullptr) return false;
    Bind(erase, 1, shard);
    Bind(erase, 2, write.replaces_log ? 0 : write.first);
    if (!Step(erase)) return false;
  }
  for (std::size_t i = 0; i < write.entries.size(); ++i) {
    sqlite3_stmt* entry = Prepare("INSERT INTO entry VALUES (?, ?, ?)");
    if (entry == nullptr) return false;
    Bind(entry, 1, shard);
    Bind(entry, 2, write.first + i);
    BindBlob(entry, 3, consensus::Encode(write.entries[i]));
    if (!Step(entry)) return false;
  }
  if (!write.snapshot) return true;
  sqlite3_stmt* snapshot = Prepare("INSERT OR REPLACE INTO snapshot VALUES (?, ?)");
  sqlite3_stmt* erase = Prepare("DELETE FROM entry WHERE shard = ? AND position <= ?");
  if (snapshot == nullptr || erase == nullptr) return false;
  Bind(snapshot, 1, shard);
  BindBlob(snapshot, 2, consensus::Encode(*write.snapshot));
  Bind(erase, 1, shard);
  Bind(erase, 2, write.snapshot->index);
  return Step(snapshot) && Step(erase);
}

}  // namespace violetwing
