// Durability of the store's file on a disk that loses power or fails at any operation.
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "control/storage/shard_database.hpp"
#include "control/storage/storage_error.hpp"
#include "testing/faulty_disk.hpp"
#include "testing/store_workload.hpp"

namespace violetwing {
namespace {

using testing::FaultyDisk;
using testing::StoredShards;
using testing::StoreWorkload;
using testing::Survival;

constexpr const char* kDiskId = "disk/a";
constexpr const char* kOtherId = "disk/drawn for a new file";

const StoreWorkload& Workload() {
  static const StoreWorkload kWorkload = StoreWorkload::Record();
  return kWorkload;
}

// What the process has acknowledged. After a power loss the store must contain it, and at most one more
// commit.
struct Acknowledged {
  bool opened = false;
  std::size_t commits = 0;
};

// Opens disk images as a restarted process does, and checks their content.
class ReopenChecker {
 public:
  // Returns a description of content that contradicts what was acknowledged; empty if there is none. Must not
  // throw or use assertions, since SQLite's calls are on the stack.
  std::string FindProblem(const FaultyDisk::Image& image, const Acknowledged& acknowledged) {
    ++checked_;
    disk_.Load(image);
    ShardDatabase database;
    const Fallible<void> opened = database.Open(disk_.directory(), kOtherId);
    if (!opened) return "not opened: " + opened.error().message;
    if (acknowledged.opened && database.replica_id() != kDiskId) return "replica id lost";
    const std::optional<std::size_t> found = FindCommitCount(database.stored(), acknowledged.commits);
    if (!found)
      return "neither the state after commit " + std::to_string(acknowledged.commits) + " nor the next";
    if (!PreservesHardStates(database.stored(), Workload().states()[acknowledged.commits]))
      return "a term decreased or a vote changed";
    return checked_ % kNextCommitInterval == 0 ? FindProblemInNextCommit(database, *found) : std::string();
  }
  void Check(const FaultyDisk::Image& image, const Acknowledged& acknowledged) {
    CHECK(FindProblem(image, acknowledged).empty());
  }
  std::size_t checked() const { return checked_; }

 private:
  static constexpr std::size_t kNextCommitInterval = 16;

  // Returns the number of commits after which the store has this state; empty if it is none of those allowed.
  static std::optional<std::size_t> FindCommitCount(const StoredShards& stored, std::size_t acknowledged) {
    const auto& states = Workload().states();
    if (stored == states[acknowledged]) return acknowledged;
    if (acknowledged + 1 < states.size() && stored == states[acknowledged + 1]) return acknowledged + 1;
    return std::nullopt;
  }

  static bool PreservesHardStates(const StoredShards& stored, const StoredShards& acknowledged) {
    for (const auto& [shard, state] : acknowledged) {
      const consensus::HardState& now = stored.at(shard).hard_state;
      const consensus::HardState& before = state.hard_state;
      if (now.term < before.term) return false;
      if (now.term == before.term && !before.vote.empty() && now.vote != before.vote) return false;
    }
    return true;
  }

  // Commits to the reopened store: the commit must succeed and survive another power loss.
  std::string FindProblemInNextCommit(ShardDatabase& database, std::size_t found) {
    const auto& commits = Workload().commits();
    if (found == commits.size()) return {};
    if (const std::error_code error = database.Commit(commits[found]))
      return "next commit: " + error.message();
    FaultyDisk disk("/after_the_next_commit");
    disk.Load(disk_.ImageAfterPowerLoss(Survival::kNothing, random_));
    ShardDatabase next;
    const Fallible<void> opened = next.Open(disk.directory(), kOtherId);
    if (!opened) return "not opened after the next commit: " + opened.error().message;
    return next.stored() == Workload().states()[found + 1] ? "" : "the next commit was lost";
  }

  FaultyDisk disk_{"/reopened"};
  Random random_{1};
  std::size_t checked_ = 0;
};

// Executes the workload on the disk until the first error, and counts the acknowledged commits.
std::error_code RunWorkload(FaultyDisk& disk, Acknowledged& acknowledged) {
  ShardDatabase database;
  if (const auto opened = database.Open(disk.directory(), kDiskId); !opened) return opened.error().code;
  acknowledged.opened = true;
  for (const testing::Commit& commit : Workload().commits()) {
    if (const std::error_code error = database.Commit(commit)) return error;
    ++acknowledged.commits;
  }
  return {};
}

}  // namespace

TEST_CASE("The recorded workload of the store has writes of every kind") {
  const testing::WriteKinds& kinds = Workload().kinds();
  CHECK(kinds.hard_states >= 3);
  CHECK(kinds.appends >= 60);
  CHECK(kinds.truncations >= 1);
  CHECK(kinds.membership_changes >= 1);
  CHECK(kinds.snapshots >= 3);
  CHECK(kinds.installed_snapshots >= 1);
}

TEST_CASE("After a power loss at any operation the store has all acknowledged commits and at most one more") {
  ReopenChecker checker;
  FaultyDisk disk("/disk");
  Acknowledged acknowledged;
  Random random(1);
  std::size_t crash_points = 0;
  std::vector<std::string> problems;
  const auto lose_power = [&] {
    ++crash_points;
    for (const Survival survival : testing::kAllSurvivals) {
      const std::string problem =
          checker.FindProblem(disk.ImageAfterPowerLoss(survival, random), acknowledged);
      if (problem.empty()) continue;
      problems.push_back("before operation " + std::to_string(disk.operations() + 1) + ", survival " +
                         std::to_string(static_cast<int>(survival)) + ": " + problem);
    }
  };
  disk.on_operation = lose_power;
  REQUIRE_FALSE(RunWorkload(disk, acknowledged));
  lose_power();
  for (const std::string& problem : problems) UNSCOPED_INFO(problem);
  CHECK(problems.empty());
  CHECK(acknowledged.commits == Workload().commits().size());
  CHECK(checker.checked() == crash_points * std::size(testing::kAllSurvivals));
  // Enough operations to include checkpoints of the write-ahead log.
  CHECK(crash_points > 600);
  WARN(crash_points << " crash points, " << checker.checked() << " images");
}

// Unlike in the test above, the process notices the power loss; its cleanup must not damage the stored data.
TEST_CASE(
    "Acknowledged commits survive the cleanup of a process whose disk loses power during an operation") {
  constexpr std::uint64_t kStride = 23;
  ReopenChecker checker;
  Random random(2);
  for (std::uint64_t operation = 1;; operation += kStride) {
    INFO("power lost at operation " << operation);
    FaultyDisk disk("/disk");
    disk.power_lost_at = operation;
    Acknowledged acknowledged;
    const std::error_code error = RunWorkload(disk, acknowledged);
    if (!error) break;
    for (const Survival survival : testing::kAllSurvivals)
      checker.Check(disk.ImageAfterPowerLoss(survival, random), acknowledged);
  }
  CHECK(checker.checked() > 100);
}

TEST_CASE("A commit with a failed write or sync reports the error and succeeds when it is retried") {
  constexpr std::uint64_t kStride = 13;
  ReopenChecker checker;
  Random random(3);
  int failures = 0;
  bool reached = true;
  for (std::uint64_t operation = 1; reached; operation += kStride) {
    INFO("operation " << operation << " fails");
    FaultyDisk disk("/disk");
    ShardDatabase database;
    REQUIRE(database.Open(disk.directory(), kDiskId));
    disk.failing_operation = disk.operations() + operation;
    Acknowledged acknowledged{true, 0};
    for (const testing::Commit& commit : Workload().commits()) {
      std::error_code error;
      while ((error = database.Commit(commit))) {
        CHECK(error == StorageErrc::kIoError);
        ++failures;
      }
      ++acknowledged.commits;
    }
    reached = disk.operations() >= disk.failing_operation;
    for (const Survival survival : testing::kAllSurvivals)
      checker.Check(disk.ImageAfterPowerLoss(survival, random), acknowledged);
  }
  CHECK(failures > 20);
}

TEST_CASE("Commits on a full disk fail with kFull and succeed once space is available") {
  FaultyDisk disk("/disk");
  ShardDatabase database;
  REQUIRE(database.Open(disk.directory(), kDiskId));
  Acknowledged acknowledged{true, 0};
  ReopenChecker checker;
  Random random(4);
  int failures = 0;
  for (const testing::Commit& commit : Workload().commits()) {
    std::size_t used = 0;
    for (const auto& [name, content] : disk.CurrentFiles()) used += content.size();
    disk.capacity_bytes = used + random.Below(3000);
    if (const std::error_code error = database.Commit(commit)) {
      CHECK(error == StorageErrc::kFull);
      ++failures;
      checker.Check(disk.ImageAfterPowerLoss(Survival::kEverything, random), acknowledged);
      disk.capacity_bytes.reset();
      REQUIRE_FALSE(database.Commit(commit));
    }
    ++acknowledged.commits;
  }
  CHECK(failures > 10);
  checker.Check(disk.ImageAfterPowerLoss(Survival::kNothing, random), acknowledged);
}

TEST_CASE("An existing store opens on a full disk, and creating a store there fails with kFull") {
  FaultyDisk disk("/disk");
  Acknowledged acknowledged;
  REQUIRE_FALSE(RunWorkload(disk, acknowledged));
  disk.capacity_bytes = 1;
  {
    ShardDatabase database;
    REQUIRE(database.Open(disk.directory(), kOtherId));
    CHECK(database.stored() == Workload().states().back());
  }
  FaultyDisk empty("/empty");
  empty.capacity_bytes = 1;
  ShardDatabase database;
  CHECK(database.Open(empty.directory(), kOtherId).error().code == StorageErrc::kFull);
}

TEST_CASE("A read error at any point of opening the store is reported, not taken for the end of the rows") {
  FaultyDisk disk("/disk");
  Acknowledged acknowledged;
  REQUIRE_FALSE(RunWorkload(disk, acknowledged));
  const FaultyDisk::Image image = disk.CurrentFiles();
  std::uint64_t failed = 0;
  for (std::uint64_t read = 1;; ++read) {
    INFO("reads fail from " << read << " on");
    disk.Load(image);
    disk.first_failing_read = read;
    ShardDatabase database;
    const Fallible<void> opened = database.Open(disk.directory(), kOtherId);
    if (disk.reads() < read) {
      REQUIRE(opened);
      break;
    }
    REQUIRE_FALSE(opened);
    CHECK(opened.error().code == StorageErrc::kIoError);
    CHECK(opened.error().code == std::errc::io_error);
    ++failed;
  }
  // Enough reads to include some between the rows of the log.
  CHECK(failed > 20);
}

// No store can tolerate such a disk. The test verifies that the checks of this file detect the loss.
TEST_CASE("The check of acknowledged commits detects a disk that ignores syncs") {
  FaultyDisk disk("/disk");
  disk.ignores_syncs = true;
  Acknowledged acknowledged;
  REQUIRE_FALSE(RunWorkload(disk, acknowledged));
  Random random(5);
  FaultyDisk reopened("/reopened");
  reopened.Load(disk.ImageAfterPowerLoss(Survival::kNothing, random));
  ShardDatabase database;
  const Fallible<void> opened = database.Open(reopened.directory(), kOtherId);
  CHECK((!opened || database.stored() != Workload().states().back()));
}

}  // namespace violetwing
