// Changes of a group's members: a second machine may be lost as soon as the pages of the deployment say that
// the first counts as lost no longer, and nothing that was acknowledged goes with those that leave.
#include <catch2/catch.hpp>
#include <string>

#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::uint64_t kSeeds = 20;

// A group of three of which one may be lost, or of five of which two may, and as many empty machines, which
// are not up yet.
class ReplicatedStateMachine {
 public:
  ReplicatedStateMachine(std::size_t voters, std::uint64_t seed)
      : cluster(voters + voters / 2, voters, seed), voters_(voters), spares_(voters / 2) {
    for (std::size_t i = voters; i < cluster.size(); ++i) cluster.PowerOff(i);
    AwaitLeader();
    Commit("first");
  }

  std::size_t tolerated() const { return spares_; }
  std::size_t spare(std::size_t i) const { return voters_ + i; }
  bool Votes(std::size_t i) {
    const auto leader = cluster.Leader();
    return leader && cluster.machine(*leader).replica->IsMember(cluster.machine(i).disk_id);
  }
  std::size_t AwaitLeader(Micros most = 10 * kSecond) {
    Await([&] { return cluster.Leader().has_value(); }, most);
    REQUIRE(cluster.Leader().has_value());
    return *cluster.Leader();
  }
  bool Await(const std::function<bool()>& done, Micros most) {
    for (const Micros until = cluster.now() + most; cluster.now() < until && !done();)
      cluster.Run(Cluster::kStep);
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
  // For good, the leader first where `with_leader`.
  std::vector<std::size_t> Remove(std::size_t count, bool with_leader) {
    std::vector<std::size_t> gone;
    const std::size_t leader = AwaitLeader();
    for (std::size_t i = 0; gone.size() < count; ++i) {
      const std::size_t one = (leader + i + (with_leader ? 0 : 1)) % voters_;
      cluster.PowerOff(one);
      cluster.machine(one).removed = true;
      gone.push_back(one);
    }
    return gone;
  }
  void StartSpares() {
    for (std::size_t i = 0; i < spares_; ++i) cluster.Start(spare(i));
  }
  bool SparesVote() {
    for (std::size_t i = 0; i < spares_; ++i)
      if (!Votes(spare(i))) return false;
    return true;
  }
  void CheckNothingLost() {
    Commit("last");
    cluster.Run(kSecond);
    CHECK(cluster.HoldsAll(AwaitLeader()));
    for (const std::string& violation : cluster.violations()) UNSCOPED_INFO(violation);
    CHECK(cluster.violations().empty());
  }

  Cluster cluster;

 private:
  const std::size_t voters_;
  const std::size_t spares_;
};

template <class Play>
void ForEachGroup(Play play) {
  for (const std::size_t voters : {3, 5})
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      INFO("group of " << voters << ", seed " << seed);
      play(voters, seed);
    }
}

}  // namespace

TEST_CASE("Successors vote before others may be lost, and then as many may be") {
  for (const bool with_leader : {false, true})
    ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
      ReplicatedStateMachine group(voters, seed);
      group.Remove(group.tolerated(), with_leader);
      group.cluster.Run(kSecond);
      group.StartSpares();
      CHECK(group.Await([&] { return group.SparesVote(); }, group.cluster.catch_up));
      group.Commit("between");
      group.Remove(group.tolerated(), true);
      group.CheckNothingLost();
    });
}

TEST_CASE("Successors that start first vote before the machines end that say so") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    ReplicatedStateMachine group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    CHECK_FALSE(group.SparesVote());  // while all others are there
    const std::size_t leader = group.AwaitLeader();
    for (std::size_t i = 0; i < group.tolerated(); ++i)
      group.cluster.machine((leader + 1 + i) % voters).leaving = true;
    CHECK(group.Await([&] { return group.SparesVote(); }, 3 * kSecond / 10));
    group.CheckNothingLost();
  });
}

TEST_CASE("A leader that says it ends and does is replaced as soon as another one leads") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    ReplicatedStateMachine group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    const std::size_t leader = group.AwaitLeader();
    group.cluster.machine(leader).leaving = true;
    group.cluster.Run(3 * kSecond / 10);
    group.cluster.PowerOff(leader);
    group.cluster.machine(leader).removed = true;
    CHECK(group.Await([&] { return group.cluster.Leader() && !group.Votes(leader); }, 2 * kSecond));
    group.CheckNothingLost();
  });
}

TEST_CASE("A voter that stands still for a second keeps its vote, also beside a machine that could take it") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    ReplicatedStateMachine group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    const std::size_t frozen = (group.AwaitLeader() + 1) % voters;
    group.cluster.Freeze(frozen, kSecond);
    group.cluster.Run(3 * kSecond);
    CHECK(group.Votes(frozen));
    group.CheckNothingLost();
  });
}

TEST_CASE("Without a machine that could take its place no voter is removed, however long it is silent") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    ReplicatedStateMachine group(voters, seed);
    const std::size_t gone = (group.AwaitLeader() + 1) % voters;
    group.cluster.PowerOff(gone);
    group.cluster.Run(30 * kSecond);
    CHECK(group.Votes(gone));
    group.cluster.Start(gone);
    group.CheckNothingLost();
  });
}

TEST_CASE("A voter that was replaced while it stood still is no harm, and is taken in again when needed") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    ReplicatedStateMachine group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    const std::size_t frozen = group.AwaitLeader();
    group.cluster.Freeze(frozen, 6 * kSecond);
    CHECK(group.Await([&] { return group.cluster.Leader() && !group.Votes(frozen); }, 5 * kSecond));
    group.Commit("meanwhile");
    group.cluster.Run(7 * kSecond);
    CHECK_FALSE(group.Votes(frozen));
    for (std::size_t i = 0; i < group.tolerated(); ++i) group.cluster.PowerOff(group.spare(i));
    CHECK(group.Await([&] { return group.cluster.Leader() && group.Votes(frozen); }, 5 * kSecond));
    group.CheckNothingLost();
  });
}

TEST_CASE("A successor that dies in the middle of a change leaves the group as it was, or one smaller") {
  for (Micros after = 0; after < 300'000; after += Cluster::kStep)
    for (const std::size_t voters : {3, 5}) {
      INFO("group of " << voters << ", dies after " << after << " us");
      ReplicatedStateMachine group(voters, 1 + static_cast<std::uint64_t>(after));
      const std::size_t spare = group.spare(0);
      const std::size_t leaving = (group.AwaitLeader() + 1) % voters;
      group.cluster.Start(spare);
      group.cluster.Run(kSecond);
      group.cluster.machine(leaving).leaving = true;
      group.cluster.Run(after);
      group.cluster.PowerOff(spare);
      group.Commit("without it");
      // The one that was to leave is there still, and stays.
      group.cluster.machine(leaving).leaving = false;
      CHECK(group.Await([&] { return group.cluster.Leader() && group.Votes(leaving); }, 5 * kSecond));
      group.CheckNothingLost();
    }
}

TEST_CASE("What only a leaving member and one other hold is not lost with it") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    ReplicatedStateMachine group(voters, seed);
    const std::size_t leader = group.AwaitLeader();
    const std::size_t majority = voters / 2 + 1;
    // The rest of the group hears nothing, while a bare majority takes a change in.
    for (std::size_t i = majority; i < voters; ++i)
      for (std::size_t j = 0; j < group.cluster.size(); ++j) {
        group.cluster.Cut((leader + i) % voters, j);
        group.cluster.Cut(j, (leader + i) % voters);
      }
    group.Commit("held by few");
    group.StartSpares();
    group.cluster.Heal();
    group.Remove(group.tolerated(), true);
    CHECK(group.Await([&] { return group.SparesVote(); }, 10 * kSecond));
    group.Remove(group.tolerated(), true);
    group.CheckNothingLost();
  });
}

TEST_CASE("Lost disks of as many machines as may be lost: all vote again before others are lost") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    ReplicatedStateMachine group(voters, seed);
    const std::size_t leader = group.AwaitLeader();
    for (std::size_t i = 0; i < group.tolerated(); ++i) {
      const std::size_t victim = (leader + i) % voters;
      group.cluster.LoseDisk(victim);
      group.cluster.Run(kSecond / 3);
      group.cluster.Start(victim);
    }
    CHECK(group.Await([&] { return group.cluster.Whole(); }, group.cluster.catch_up));
    group.Commit("between");
    group.Remove(group.tolerated(), true);
    group.CheckNothingLost();
  });
}

// Asked to be taken in, and then gone: a leader that sent to all that ever asked would have more with each.
TEST_CASE("A learner that is gone for good is sent nothing any more") {
  ReplicatedStateMachine group(3, 1);
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
  CHECK(group.Await([&] { return group.cluster.HoldsAll(group.spare(0)); }, 3 * kSecond));
}

TEST_CASE("The time to replace a voter follows the time in which its machine counts as lost") {
  CHECK(MakeMembershipPolicy(3, 4 * kSecond).replacement_timeout == 2 * kSecond);
  CHECK(MakeMembershipPolicy(5, 6 * kSecond).replacement_timeout == 3 * kSecond);
  CHECK(MakeMembershipPolicy(3, 0).replacement_timeout > MakeMembershipPolicy(3, 0).liveness_timeout);
  CHECK(MakeMembershipPolicy(3, 100 * kSecond).replacement_timeout == 6 * kSecond);
}

}  // namespace violetwing::consensus
