// The disk of a machine in a simulated consensus group: the database of the control processes, on a disk that
// may lose power at any operation.
#ifndef VIOLETWING_TESTS_TESTING_DATABASE_DISK_HPP_
#define VIOLETWING_TESTS_TESTING_DATABASE_DISK_HPP_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/random.hpp"
#include "control/storage/shard_database.hpp"
#include "testing/faulty_disk.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::testing {

/// Stores one shard, number 0. Incorrect behavior of the database is collected in violations().
class DatabaseDisk {
 public:
  /// Creates an empty disk. `directory` as for FaultyDisk.
  DatabaseDisk(const std::string& directory, consensus::ReplicaId id, std::uint64_t seed)
      : disk_(directory), id_(std::move(id)), random_(seed, directory) {
    if (!Open()) violations_.push_back(disk_.directory() + ": a new store cannot be opened");
  }

  const std::vector<std::string>& violations() const { return violations_; }

  /// Commits the writes in one transaction, without faults.
  void Commit(const std::vector<ShardWrite>& writes) {
    if (const std::error_code error = database_->Commit(writes))
      violations_.push_back(disk_.directory() + ": commit: " + error.message());
    for (const ShardWrite& write : writes) ApplyWrite(committed_, write);
  }

  /// Loses power before, during or after the commit of `in_progress`. The disk must afterwards contain all of
  /// these writes or none.
  void LosePower(const std::vector<ShardWrite>& in_progress) {
    constexpr std::uint64_t kMaxOperations = 16;
    if (database_ == nullptr) return;  // the process has already exited
    consensus::StoredState with_commit = committed_;
    for (const ShardWrite& write : in_progress) ApplyWrite(with_commit, write);
    if (!in_progress.empty()) {
      disk_.power_lost_at = disk_.operations() + 1 + random_.Below(kMaxOperations);
      const bool acknowledged = !database_->Commit(in_progress);
      if (acknowledged) committed_ = with_commit;
    }
    const Survival survival = kAllSurvivals[random_.Below(std::size(kAllSurvivals))];
    const FaultyDisk::Image image = disk_.ImageAfterPowerLoss(survival, random_);
    database_.reset();
    disk_.Load(image);
    after_interrupted_commit_ = std::move(with_commit);
  }

  /// Opens the database for the next process. Returns empty if an injected read error prevents that; the
  /// process then exits instead of starting.
  std::optional<consensus::StoredState> Reopen() {
    constexpr std::uint64_t kReadsPerOpen = 12;
    constexpr std::uint64_t kFailOneOpenIn = 4;
    if (random_.Below(kFailOneOpenIn) == 0) disk_.first_failing_read = 1 + random_.Below(kReadsPerOpen);
    const bool opened = Open();
    disk_.first_failing_read = 0;
    if (!opened) {
      database_.reset();
      return std::nullopt;
    }
    const auto stored = database_->stored().find(0);
    const consensus::StoredState found =
        stored == database_->stored().end() ? consensus::StoredState() : stored->second;
    if (found != committed_ && found != after_interrupted_commit_)
      violations_.push_back(disk_.directory() + ": holds neither what was committed nor the commit after it");
    if (database_->replica_id() != id_) violations_.push_back(disk_.directory() + ": has another id");
    committed_ = after_interrupted_commit_ = found;
    return found;
  }

 private:
  bool Open() {
    database_ = std::make_unique<ShardDatabase>();
    return database_->Open(disk_.directory(), id_).has_value();
  }

  FaultyDisk disk_;
  const consensus::ReplicaId id_;
  Random random_;
  std::unique_ptr<ShardDatabase> database_;          // declared after disk_, so that it is closed first
  consensus::StoredState committed_;                 // state after the acknowledged commits
  consensus::StoredState after_interrupted_commit_;  // also with the commit interrupted by the power loss
  std::vector<std::string> violations_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_DATABASE_DISK_HPP_
