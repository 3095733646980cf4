// What a store file holds after writes, as the next process reads it.
#include "control/storage/store.hpp"

#include <sqlite3.h>

#include <catch2/catch.hpp>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <mutex>
#include <variant>

#include "control/replication/commands.hpp"
#include "control/storage/storage_error.hpp"

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
void WriteAll(Store& store, std::vector<ShardWrite> writes) {
  std::mutex mutex;
  std::condition_variable wake;
  std::size_t done = 0;
  const std::size_t all = writes.size();
  store.Start([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    done += store.TakeDurable().size();
    wake.notify_all();
  });
  std::uint64_t token = 0;
  for (ShardWrite& write : writes) store.Enqueue(std::move(write), ++token);
  std::unique_lock<std::mutex> lock(mutex);
  REQUIRE(wake.wait_for(lock, std::chrono::seconds(20), [&] { return done == all; }));
}

ShardWrite Entries(int shard, consensus::Index first, std::vector<Entry> entries) {
  ShardWrite write;
  write.shard = shard;
  write.first = first;
  write.entries = std::move(entries);
  return write;
}

// Creates a store in the directory and modifies its file by SQL statements.
void CreateAndModify(const TemporaryDirectory& directory, const std::string& statements) {
  {
    Store store;
    std::string error_message;
    REQUIRE_FALSE(store.Open(directory.path(), "disk/a", error_message));
  }
  sqlite3* database = nullptr;
  REQUIRE(sqlite3_open((directory.path() + "/control.db").c_str(), &database) == SQLITE_OK);
  REQUIRE(sqlite3_exec(database, statements.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK);
  sqlite3_close(database);
}

}  // namespace

TEST_CASE("Reopening restores the replica id, votes and logs without overwritten entries") {
  const TemporaryDirectory directory;
  std::string error_message;
  {
    Store store;
    REQUIRE_FALSE(store.Open(directory.path(), "disk/a", error_message));
    CHECK(store.stored().empty());
    ShardWrite vote;
    vote.shard = 1;
    vote.hard = consensus::HardState{7, "disk/b"};
    WriteAll(store, {vote, Entries(1, 1, {Command(1, "x"), Command(1, "y"), Command(1, "z")}),
                     Entries(1, 2, {Command(2, "new y")}), Entries(2, 1, {Command(1, "other")})});
  }
  Store store;
  REQUIRE_FALSE(store.Open(directory.path(), "disk/never used", error_message));
  CHECK(store.replica_id() == "disk/a");
  const consensus::StoredState& one = store.stored().at(1);
  CHECK(one.hard == consensus::HardState{7, "disk/b"});
  REQUIRE(one.entries.size() == 2);
  CHECK(one.entries[1].command == "new y");
  CHECK(store.stored().at(2).entries.size() == 1);
}

TEST_CASE("A snapshot replaces the log entries up to its index, or the whole log") {
  for (const bool replaces_log : {false, true}) {
    const TemporaryDirectory directory;
    std::string error_message;
    {
      Store store;
      REQUIRE_FALSE(store.Open(directory.path(), "disk/a", error_message));
      ShardWrite snapshot;
      snapshot.shard = 1;
      snapshot.replaces_log = replaces_log;
      snapshot.snapshot = consensus::Snapshot{2, 1, {{"disk/a", "10.0.0.1:1"}}, "state"};
      WriteAll(store, {Entries(1, 1, {Command(1, "x"), Command(1, "y"), Command(1, "z")}), snapshot});
    }
    Store store;
    REQUIRE_FALSE(store.Open(directory.path(), "disk/a", error_message));
    const consensus::StoredState& one = store.stored().at(1);
    CHECK(one.snapshot.index == 2);
    CHECK(one.snapshot.state == "state");
    CHECK(one.snapshot.members.size() == 1);
    CHECK(one.entries.size() == (replaces_log ? 0 : 1));
  }
}

TEST_CASE("Opening a store of a newer format fails and reports the reason") {
  const TemporaryDirectory directory;
  std::string error_message;
  CreateAndModify(directory, "UPDATE identity SET format = 99");
  Store store;
  const std::error_code error = store.Open(directory.path(), "disk/a", error_message);
  CHECK(error == StorageErrc::kFormatTooNew);
  CHECK(error == std::errc::not_supported);
  CHECK(error_message.find("newer version") != std::string::npos);
}

TEST_CASE("Entries and snapshots of format 1 (JSON) are read beside newer ones") {
  const TemporaryDirectory directory;
  std::string error_message;
  const char* version_1 = R"(UPDATE identity SET format = 1;
    INSERT INTO snapshot VALUES (1, '{"index":4,"term":2,"members":[{"id":"a","address":"1:2"}],"state":"s"}');
    INSERT INTO entry VALUES (1, 5, '{"term":2,"kind":"command","command":"{\"request\":\"r\"}"}');
    INSERT INTO entry VALUES (1, 6, '{"term":3,"kind":"noop"}');
    INSERT INTO entry VALUES (1, 7, '{"term":3,"kind":"members","members":[{"id":"b","address":"3:4"}]}');)";
  CreateAndModify(directory, version_1);
  {
    Store store;
    REQUIRE_FALSE(store.Open(directory.path(), "disk/never used", error_message));
    WriteAll(store, {Entries(1, 8, {Command(4, std::string("\xff\x00x", 3))})});
  }
  Store store;
  REQUIRE_FALSE(store.Open(directory.path(), "disk/never used", error_message));
  const consensus::StoredState& one = store.stored().at(1);
  CHECK(one.snapshot.index == 4);
  CHECK(one.snapshot.state == "s");
  CHECK(one.snapshot.members == consensus::Members{{"a", "1:2"}});
  REQUIRE(one.entries.size() == 4);
  CHECK(one.entries[0].command == "{\"request\":\"r\"}");
  CHECK(one.entries[1].kind == EntryKind::kNoop);
  CHECK(one.entries[2].members == consensus::Members{{"b", "3:4"}});
  CHECK(one.entries[3].command == std::string("\xff\x00x", 3));
}

TEST_CASE("Opening a store with a malformed entry fails and names the entry") {
  for (const char* body : {"'{\"term\":2'", "'{\"term\":2,\"kind\":\"praise\"}'", "x'ffff'"}) {
    const TemporaryDirectory directory;
    std::string error_message;
    CreateAndModify(directory, std::string("INSERT INTO entry VALUES (1, 1, ") + body + ")");
    Store store;
    CHECK(store.Open(directory.path(), "disk/a", error_message) == StorageErrc::kCorrupt);
    CHECK(error_message.find("entry at 1") != std::string::npos);
  }
}

TEST_CASE("Opening a store in a missing directory fails with a message") {
  Store store;
  std::string error_message;
  CHECK(store.Open("/nonexistent", "disk/a", error_message) == StorageErrc::kIoError);
  CHECK_FALSE(error_message.empty());
}

TEST_CASE("A store file that an earlier release has written (format 2) is opened and extended") {
  const TemporaryDirectory directory;
  const auto fixture = std::filesystem::path(VIOLETWING_STORE_FIXTURES) / "format_2.db";
  REQUIRE(std::filesystem::copy_file(fixture, directory.path() + "/control.db"));
  std::string error_message;
  {
    Store store;
    REQUIRE_FALSE(store.Open(directory.path(), "disk/never used", error_message));
    CHECK(store.replica_id() == "founder/10.0.0.1:100");
    REQUIRE(store.stored().size() == 2);
    WriteAll(store, {Entries(0, 5, {Command(4, "new")})});
  }
  Store store;
  REQUIRE_FALSE(store.Open(directory.path(), "disk/never used", error_message));
  const consensus::StoredState& first = store.stored().at(0);
  CHECK(first.hard == consensus::HardState{3, "founder/10.0.0.2:100"});
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
  CHECK(change.base == 0);
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
  CHECK(DecodeDeregistrationCommand(deregistration.command)->phase == Phase::kDeregistered);
}

}  // namespace violetwing
