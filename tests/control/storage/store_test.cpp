// Contents of a store file after writes, as a restarted process reads them, and errors of opening a store.
#include "control/storage/store.hpp"

#include <sqlite3.h>

#include <catch2/catch.hpp>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <variant>

#include "control/replication/commands.hpp"
#include "control/storage/storage_error.hpp"
#include "testing/faulty_disk.hpp"

namespace violetwing {
namespace {

using consensus::Entry;
using consensus::EntryKind;

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    char name[] = "/tmp/violetwing-store-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

Entry Command(consensus::Term term, const std::string& text) { return {term, EntryKind::kCommand, text, {}}; }

// Enqueues all writes and returns once they are durable.
void WriteDurably(Store& store, std::vector<ShardWrite> writes) {
  std::mutex mutex;
  std::condition_variable wake;
  std::size_t done = 0;
  const std::size_t expected = writes.size();
  store.Start([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    done += store.TakeDurable().size();
    wake.notify_all();
  });
  std::uint64_t token = 0;
  for (ShardWrite& write : writes) store.Enqueue(std::move(write), ++token);
  std::unique_lock<std::mutex> lock(mutex);
  REQUIRE(wake.wait_for(lock, std::chrono::seconds(20), [&] { return done == expected; }));
}

ShardWrite Entries(int shard, consensus::Index first, std::vector<Entry> entries) {
  ShardWrite write;
  write.shard = shard;
  write.first_index = first;
  write.entries = std::move(entries);
  return write;
}

// Executes SQL statements on the file of a closed store, which is created if it is missing.
void Modify(const TemporaryDirectory& directory, const std::string& statements) {
  sqlite3* database = nullptr;
  REQUIRE(sqlite3_open((directory.path() + "/control.db").c_str(), &database) == SQLITE_OK);
  REQUIRE(sqlite3_exec(database, statements.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK);
  sqlite3_close(database);
}

// Creates a store in the directory and executes SQL statements on its file.
void CreateAndModify(const TemporaryDirectory& directory, const std::string& statements) {
  {
    Store store;
    REQUIRE(store.Open(directory.path(), "disk/a"));
  }
  Modify(directory, statements);
}

}  // namespace

TEST_CASE("Reopening restores the replica id, votes and logs without overwritten entries") {
  const TemporaryDirectory directory;
  {
    Store store;
    REQUIRE(store.Open(directory.path(), "disk/a"));
    CHECK(store.stored().empty());
    ShardWrite vote;
    vote.shard = 1;
    vote.hard_state = consensus::HardState{7, "disk/b"};
    WriteDurably(store, {vote, Entries(1, 1, {Command(1, "x"), Command(1, "y"), Command(1, "z")}),
                         Entries(1, 2, {Command(2, "new y")}), Entries(2, 1, {Command(1, "other")})});
  }
  Store store;
  REQUIRE(store.Open(directory.path(), "disk/never used"));
  CHECK(store.replica_id() == "disk/a");
  const consensus::StoredState& shard_1 = store.stored().at(1);
  CHECK(shard_1.hard_state == consensus::HardState{7, "disk/b"});
  REQUIRE(shard_1.entries.size() == 2);
  CHECK(shard_1.entries[1].command == "new y");
  CHECK(store.stored().at(2).entries.size() == 1);
}

TEST_CASE("A snapshot replaces the log entries up to its index, or all of them") {
  for (const bool replaces_log : {false, true}) {
    const TemporaryDirectory directory;
    {
      Store store;
      REQUIRE(store.Open(directory.path(), "disk/a"));
      ShardWrite snapshot;
      snapshot.shard = 1;
      snapshot.replaces_log = replaces_log;
      snapshot.snapshot = consensus::Snapshot{2, 1, {{"disk/a", "10.0.0.1:1"}}, "state"};
      WriteDurably(store, {Entries(1, 1, {Command(1, "x"), Command(1, "y"), Command(1, "z")}), snapshot});
    }
    Store store;
    REQUIRE(store.Open(directory.path(), "disk/a"));
    const consensus::StoredState& shard_1 = store.stored().at(1);
    CHECK(shard_1.snapshot.index == 2);
    CHECK(shard_1.snapshot.state == "state");
    CHECK(shard_1.snapshot.members.size() == 1);
    CHECK(shard_1.entries.size() == (replaces_log ? 0 : 1));
  }
}

TEST_CASE("Opening a store of a newer format fails and reports the reason") {
  const TemporaryDirectory directory;
  CreateAndModify(directory, "UPDATE identity SET format = 99");
  Store store;
  const Failure failure = store.Open(directory.path(), "disk/a").error();
  CHECK(failure.code == StorageErrc::kFormatTooNew);
  CHECK(failure.code == std::errc::not_supported);
  CHECK(failure.message.find("newer version") != std::string::npos);
}

TEST_CASE("Entries and snapshots of format 1 (JSON) are read together with newer ones") {
  const TemporaryDirectory directory;
  const char* format_1 = R"(UPDATE identity SET format = 1;
    INSERT INTO snapshot VALUES (1, '{"index":4,"term":2,"members":[{"id":"a","address":"1:2"}],"state":"s"}');
    INSERT INTO entry VALUES (1, 5, '{"term":2,"kind":"command","command":"{\"request\":\"r\"}"}');
    INSERT INTO entry VALUES (1, 6, '{"term":3,"kind":"noop"}');
    INSERT INTO entry VALUES (1, 7, '{"term":3,"kind":"members","members":[{"id":"b","address":"3:4"}]}');)";
  CreateAndModify(directory, format_1);
  {
    Store store;
    REQUIRE(store.Open(directory.path(), "disk/never used"));
    WriteDurably(store, {Entries(1, 8, {Command(4, std::string("\xff\x00x", 3))})});
  }
  Store store;
  REQUIRE(store.Open(directory.path(), "disk/never used"));
  const consensus::StoredState& shard_1 = store.stored().at(1);
  CHECK(shard_1.snapshot.index == 4);
  CHECK(shard_1.snapshot.state == "s");
  CHECK(shard_1.snapshot.members == consensus::Members{{"a", "1:2"}});
  REQUIRE(shard_1.entries.size() == 4);
  CHECK(shard_1.entries[0].command == "{\"request\":\"r\"}");
  CHECK(shard_1.entries[1].kind == EntryKind::kNoop);
  CHECK(shard_1.entries[2].members == consensus::Members{{"b", "3:4"}});
  CHECK(shard_1.entries[3].command == std::string("\xff\x00x", 3));
}

TEST_CASE("Opening a store with a malformed entry fails and names the entry") {
  for (const char* body : {"'{\"term\":2'", "'{\"term\":2,\"kind\":\"praise\"}'", "x'ffff'"}) {
    const TemporaryDirectory directory;
    CreateAndModify(directory, std::string("INSERT INTO entry VALUES (1, 1, ") + body + ")");
    Store store;
    const Failure failure = store.Open(directory.path(), "disk/a").error();
    CHECK(failure.code == StorageErrc::kCorrupt);
    CHECK(failure.message.find("entry at 1") != std::string::npos);
  }
}

TEST_CASE("Opening a store in a missing directory fails with a message") {
  Store store;
  const Failure failure = store.Open("/nonexistent", "disk/a").error();
  CHECK(failure.code == StorageErrc::kCannotOpen);
  CHECK(failure.code == std::errc::io_error);
  CHECK_FALSE(failure.message.empty());
}

namespace {

// Creates a store with a hard state, a snapshot and entries of shard 1.
void CreatePopulated(const TemporaryDirectory& directory) {
  Store store;
  REQUIRE(store.Open(directory.path(), "disk/a"));
  ShardWrite first;
  first.shard = 1;
  first.hard_state = consensus::HardState{7, "disk/b"};
  first.replaces_log = true;
  first.snapshot = consensus::Snapshot{2, 1, {{"disk/a", "10.0.0.1:1"}}, std::string(20'000, 's')};
  std::vector<Entry> entries;
  for (int i = 0; i < 20; ++i) entries.push_back(Command(7, std::string(1'000, static_cast<char>('a' + i))));
  WriteDurably(store, {first, Entries(1, 3, std::move(entries))});
}

Failure OpenFailure(const TemporaryDirectory& directory) {
  Store store;
  const Fallible<void> opened = store.Open(directory.path(), "disk/never used");
  REQUIRE(opened.has_error());
  CHECK(opened.error().message.find("control.db") != std::string::npos);
  CHECK(opened.error().message.find('\n') == std::string::npos);
  return opened.error();
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void WriteFile(const std::string& path, const std::string& content) {
  std::ofstream(path, std::ios::binary) << content;
}

}  // namespace

TEST_CASE("Opening a store without one of its tables fails and names the table") {
  for (const std::string table : {"identity", "hard_state", "snapshot", "entry"}) {
    const TemporaryDirectory directory;
    CreatePopulated(directory);
    Modify(directory, "DROP TABLE " + table);
    const Failure failure = OpenFailure(directory);
    CHECK(failure.code == StorageErrc::kMissingTable);
    CHECK(failure.message.find("table " + table) != std::string::npos);
  }
}

TEST_CASE("Tables with other columns and malformed identities are reported as a foreign schema") {
  for (const char* statements :
       {"ALTER TABLE hard_state RENAME COLUMN vote TO ballot", "ALTER TABLE entry ADD COLUMN more",
        "ALTER TABLE identity RENAME COLUMN format TO form", "UPDATE identity SET format = 0",
        "UPDATE identity SET format = 'two'", "UPDATE identity SET disk = x'00'"}) {
    INFO(statements);
    const TemporaryDirectory directory;
    CreatePopulated(directory);
    Modify(directory, statements);
    const Failure failure = OpenFailure(directory);
    CHECK(failure.code == StorageErrc::kForeignSchema);
    CHECK(failure.code == std::errc::not_supported);
  }
}

TEST_CASE("A missing or duplicate identity, a malformed hard state and a gap in the log are corrupt") {
  for (const char* statements : {"DELETE FROM identity", "INSERT INTO identity VALUES (2, 'disk/b')",
                                 "UPDATE hard_state SET term = 'seven'", "UPDATE hard_state SET vote = x'00'",
                                 "DELETE FROM entry WHERE position = 4"}) {
    INFO(statements);
    const TemporaryDirectory directory;
    CreatePopulated(directory);
    Modify(directory, statements);
    CHECK(OpenFailure(directory).code == StorageErrc::kCorrupt);
  }
}

// A store that opens in spite of the damage must have exactly the stored data.
TEST_CASE("A damaged page is reported as corrupt, unless it contains no data of the store") {
  constexpr std::size_t kPageBytes = 4096;
  const TemporaryDirectory directory;
  CreatePopulated(directory);
  const std::string path = directory.path() + "/control.db";
  const std::string content = ReadFile(path);
  consensus::StoredState stored;
  {
    Store store;
    REQUIRE(store.Open(directory.path(), "disk/never used"));
    stored = store.stored().at(1);
  }
  const std::size_t pages = content.size() / kPageBytes;
  REQUIRE(pages > 8);
  std::size_t corrupt = 0;
  for (std::size_t page = 0; page < pages; ++page) {
    std::string damaged = content;
    damaged.replace(page * kPageBytes, kPageBytes, std::string(kPageBytes, '\xa5'));
    WriteFile(path, damaged);
    Store store;
    const Fallible<void> opened = store.Open(directory.path(), "disk/never used");
    INFO("page " << page);
    if (opened) {
      CHECK(store.stored().at(1) == stored);
      CHECK(store.replica_id() == "disk/a");
    } else {
      CHECK(opened.error().code == StorageErrc::kCorrupt);
      ++corrupt;
    }
  }
  CHECK(corrupt >= pages - 2);
}

TEST_CASE("One changed byte in a stored snapshot or entry is reported as corrupt") {
  for (const char* statements :
       {"UPDATE snapshot SET body = CAST(replace(body, 'ssss', 'sssS') AS BLOB)",
        "UPDATE entry SET body = CAST(replace(body, 'cccccccc', 'ccccCccc') AS BLOB) WHERE position = 5"}) {
    const TemporaryDirectory directory;
    CreatePopulated(directory);
    Modify(directory, statements);
    const Failure failure = OpenFailure(directory);
    CHECK(failure.code == StorageErrc::kCorrupt);
    CHECK(failure.message.find("checksum") != std::string::npos);
  }
}

TEST_CASE("A file that is cut off, or empty with a write-ahead log, is reported as truncated") {
  const TemporaryDirectory directory;
  CreatePopulated(directory);
  const std::string path = directory.path() + "/control.db";
  const std::string content = ReadFile(path);
  WriteFile(path, content.substr(0, content.size() / 2));
  CHECK(OpenFailure(directory).code == StorageErrc::kTruncated);
  WriteFile(path, "");
  WriteFile(path + "-wal", "the log of what was stored");
  CHECK(OpenFailure(directory).code == StorageErrc::kTruncated);
  CHECK(ReadFile(path + "-wal") == "the log of what was stored");
}

TEST_CASE("A file that is not a database is reported as corrupt and not modified") {
  const TemporaryDirectory directory;
  const std::string path = directory.path() + "/control.db";
  const std::string content(8192, 'x');
  WriteFile(path, content);
  CHECK(OpenFailure(directory).code == StorageErrc::kCorrupt);
  CHECK(ReadFile(path) == content);
}

TEST_CASE("An open store cannot be opened a second time") {
  const TemporaryDirectory directory;
  CreatePopulated(directory);
  Store open_store;
  REQUIRE(open_store.Open(directory.path(), "disk/never used"));
  CHECK(OpenFailure(directory).code == StorageErrc::kLocked);
}

// Earlier versions left such a file if they exited while they created the tables.
TEST_CASE("A file with some empty tables and no identity is opened as a new store") {
  const TemporaryDirectory directory;
  Modify(directory,
         "CREATE TABLE identity (format INTEGER NOT NULL, disk TEXT NOT NULL);"
         "CREATE TABLE hard_state (shard INTEGER PRIMARY KEY, term INTEGER NOT NULL, vote TEXT NOT NULL);");
  Store store;
  REQUIRE(store.Open(directory.path(), "disk/a"));
  CHECK(store.replica_id() == "disk/a");
  CHECK(store.stored().empty());
}

TEST_CASE("A write is reported as durable only after its sync has completed, even if the disk hangs") {
  testing::FaultyDisk disk("/hanging");
  Store store;
  REQUIRE(store.Open(disk.directory(), "disk/a"));
  std::mutex mutex;
  std::condition_variable wake;
  bool hangs = true;
  bool syncing = false;
  bool notified = false;
  disk.on_sync = [&] {
    std::unique_lock<std::mutex> lock(mutex);
    syncing = true;
    wake.notify_all();
    wake.wait(lock, [&] { return !hangs; });
  };
  store.Start([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    notified = true;
    wake.notify_all();
  });
  store.Enqueue(Entries(1, 1, {Command(1, "x")}), 1);
  std::unique_lock<std::mutex> lock(mutex);
  REQUIRE(wake.wait_for(lock, std::chrono::seconds(20), [&] { return syncing; }));
  CHECK(store.TakeDurable().empty());
  hangs = false;
  wake.notify_all();
  REQUIRE(wake.wait_for(lock, std::chrono::seconds(20), [&] { return notified; }));
  CHECK(store.TakeDurable() == std::vector<std::uint64_t>{1});
}

TEST_CASE("A store file written by an earlier release (format 2) is opened and extended") {
  const TemporaryDirectory directory;
  const auto fixture = std::filesystem::path(VIOLETWING_STORE_FIXTURES) / "format_2.db";
  REQUIRE(std::filesystem::copy_file(fixture, directory.path() + "/control.db"));
  {
    Store store;
    REQUIRE(store.Open(directory.path(), "disk/never used"));
    CHECK(store.replica_id() == "founder/10.0.0.1:100");
    REQUIRE(store.stored().size() == 2);
    WriteDurably(store, {Entries(0, 5, {Command(4, "new")})});
  }
  Store store;
  REQUIRE(store.Open(directory.path(), "disk/never used"));
  const consensus::StoredState& first = store.stored().at(0);
  CHECK(first.hard_state == consensus::HardState{3, "founder/10.0.0.2:100"});
  CHECK(first.snapshot.index == 1);
  CHECK(first.snapshot.term == 1);
  CHECK(first.snapshot.members == consensus::Members{{"founder/10.0.0.1:100", "10.0.0.1:100"}});
  CHECK(first.snapshot.state == std::string("state\x00\xff", 7));
  REQUIRE(first.entries.size() == 4);
  CHECK(first.entries[0].term == 1);
  const Envelope envelope = DecodeEnvelope(first.entries[0].command).value();
  CHECK(envelope.request_id == "change/1");
  const auto change = std::get<configuration::Change>(DecodeConfigurationCommand(envelope.command).value());
  CHECK(change.patch);
  CHECK(change.base_version == 0);
  CHECK(change.body == "{\"a\":1}");
  const consensus::Members members{{"founder/10.0.0.1:100", "10.0.0.1:100"}, {"disk/b", "10.0.0.2:100"}};
  CHECK(first.entries[1].kind == EntryKind::kMembers);
  CHECK(first.entries[1].members == members);
  CHECK(first.entries[2].command == std::string("\xff\x00x", 3));
  CHECK(first.entries[3].command == "new");
  const consensus::StoredState& services = store.stored().at(2);
  REQUIRE(services.entries.size() == 1);
  CHECK(services.entries[0].term == 2);
  const Envelope deregistration = DecodeEnvelope(services.entries[0].command).value();
  CHECK(DecodeDeregistrationCommand(deregistration.command).value().phase == Phase::kDeregistered);
}

}  // namespace violetwing
