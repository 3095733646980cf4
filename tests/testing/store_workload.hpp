// What control processes write to their disks, recorded from a simulated group, as material for tests of the
// store.
#ifndef VIOLETWING_TESTS_TESTING_STORE_WORKLOAD_HPP_
#define VIOLETWING_TESTS_TESTING_STORE_WORKLOAD_HPP_

#include <map>
#include <string>
#include <vector>

#include "control/storage/shard_write.hpp"
#include "testing/cluster.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::testing {

/// What a store holds, by shard.
using StoredShards = std::map<int, consensus::StoredState>;
/// What is committed with one sync.
using Commit = std::vector<ShardWrite>;

/// How many writes there are of each kind that a replica makes.
struct WriteKinds {
  int hard_states = 0;
  int appends = 0;
  int truncations = 0;  ///< that overwrite stored entries
  int membership_changes = 0;
  int snapshots = 0;            ///< of its own state
  int installed_snapshots = 0;  ///< received from a leader
};

/// The commits of one process with two shards.
class StoreWorkload {
 public:
  /// A life of a group of three with a spare: elections, changes, overwritten entries, snapshots, and a lost
  /// disk whose machine is brought up to date by a snapshot and becomes a member again. Shard 0 has the
  /// writes of a machine that leads at first, shard 1 those of the machine with the lost disk.
  static StoreWorkload Record() {
    constexpr Micros kSecond = 1'000'000;
    constexpr std::uint64_t kSeed = 11;
    constexpr int kCommands = 34;
    consensus::Cluster cluster(4, 3, kSeed);
    const auto run_until_leader = [&] {
      for (int i = 0; i < 100 && !cluster.Leader(); ++i) cluster.Run(kSecond / 10);
    };
    struct Recorded {
      std::size_t machine = 0;
      std::string disk;
      Commit writes;
    };
    std::vector<Recorded> recorded;
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
    // Entries that no other machine has are overwritten when it is back.
    for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Cut(leader, i);
    propose(leader);
    cluster.Run(2 * kSecond);
    run_until_leader();
    propose(cluster.Leader().value());
    cluster.Heal();
    cluster.Run(kSecond);
    // A leader that has just started has no entries in memory from before its snapshot.
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
    for (const Recorded& one : recorded) {
      if (one.machine == leader) workload.Add(0, one.writes);
      if (one.disk == cluster.machine(replaced).disk_id) workload.Add(1, one.writes);
    }
    return workload;
  }

  const std::vector<Commit>& commits() const { return commits_; }
  /// What the store holds after the first `count` commits, for each count up to their number.
  const std::vector<StoredShards>& states() const { return states_; }
  const WriteKinds& kinds() const { return kinds_; }

 private:
  // Snapshots are large enough for the write-ahead log to be checkpointed several times.
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
