// What a disk holds after writes, as the next process reads it.
#include "control/storage/store.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>

namespace violetwing {
namespace {

using consensus::Entry;
using consensus::EntryKind;

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/violetwing-store-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

Entry Command(consensus::Term term, const std::string& text) { return {term, EntryKind::kCommand, text, {}}; }

// Writes all and returns once the disk has them.
void WriteAll(Store& store, std::vector<ShardWrite> writes) {
  std::mutex mutex;
  std::condition_variable wake;
  std::size_t done = 0;
  const std::size_t all = writes.size();
  store.Start([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    done += store.TakeWritten().size();
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

// Makes a store in the folder and changes it behind its back.
void MakeAndChange(const Folder& folder, const std::string& statements) {
  {
    Store store;
    std::string problem;
    REQUIRE_FALSE(store.Open(folder.path(), "disk/a", problem));
  }
  sqlite3* database = nullptr;
  REQUIRE(sqlite3_open((folder.path() + "/control.db").c_str(), &database) == SQLITE_OK);
  REQUIRE(sqlite3_exec(database, statements.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK);
  sqlite3_close(database);
}

}  // namespace

TEST_CASE("A disk keeps its id, its votes and its logs, and what was overwritten is gone") {
  const Folder folder;
  std::string problem;
  {
    Store store;
    REQUIRE_FALSE(store.Open(folder.path(), "disk/a", problem));
    CHECK(store.stored().empty());
    ShardWrite vote;
    vote.shard = 1;
    vote.hard = consensus::HardState{7, "disk/b"};
    WriteAll(store, {vote, Entries(1, 1, {Command(1, "x"), Command(1, "y"), Command(1, "z")}),
                     Entries(1, 2, {Command(2, "new y")}), Entries(2, 1, {Command(1, "other")})});
  }
  Store store;
  REQUIRE_FALSE(store.Open(folder.path(), "disk/never used", problem));
  CHECK(store.disk() == "disk/a");
  const consensus::StoredState& one = store.stored().at(1);
  CHECK(one.hard == consensus::HardState{7, "disk/b"});
  REQUIRE(one.entries.size() == 2);
  CHECK(one.entries[1].command == "new y");
  CHECK(store.stored().at(2).entries.size() == 1);
}

TEST_CASE("A snapshot takes the place of the entries up to it, or of all") {
  for (const bool replaces_log : {false, true}) {
    const Folder folder;
    std::string problem;
    {
      Store store;
      REQUIRE_FALSE(store.Open(folder.path(), "disk/a", problem));
      ShardWrite snapshot;
      snapshot.shard = 1;
      snapshot.replaces_log = replaces_log;
      snapshot.snapshot = consensus::Snapshot{2, 1, {{"disk/a", "10.0.0.1:1"}}, "state"};
      WriteAll(store, {Entries(1, 1, {Command(1, "x"), Command(1, "y"), Command(1, "z")}), snapshot});
    }
    Store store;
    REQUIRE_FALSE(store.Open(folder.path(), "disk/a", problem));
    const consensus::StoredState& one = store.stored().at(1);
    CHECK(one.snapshot.index == 2);
    CHECK(one.snapshot.state == "state");
    CHECK(one.snapshot.members.size() == 1);
    CHECK(one.entries.size() == (replaces_log ? 0 : 1));
  }
}

TEST_CASE("What a newer binary has written is not read, and the reason is told") {
  const Folder folder;
  std::string problem;
  MakeAndChange(folder, "UPDATE identity SET format = 99");
  Store store;
  CHECK(store.Open(folder.path(), "disk/a", problem) == std::errc::not_supported);
  CHECK(problem.find("newer version") != std::string::npos);
}

TEST_CASE("What version 1 wrote in JSON is read, and kept beside what is written since") {
  const Folder folder;
  std::string problem;
  const char* version_1 = R"(UPDATE identity SET format = 1;
    INSERT INTO snapshot VALUES (1, '{"index":4,"term":2,"members":[{"id":"a","address":"1:2"}],"state":"s"}');
    INSERT INTO entry VALUES (1, 5, '{"term":2,"kind":"command","command":"{\"request\":\"r\"}"}');
    INSERT INTO entry VALUES (1, 6, '{"term":3,"kind":"noop"}');
    INSERT INTO entry VALUES (1, 7, '{"term":3,"kind":"members","members":[{"id":"b","address":"3:4"}]}');)";
  MakeAndChange(folder, version_1);
  {
    Store store;
    REQUIRE_FALSE(store.Open(folder.path(), "disk/never used", problem));
    WriteAll(store, {Entries(1, 8, {Command(4, std::string("\xff\x00x", 3))})});
  }
  Store store;
  REQUIRE_FALSE(store.Open(folder.path(), "disk/never used", problem));
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

TEST_CASE("A stored entry that cannot be read is told of, and nothing is served from it") {
  for (const char* body : {"'{\"term\":2'", "'{\"term\":2,\"kind\":\"praise\"}'", "x'ffff'"}) {
    const Folder folder;
    std::string problem;
    MakeAndChange(folder, std::string("INSERT INTO entry VALUES (1, 1, ") + body + ")");
    Store store;
    CHECK(store.Open(folder.path(), "disk/a", problem));
    CHECK(problem.find("entry at 1") != std::string::npos);
  }
}

TEST_CASE("A folder that is not there is told of") {
  Store store;
  std::string problem;
  CHECK(store.Open("/nonexistent", "disk/a", problem));
  CHECK_FALSE(problem.empty());
}

}  // namespace violetwing
