// Writes of control processes to their disks, recorded from a simulated consensus group, as input of store
// tests.
#ifndef VIOLETWING_TESTS_TESTING_STORE_WORKLOAD_HPP_
#define VIOLETWING_TESTS_TESTING_STORE_WORKLOAD_HPP_

#include <map>
#include <string>
#include <vector>

#include "control/storage/shard_write.hpp"
#include "testing/cluster.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::testing {

/// Contents of a store, by shard.
using StoredShards = std::map<int, consensus::StoredState>;
/// The writes of one transaction.
using Commit = std::vector<ShardWrite>;

/// Number of writes of each kind.
struct WriteKinds {
  int hard_states = 0;
  int appends = 0;
  int truncations = 0;  ///< writes that overwrite stored entries
  int membership_changes = 0;
  int snapshots = 0;            ///< taken of the replica's own state
  int installed_snapshots = 0;  ///< received from a leader
};

/// The commits of a process with two shards.
class StoreWorkload {
 public:
  /// Simulates a group of three replicas and a spare: elections, commands, overwritten entries, snapshots,
  /// and a lost disk, whose machine catches up with a snapshot and becomes a member again. Shard 0 has the
  /// writes of the machine that is the first leader, shard 1 those of the machine with the lost disk.
  static StoreWorkload Record() {
    constexpr Micros kSecond = 1'000'000;
    constexpr std::uint64_t kSeed = 11;
    constexpr int kCommands = 34;
    consensus::Cluster cluster(4, 3, kSeed);
    const auto run_until_leader = [&] {
      for (int i = 0; i < 100 && !cluster.Leader(); ++i) cluster.Run(kSecond / 10);
    };
    struct RecordedCommit {
      std::size_t machine = 0;
      std::string disk;
      Commit writes;
    };
    std::vector<RecordedCommit> recorded;
    cluster.on_commit = [&](std::size_t machine, const Commit& writes) {
      recorded.push_back({machine, cluster.machine(machine).disk_id, writes});
    };
    run_until_leader();
    const std::size_t leader = cluster.Leader().value();
    const std::size_t replaced = (leader + 1) % 3;
    int proposed = 0;
    const auto propose = [&](std::size_t machine) {
      cluster.Propose(machine, Padded("command " + std::to_string(++proposed)));
      cluster.Run(kSecond / 10);
    };
    while (proposed < kCommands) propose(leader);
    // The partitioned leader appends an entry of its own, which is overwritten after the partition heals.
    for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Cut(leader, i);
    propose(leader);
    cluster.Run(2 * kSecond);
    run_until_leader();
    propose(cluster.Leader().value());
    cluster.Heal();
    cluster.Run(kSecond);
    // A restarted leader has no entries in memory from before its snapshot, so it sends the snapshot itself.
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      cluster.Kill(i);
      cluster.Start(i);
    }
    cluster.Run(kSecond);
    cluster.LoseDisk(replaced);
    cluster.Start(replaced);
    cluster.Run(4 * kSecond);
    for (int i = 0; i < kCommands; ++i) {
      run_until_leader();
      propose(cluster.Leader().value());
    }
    StoreWorkload workload;
    for (const RecordedCommit& commit : recorded) {
      if (commit.machine == leader) workload.Add(0, commit.writes);
      if (commit.disk == cluster.machine(replaced).disk_id) workload.Add(1, commit.writes);
    }
    return workload;
  }

  const std::vector<Commit>& commits() const { return commits_; }
  /// states()[n] are the contents of the store after the first n commits.
  const std::vector<StoredShards>& states() const { return states_; }
  const WriteKinds& kinds() const { return kinds_; }

 private:
  // Pads commands so that the snapshots are large enough for several checkpoints of the write-ahead log.
  static std::string Padded(const std::string& command) { return command + std::string(1500, '.'); }

  void Add(int shard, Commit writes) {
    StoredShards state = states_.back();
    for (ShardWrite& write : writes) {
      write.shard = shard;
      Count(state[shard], write);
      ApplyWrite(state[shard], write);
    }
    commits_.push_back(std::move(writes));
    states_.push_back(std::move(state));
  }

  void Count(const consensus::StoredState& before, const ShardWrite& write) {
    kinds_.hard_states += write.hard_state ? 1 : 0;
    kinds_.appends += write.entries.empty() ? 0 : 1;
    kinds_.truncations +=
        write.first_index > 0 && write.first_index <= before.snapshot.index + before.entries.size();
    kinds_.installed_snapshots += write.replaces_log ? 1 : 0;
    kinds_.snapshots += write.snapshot && !write.replaces_log ? 1 : 0;
    for (const consensus::Entry& entry : write.entries)
      kinds_.membership_changes += entry.kind == consensus::EntryKind::kMembers;
  }

  std::vector<Commit> commits_;
  std::vector<StoredShards> states_{1};
  WriteKinds kinds_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_STORE_WORKLOAD_HPP_
