// A machine's disk for the simulated group: the database that the control processes ship, on a disk that
// loses power between any two operations.
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

/// Holds one shard, number 0. What it does that it must not do is collected in violations().
class DatabaseDisk {
 public:
  /// An empty disk; `directory` as for FaultyDisk.
  DatabaseDisk(const std::string& directory, consensus::ReplicaId id, std::uint64_t seed)
      : disk_(directory), id_(std::move(id)), random_(seed, directory) {
    if (!Open()) violations_.push_back(disk_.directory() + ": a new store cannot be opened");
  }

  const std::vector<std::string>& violations() const { return violations_; }

  /// Commits with one transaction, on a disk that is sound.
  void Commit(const std::vector<ShardWrite>& writes) {
    if (const std::error_code error = database_->Commit(writes))
      violations_.push_back(disk_.directory() + ": commit: " + error.message());
    for (const ShardWrite& write : writes) ApplyWrite(committed_, write);
  }

  /// The power ends while `in_progress` is committed: before, at any operation, or after. What is found
  /// afterwards has either all of it or nothing.
  void LosePower(const std::vector<ShardWrite>& in_progress) {
    constexpr std::uint64_t kMostOperations = 16;
    if (database_ == nullptr) return;  // the process had ended already
    consensus::StoredState with_commit = committed_;
    for (const ShardWrite& write : in_progress) ApplyWrite(with_commit, write);
    if (!in_progress.empty()) {
      disk_.power_ends_at = disk_.operations() + 1 + random_.Below(kMostOperations);
      const bool acknowledged = !database_->Commit(in_progress);
      if (acknowledged) committed_ = with_commit;
    }
    const Survival survival = kAllSurvivals[random_.Below(std::size(kAllSurvivals))];
    const FaultyDisk::Image image = disk_.ImageAfterPowerLoss(survival, random_);
    database_.reset();
    disk_.Load(image);
    in_progress_ = std::move(with_commit);
  }

  /// Opens the database for the next process. Empty where the disk fails to read, as it sometimes does once:
  /// the process then ends instead of starting.
  std::optional<consensus::StoredState> Reopen() {
    constexpr std::uint64_t kReadsOfAStart = 12;
    constexpr std::uint64_t kFailureOneIn = 4;
    if (random_.Below(kFailureOneIn) == 0) disk_.reads_fail_from = 1 + random_.Below(kReadsOfAStart);
    const bool opened = Open();
    disk_.reads_fail_from = 0;
    if (!opened) {
      database_.reset();
      return std::nullopt;
    }
    const auto stored = database_->stored().find(0);
    const consensus::StoredState found =
        stored == database_->stored().end() ? consensus::StoredState() : stored->second;
    if (found != committed_ && found != in_progress_)
      violations_.push_back(disk_.directory() + ": holds neither what was committed nor the commit after it");
    if (database_->replica_id() != id_) violations_.push_back(disk_.directory() + ": has another id");
    committed_ = in_progress_ = found;
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
  std::unique_ptr<ShardDatabase> database_;  // closed before the disk ends
  consensus::StoredState committed_;         // acknowledged
  consensus::StoredState in_progress_;       // with the commit that the loss of power has interrupted
  std::vector<std::string> violations_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_DATABASE_DISK_HPP_
