#include "registry/store.hpp"

#include <sqlite3.h>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <utility>

#include "registry/json.hpp"

namespace violetwing::registry {
namespace {

constexpr int kApplication = 0x56575247;  // "VWRG"

[[noreturn]] void Fail(sqlite3* database, const std::string& doing) {
  throw StoreError("store: " + doing + ": " + sqlite3_errmsg(database));
}

class Statement {
 public:
  Statement(sqlite3* database, const char* sql) : database_(database) {
    if (sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr) != SQLITE_OK) Fail(database, sql);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& Bind(int at, std::int64_t value) {
    sqlite3_bind_int64(statement_, at, value);
    return *this;
  }
  Statement& Bind(int at, const std::string& text) {
    sqlite3_bind_text(statement_, at, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  // Whether there is a row.
  bool Step() {
    const int result = sqlite3_step(statement_);
    if (result != SQLITE_ROW && result != SQLITE_DONE) Fail(database_, sqlite3_sql(statement_));
    return result == SQLITE_ROW;
  }
  void Again() { sqlite3_reset(statement_); }
  std::int64_t Int(int column) const { return sqlite3_column_int64(statement_, column); }
  std::string Text(int column) const {
    const auto* const text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    return text == nullptr
               ? ""
               : std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
  }

 private:
  sqlite3* database_;
  sqlite3_stmt* statement_ = nullptr;
};

void Run(sqlite3* database, const char* sql) {
  if (sqlite3_exec(database, sql, nullptr, nullptr, nullptr) != SQLITE_OK) Fail(database, sql);
}

std::int64_t One(sqlite3* database, const char* sql) {
  Statement statement(database, sql);
  return statement.Step() ? statement.Int(0) : 0;
}

// Undoes what is not committed, whatever ends it.
class Transaction {
 public:
  explicit Transaction(sqlite3* database) : database_(database) { Run(database, "BEGIN IMMEDIATE"); }
  ~Transaction() {
    if (!done_) sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void Commit() {
    Run(database_, "COMMIT");
    done_ = true;
  }

 private:
  sqlite3* database_;
  bool done_ = false;
};

std::optional<std::int64_t> FindMeta(sqlite3* database, const char* name) {
  Statement statement(database, "SELECT value FROM meta WHERE name = ?");
  statement.Bind(1, std::string(name));
  return statement.Step() ? std::optional(statement.Int(0)) : std::nullopt;
}

std::int64_t Meta(sqlite3* database, const char* name) {
  const auto value = FindMeta(database, name);
  if (!value) throw StoreError(std::string("store: no ") + name + " in it");
  return *value;
}

void SetMeta(sqlite3* database, const char* name, std::int64_t value) {
  Statement(database, "INSERT OR REPLACE INTO meta(name, value) VALUES(?, ?)")
      .Bind(1, std::string(name))
      .Bind(2, value)
      .Step();
}

std::string OneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

[[noreturn]] void Unsound(const char* what, const std::string& name, const std::string& why) {
  throw StoreError(std::string(what) + " " + name + ": " + why);
}

void AbsentOrFail(const std::string& file) {
  std::error_code ignored;
  if (std::filesystem::exists(file, ignored)) throw StoreError(file + ": is there already");
}

void CheckEpoch(std::int64_t epoch) {
  if (epoch < 0 || epoch > kMostEpoch) throw StoreError("epoch: not from 1 to " + std::to_string(kMostEpoch));
}

}  // namespace

void Store::Close::operator()(sqlite3* database) const { sqlite3_close(database); }

Store::Database Store::Open(const std::string& file, int flags) {
  sqlite3* raw = nullptr;
  const int result = sqlite3_open_v2(file.c_str(), &raw, flags, nullptr);
  Database database(raw);
  if (result != SQLITE_OK) throw StoreError(file + ": " + sqlite3_errstr(result));
  return database;
}

Store::Store(const std::string& file, std::int64_t epoch)
    : database_(Open(file, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE)) {
  CheckEpoch(epoch);
  try {
    // Before the first read, so that a second registry on the same file is told at once.
    Run(database_.get(), "PRAGMA locking_mode = EXCLUSIVE");
    Run(database_.get(), "PRAGMA journal_mode = WAL");
    Run(database_.get(), "PRAGMA synchronous = FULL");
    Migrate(epoch);
  } catch (const StoreError& error) {
    throw StoreError(file + ": " + error.what());
  }
}

Store::~Store() = default;

void Store::Migrate(std::int64_t epoch) {
  sqlite3* const database = database_.get();
  const std::int64_t schema = One(database, "PRAGMA user_version");
  const std::int64_t application = One(database, "PRAGMA application_id");
  if (schema > kSchema)
    throw StoreError("of a newer program (schema " + std::to_string(schema) + ", this one knows " +
                     std::to_string(kSchema) + ")");
  const bool fresh = schema == 0 && One(database, "SELECT count(*) FROM sqlite_master") == 0;
  if (!fresh && application != kApplication) throw StoreError("no registry's store");
  Transaction transaction(database);
  if (fresh) {
    Run(database, "CREATE TABLE meta(name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID");
    Run(database,
        "CREATE TABLE entries(id TEXT PRIMARY KEY, changed INTEGER NOT NULL, body TEXT NOT NULL) WITHOUT "
        "ROWID");
    Run(database, "CREATE TABLE keys(key TEXT PRIMARY KEY, generation INTEGER NOT NULL) WITHOUT ROWID");
    Run(database, "CREATE INDEX keys_by_generation ON keys(generation)");
    Run(database, ("PRAGMA application_id = " + std::to_string(kApplication)).c_str());
    Run(database, ("PRAGMA user_version = " + std::to_string(kSchema)).c_str());
    SetMeta(database, "epoch", std::max<std::int64_t>(epoch, 1));
    SetMeta(database, "change", 0);
  } else if (epoch != 0) {
    const std::int64_t stored = Meta(database, "epoch");
    if (epoch < stored)
      throw StoreError("epoch " + std::to_string(epoch) + " is below the store's, " + std::to_string(stored));
    if (epoch > stored) {
      SetMeta(database, "epoch", epoch);
      SetMeta(database, "change", 0);
    }
  }
  transaction.Commit();
}

Core::State Store::Load() {
  sqlite3* const database = database_.get();
  Core::State state;
  state.epoch = Meta(database, "epoch");
  state.change = Meta(database, "change");
  Statement entries(database, "SELECT id, changed, body FROM entries");
  while (entries.Step()) {
    const auto json = nlohmann::json::parse(entries.Text(2), nullptr, /*allow_exceptions=*/false);
    try {
      if (json.is_discarded()) throw JsonError("no JSON");
      state.entries[entries.Text(0)] = {FromStored(json), entries.Int(1)};
    } catch (const JsonError& error) {
      throw StoreError("store: entry " + entries.Text(0) + ": " + error.what());
    }
  }
  Statement keys(database, "SELECT key, generation FROM keys ORDER BY generation, key");
  while (keys.Step()) state.keys.emplace_back(keys.Text(0), keys.Int(1));
  return state;
}

void Store::Commit(const Change& change) {
  sqlite3* const database = database_.get();
  Transaction transaction(database);
  Statement put(database, "INSERT OR REPLACE INTO entries(id, changed, body) VALUES(?, ?, ?)");
  Statement drop(database, "DELETE FROM entries WHERE id = ?");
  for (const Entry& entry : change.entries) {
    const bool removed = entry.lifecycle == Lifecycle::kRemoved;
    Statement& statement = removed ? drop : put;
    statement.Bind(1, entry.id);
    if (!removed) statement.Bind(2, change.ChangedIn(entry.id)).Bind(3, ToStored(entry).dump());
    statement.Step();
    statement.Again();
  }
  if (change.all_keys) {
    Run(database, "DELETE FROM keys");
    keys_ = 0;
  }
  Statement remember(database, "INSERT OR IGNORE INTO keys(key, generation) VALUES(?, ?)");
  for (const auto& [key, generation] : change.keys) {
    remember.Bind(1, key).Bind(2, generation).Step();
    remember.Again();
  }
  if (!change.keys.empty()) ForgetKeys(change.keys.size());
  if (change.NewEpoch()) {
    SetMeta(database, "epoch", change.epoch());
    SetMeta(database, "began_from", change.since);
  }
  SetMeta(database, "change", change.generation % kEpochUnit);
  transaction.Commit();
}

// The oldest of too many, as the core does. They are counted once: a walk at each write would grow with them.
void Store::ForgetKeys(std::size_t added) {
  if (keys_ == 0)
    keys_ = static_cast<std::size_t>(One(database_.get(), "SELECT count(*) FROM keys"));
  else
    keys_ += added;
  if (keys_ <= kMostKeys) return;
  Statement(database_.get(),
            "DELETE FROM keys WHERE key IN (SELECT key FROM keys ORDER BY generation LIMIT ?)")
      .Bind(1, static_cast<std::int64_t>(keys_ - kMostKeys))
      .Step();
  keys_ = kMostKeys;
}

void Store::SetRole(bool follows) {
  Transaction transaction(database_.get());
  SetMeta(database_.get(), "follows", follows ? 1 : 0);
  transaction.Commit();
}

std::optional<bool> Store::follows() const {
  const auto value = FindMeta(database_.get(), "follows");
  return value ? std::optional(*value != 0) : std::nullopt;
}
std::int64_t Store::began_from() const { return FindMeta(database_.get(), "began_from").value_or(0); }

void Store::Snapshot(const std::string& file) {
  AbsentOrFail(file);
  Statement(database_.get(), "VACUUM INTO ?").Bind(1, file).Step();
  // The role is this registry's own: whoever serves the copy says what it is to be.
  Run(Open(file, SQLITE_OPEN_READWRITE).get(), "DELETE FROM meta WHERE name = 'follows'");
}

void Store::Restore(const std::string& snapshot, const std::string& file, std::int64_t epoch) {
  AbsentOrFail(file);
  const Core::State state = Verify(snapshot);
  CheckEpoch(epoch);
  if (epoch <= state.epoch)
    throw StoreError("epoch " + std::to_string(epoch) + " is not above the snapshot's, " +
                     std::to_string(state.epoch) +
                     ": what was written after it would be told apart by nobody");
  std::error_code error;
  std::filesystem::copy_file(snapshot, file, error);
  if (error) throw StoreError(file + ": " + error.message());
  Store raised(file, epoch);
}

Core::State Store::Verify(const std::string& file) {
  Store store(Open(file, SQLITE_OPEN_READWRITE));  // a WAL that a crash has left is taken up by reading
  sqlite3* const database = store.database_.get();
  try {
    Run(database, "PRAGMA locking_mode = EXCLUSIVE");
    if (One(database, "PRAGMA application_id") != kApplication) throw StoreError("no registry's store");
    if (const std::int64_t schema = One(database, "PRAGMA user_version"); schema != kSchema)
      throw StoreError("of schema " + std::to_string(schema) + ", this program knows " +
                       std::to_string(kSchema));
    Statement check(database, "PRAGMA integrity_check");
    if (!check.Step() || check.Text(0) != "ok") throw StoreError("not whole: " + OneLine(check.Text(0)));
    Core::State state = store.Load();
    const std::int64_t generation = state.epoch * kEpochUnit + state.change;
    for (const auto& [id, kept] : state.entries) {
      if (kept.first.id != id) Unsound("entry", id, "it holds another id");
      if (const std::string wrong = Wrong(kept.first); !wrong.empty()) Unsound("entry", id, wrong);
      if (kept.second > generation) Unsound("entry", id, "of a version to come");
    }
    for (const auto& [key, version] : state.keys)
      if (version > generation) Unsound("key", key, "of a version to come");
    return state;
  } catch (const StoreError& error) {
    throw StoreError(file + ": " + error.what());
  }
}

}  // namespace violetwing::registry
