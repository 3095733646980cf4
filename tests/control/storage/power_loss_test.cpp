// The store's file on a disk that loses power, or fails, at any of its operations.
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

// What must be found after a loss of power: all that was acknowledged, and at most one commit more.
struct Acknowledged {
  bool opened = false;
  std::size_t commits = 0;
};

// Opens an image as the next process does.
class Reopening {
 public:
  // What it reads that was never promised; empty if all is well. Throws nothing: it is called from within
  // SQLite.
  std::string Problem(const FaultyDisk::Image& image, const Acknowledged& acknowledged) {
    ++checked_;
    disk_.Load(image);
    ShardDatabase database;
    const Fallible<void> opened = database.Open(disk_.directory(), kOtherId);
    if (!opened) return "not opened: " + opened.error().message;
    if (acknowledged.opened && database.replica_id() != kDiskId) return "lost its id";
    const std::optional<std::size_t> found = Find(database.stored(), acknowledged.commits);
    if (!found)
      return "neither the state after commit " + std::to_string(acknowledged.commits) + " nor the next";
    if (!NeverFalls(database.stored(), Workload().states()[acknowledged.commits]))
      return "a term or vote fell";
    return checked_ % kUseEach == 0 ? ProblemInUse(database, *found) : std::string();
  }
  void Check(const FaultyDisk::Image& image, const Acknowledged& acknowledged) {
    CHECK(Problem(image, acknowledged).empty());
  }
  std::size_t checked() const { return checked_; }

 private:
  static constexpr std::size_t kUseEach = 16;

  // How many commits the state is after.
  static std::optional<std::size_t> Find(const StoredShards& stored, std::size_t acknowledged) {
    const auto& states = Workload().states();
    if (stored == states[acknowledged]) return acknowledged;
    if (acknowledged + 1 < states.size() && stored == states[acknowledged + 1]) return acknowledged + 1;
    return std::nullopt;
  }

  static bool NeverFalls(const StoredShards& stored, const StoredShards& promised) {
    for (const auto& [shard, state] : promised) {
      const consensus::HardState& now = stored.at(shard).hard_state;
      const consensus::HardState& before = state.hard_state;
      if (now.term < before.term) return false;
      if (now.term == before.term && !before.vote.empty() && now.vote != before.vote) return false;
    }
    return true;
  }

  // The next commit has to succeed, and to be there after another loss of power.
  std::string ProblemInUse(ShardDatabase& database, std::size_t found) {
    const auto& commits = Workload().commits();
    if (found == commits.size()) return {};
    if (const std::error_code error = database.Commit(commits[found])) return "in use: " + error.message();
    FaultyDisk disk("/after_the_next_commit");
    disk.Load(disk_.ImageAfterPowerLoss(Survival::kNothing, random_));
    ShardDatabase next;
    const Fallible<void> opened = next.Open(disk.directory(), kOtherId);
    if (!opened) return "in use, not opened: " + opened.error().message;
    return next.stored() == Workload().states()[found + 1] ? "" : "in use: the next commit was lost";
  }

  FaultyDisk disk_{"/reopened"};
  Random random_{1};
  std::size_t checked_ = 0;
};

// Plays the workload on the disk until an error; what was acknowledged counts in `acknowledged`.
std::error_code Play(FaultyDisk& disk, Acknowledged& acknowledged) {
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

TEST_CASE(
    "After a loss of power at any operation the store holds all that was acknowledged, or one commit more") {
  Reopening reopening;
  FaultyDisk disk("/disk");
  Acknowledged acknowledged;
  Random random(1);
  std::size_t crash_points = 0;
  std::vector<std::string> problems;
  const auto lose_power = [&] {
    ++crash_points;
    for (const Survival survival : testing::kAllSurvivals) {
      const std::string problem = reopening.Problem(disk.ImageAfterPowerLoss(survival, random), acknowledged);
      if (problem.empty()) continue;
      problems.push_back("before operation " + std::to_string(disk.operations() + 1) + ", survival " +
                         std::to_string(static_cast<int>(survival)) + ": " + problem);
    }
  };
  disk.on_operation = lose_power;
  REQUIRE_FALSE(Play(disk, acknowledged));
  lose_power();
  for (const std::string& problem : problems) UNSCOPED_INFO(problem);
  CHECK(problems.empty());
  CHECK(acknowledged.commits == Workload().commits().size());
  CHECK(reopening.checked() == crash_points * std::size(testing::kAllSurvivals));
  // So many that checkpoints of the write-ahead log are among them.
  CHECK(crash_points > 600);
  WARN(crash_points << " crash points, " << reopening.checked() << " images");
}

// The process sees the failure, and its last calls must not harm what is stored.
TEST_CASE("A process that sees its power end at an operation leaves what it has acknowledged") {
  constexpr std::uint64_t kStride = 23;
  Reopening reopening;
  Random random(2);
  for (std::uint64_t operation = 1;; operation += kStride) {
    INFO("power ends at operation " << operation);
    FaultyDisk disk("/disk");
    disk.power_ends_at = operation;
    Acknowledged acknowledged;
    const std::error_code error = Play(disk, acknowledged);
    if (!error) break;
    for (const Survival survival : testing::kAllSurvivals)
      reopening.Check(disk.ImageAfterPowerLoss(survival, random), acknowledged);
  }
  CHECK(reopening.checked() > 100);
}

TEST_CASE("A commit whose write or sync fails reports it and succeeds when it is committed again") {
  constexpr std::uint64_t kStride = 13;
  Reopening reopening;
  Random random(3);
  int failures = 0;
  bool reached = true;
  for (std::uint64_t operation = 1; reached; operation += kStride) {
    INFO("operation " << operation << " fails");
    FaultyDisk disk("/disk");
    ShardDatabase database;
    REQUIRE(database.Open(disk.directory(), kDiskId));
    disk.operation_fails_at = disk.operations() + operation;
    Acknowledged acknowledged{true, 0};
    for (const testing::Commit& commit : Workload().commits()) {
      std::error_code error;
      while ((error = database.Commit(commit))) {
        CHECK(error == StorageErrc::kIoError);
        ++failures;
      }
      ++acknowledged.commits;
    }
    reached = disk.operations() >= disk.operation_fails_at;
    for (const Survival survival : testing::kAllSurvivals)
      reopening.Check(disk.ImageAfterPowerLoss(survival, random), acknowledged);
  }
  CHECK(failures > 20);
}

TEST_CASE("A full disk fails commits as kFull, and the store goes on once there is room") {
  FaultyDisk disk("/disk");
  ShardDatabase database;
  REQUIRE(database.Open(disk.directory(), kDiskId));
  Acknowledged acknowledged{true, 0};
  Reopening reopening;
  Random random(4);
  int failures = 0;
  for (const testing::Commit& commit : Workload().commits()) {
    std::size_t used = 0;
    for (const auto& [name, content] : disk.CurrentFiles()) used += content.size();
    disk.capacity_bytes = used + random.Below(3000);
    if (const std::error_code error = database.Commit(commit)) {
      CHECK(error == StorageErrc::kFull);
      ++failures;
      reopening.Check(disk.ImageAfterPowerLoss(Survival::kEverything, random), acknowledged);
      disk.capacity_bytes.reset();
      REQUIRE_FALSE(database.Commit(commit));
    }
    ++acknowledged.commits;
  }
  CHECK(failures > 10);
  reopening.Check(disk.ImageAfterPowerLoss(Survival::kNothing, random), acknowledged);
}

TEST_CASE("A store opens on a full disk, and a new one reports that the disk is full") {
  FaultyDisk disk("/disk");
  Acknowledged acknowledged;
  REQUIRE_FALSE(Play(disk, acknowledged));
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

TEST_CASE("A read error at any point of opening the store is an error, never the end of the rows") {
  FaultyDisk disk("/disk");
  Acknowledged acknowledged;
  REQUIRE_FALSE(Play(disk, acknowledged));
  const FaultyDisk::Image image = disk.CurrentFiles();
  std::uint64_t failed = 0;
  for (std::uint64_t read = 1;; ++read) {
    INFO("reads fail from " << read << " on");
    disk.Load(image);
    disk.reads_fail_from = read;
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
  // Some of them in the middle of the log's rows.
  CHECK(failed > 20);
}

// No store can make up for it; the checks of this file have to notice.
TEST_CASE(
    "A disk that answers syncs and loses what it wrote is found out by the check of what was promised") {
  FaultyDisk disk("/disk");
  disk.ignores_syncs = true;
  Acknowledged acknowledged;
  REQUIRE_FALSE(Play(disk, acknowledged));
  Random random(5);
  FaultyDisk reopened("/reopened");
  reopened.Load(disk.ImageAfterPowerLoss(Survival::kNothing, random));
  ShardDatabase database;
  const Fallible<void> opened = database.Open(reopened.directory(), kOtherId);
  CHECK((!opened || database.stored() != Workload().states().back()));
}

}  // namespace violetwing
