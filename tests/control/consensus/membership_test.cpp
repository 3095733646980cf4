// Tests of membership changes: once the catch-up time of failed machines is over, further machines may fail,
// and no acknowledged entry is lost when members are removed.
#include <catch2/catch.hpp>
#include <string>

#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::uint64_t kSeeds = 20;

// A group of three that tolerates one failure, or of five that tolerates two, with as many spare machines,
// which are initially powered off.
class GroupWithSpares {
 public:
  GroupWithSpares(std::size_t voters, std::uint64_t seed)
      : cluster(voters + voters / 2, voters, seed), voters_(voters), spares_(voters / 2) {
    for (std::size_t i = voters; i < cluster.size(); ++i) cluster.PowerOff(i);
    AwaitLeader();
    Commit("first");
  }

  std::size_t tolerated_failures() const { return spares_; }
  std::size_t spare(std::size_t i) const { return voters_ + i; }
  bool IsVoter(std::size_t i) {
    const auto leader = cluster.Leader();
    return leader && cluster.machine(*leader).replica->IsMember(cluster.machine(i).disk_id);
  }
  std::size_t AwaitLeader(Micros timeout = 10 * kSecond) {
    Await([&] { return cluster.Leader().has_value(); }, timeout);
    REQUIRE(cluster.Leader().has_value());
    return *cluster.Leader();
  }
  bool Await(const std::function<bool()>& done, Micros timeout) {
    for (const Micros deadline = cluster.now() + timeout; cluster.now() < deadline && !done();)
      cluster.Run(Cluster::kTimeStep);
    return done();
  }
  void Commit(const std::string& command) {
    const bool committed = Await(
        [&] {
          if (cluster.now() % (kSecond / 10) == 0)
            if (const auto leader = cluster.Leader()) cluster.Propose(*leader, command);
          return cluster.acknowledged().count(command) > 0;
        },
        10 * kSecond);
    INFO(command << cluster.Describe());
    REQUIRE(committed);
  }
  // Removes `count` machines permanently, starting with the leader if `with_leader`.
  std::vector<std::size_t> RemoveMachines(std::size_t count, bool with_leader) {
    std::vector<std::size_t> failed;
    const std::size_t leader = AwaitLeader();
    for (std::size_t i = 0; failed.size() < count; ++i) {
      const std::size_t index = (leader + i + (with_leader ? 0 : 1)) % voters_;
      cluster.PowerOff(index);
      cluster.machine(index).removed = true;
      failed.push_back(index);
    }
    return failed;
  }
  void StartSpares() {
    for (std::size_t i = 0; i < spares_; ++i) cluster.Start(spare(i));
  }
  bool AllSparesAreVoters() {
    for (std::size_t i = 0; i < spares_; ++i)
      if (!IsVoter(spare(i))) return false;
    return true;
  }
  void CheckNoEntryLost() {
    Commit("last");
    cluster.Run(kSecond);
    CHECK(cluster.HasAllAcknowledged(AwaitLeader()));
    for (const std::string& violation : cluster.violations()) UNSCOPED_INFO(violation);
    CHECK(cluster.violations().empty());
  }

  Cluster cluster;

 private:
  const std::size_t voters_;
  const std::size_t spares_;
};

template <class TestBody>
void ForEachGroup(TestBody body) {
  for (const std::size_t voters : {3, 5})
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      INFO("group of " << voters << ", seed " << seed);
      body(voters, seed);
    }
}

}  // namespace

TEST_CASE("Spares become voters within the catch-up time, after which as many machines may fail again") {
  for (const bool with_leader : {false, true})
    ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
      GroupWithSpares group(voters, seed);
      group.RemoveMachines(group.tolerated_failures(), with_leader);
      group.cluster.Run(kSecond);
      group.StartSpares();
      CHECK(group.Await([&] { return group.AllSparesAreVoters(); }, group.cluster.catch_up_time));
      group.Commit("between");
      group.RemoveMachines(group.tolerated_failures(), true);
      group.CheckNoEntryLost();
    });
}

TEST_CASE("Running spares become voters before draining machines shut down") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    CHECK_FALSE(group.AllSparesAreVoters());  // all voters are running
    const std::size_t leader = group.AwaitLeader();
    for (std::size_t i = 0; i < group.tolerated_failures(); ++i)
      group.cluster.machine((leader + 1 + i) % voters).draining = true;
    CHECK(group.Await([&] { return group.AllSparesAreVoters(); }, 3 * kSecond / 10));
    group.CheckNoEntryLost();
  });
}

TEST_CASE("A draining leader that shuts down is replaced once a new leader is elected") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    const std::size_t leader = group.AwaitLeader();
    group.cluster.machine(leader).draining = true;
    group.cluster.Run(3 * kSecond / 10);
    group.cluster.PowerOff(leader);
    group.cluster.machine(leader).removed = true;
    CHECK(group.Await([&] { return group.cluster.Leader() && !group.IsVoter(leader); }, 2 * kSecond));
    group.CheckNoEntryLost();
  });
}

TEST_CASE("A voter that freezes for a second keeps its vote although a spare is available") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    const std::size_t frozen = (group.AwaitLeader() + 1) % voters;
    group.cluster.Freeze(frozen, kSecond);
    group.cluster.Run(3 * kSecond);
    CHECK(group.IsVoter(frozen));
    group.CheckNoEntryLost();
  });
}

TEST_CASE("Without a spare no unresponsive voter is removed") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    const std::size_t failed = (group.AwaitLeader() + 1) % voters;
    group.cluster.PowerOff(failed);
    group.cluster.Run(30 * kSecond);
    CHECK(group.IsVoter(failed));
    group.cluster.Start(failed);
    group.CheckNoEntryLost();
  });
}

TEST_CASE("A voter that was replaced while frozen causes no violation and rejoins when needed") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    const std::size_t frozen = group.AwaitLeader();
    group.cluster.Freeze(frozen, 6 * kSecond);
    CHECK(group.Await([&] { return group.cluster.Leader() && !group.IsVoter(frozen); }, 5 * kSecond));
    group.Commit("meanwhile");
    group.cluster.Run(7 * kSecond);
    CHECK_FALSE(group.IsVoter(frozen));
    for (std::size_t i = 0; i < group.tolerated_failures(); ++i) group.cluster.PowerOff(group.spare(i));
    CHECK(group.Await([&] { return group.cluster.Leader() && group.IsVoter(frozen); }, 5 * kSecond));
    group.CheckNoEntryLost();
  });
}

TEST_CASE("A spare that fails during a membership change leaves the group unchanged or smaller by one") {
  for (Micros after = 0; after < 300'000; after += Cluster::kTimeStep)
    for (const std::size_t voters : {3, 5}) {
      INFO("group of " << voters << ", spare fails after " << after << " us");
      GroupWithSpares group(voters, 1 + static_cast<std::uint64_t>(after));
      const std::size_t spare = group.spare(0);
      const std::size_t draining_voter = (group.AwaitLeader() + 1) % voters;
      group.cluster.Start(spare);
      group.cluster.Run(kSecond);
      group.cluster.machine(draining_voter).draining = true;
      group.cluster.Run(after);
      group.cluster.PowerOff(spare);
      group.Commit("without it");
      // The draining machine is still running and remains a voter once it no longer drains.
      group.cluster.machine(draining_voter).draining = false;
      CHECK(
          group.Await([&] { return group.cluster.Leader() && group.IsVoter(draining_voter); }, 5 * kSecond));
      group.CheckNoEntryLost();
    }
}

TEST_CASE("Entries stored only by a bare majority survive the removal of its members") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    const std::size_t leader = group.AwaitLeader();
    const std::size_t majority = voters / 2 + 1;
    // Isolate the rest of the group, so that only a bare majority stores the entry.
    for (std::size_t i = majority; i < voters; ++i)
      for (std::size_t j = 0; j < group.cluster.size(); ++j) {
        group.cluster.Cut((leader + i) % voters, j);
        group.cluster.Cut(j, (leader + i) % voters);
      }
    group.Commit("stored by a bare majority");
    group.StartSpares();
    group.cluster.Heal();
    group.RemoveMachines(group.tolerated_failures(), true);
    CHECK(group.Await([&] { return group.AllSparesAreVoters(); }, 10 * kSecond));
    group.RemoveMachines(group.tolerated_failures(), true);
    group.CheckNoEntryLost();
  });
}

TEST_CASE("The maximum tolerated number of machines with lost disks vote again within the catch-up time") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    const std::size_t leader = group.AwaitLeader();
    for (std::size_t i = 0; i < group.tolerated_failures(); ++i) {
      const std::size_t victim = (leader + i) % voters;
      group.cluster.LoseDisk(victim);
      group.cluster.Run(kSecond / 3);
      group.cluster.Start(victim);
    }
    CHECK(group.Await([&] { return group.cluster.HasFullMembership(); }, group.cluster.catch_up_time));
    group.Commit("between");
    group.RemoveMachines(group.tolerated_failures(), true);
    group.CheckNoEntryLost();
  });
}

// A leader that kept sending to every learner that ever asked to join would have an ever-growing set of
// followers.
TEST_CASE("A leader stops sending to an unresponsive learner") {
  GroupWithSpares group(3, 1);
  group.StartSpares();
  group.cluster.Run(kSecond);
  group.cluster.PowerOff(group.spare(0));
  group.cluster.Run(12 * kSecond);
  int sent = 0;
  group.cluster.mutate = [&](Message& message) {
    sent += message.to == group.cluster.machine(group.spare(0)).disk_id;
    return true;
  };
  group.Commit("another");
  group.cluster.Run(kSecond);
  CHECK(sent == 0);
  group.cluster.Start(group.spare(0));
  CHECK(group.Await([&] { return group.cluster.HasAllAcknowledged(group.spare(0)); }, 3 * kSecond));
}

TEST_CASE("The replacement timeout is half the catch-up time within fixed bounds") {
  CHECK(MakeMembershipPolicy(3, 4 * kSecond).replacement_timeout == 2 * kSecond);
  CHECK(MakeMembershipPolicy(5, 6 * kSecond).replacement_timeout == 3 * kSecond);
  CHECK(MakeMembershipPolicy(3, 0).replacement_timeout > MakeMembershipPolicy(3, 0).liveness_timeout);
  CHECK(MakeMembershipPolicy(3, 100 * kSecond).replacement_timeout == 6 * kSecond);
}

}  // namespace violetwing::consensus
