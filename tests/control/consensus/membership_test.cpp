// Membership changes: further machines may fail once the catch-up time of the failed ones is over, and no
// acknowledged entry is lost with the members that are removed.
#include <catch2/catch.hpp>
#include <string>

#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::uint64_t kSeeds = 20;

// A group of three that tolerates one failure, or of five that tolerates two, and as many spare machines,
// which are not running yet.
class GroupWithSpares {
 public:
  GroupWithSpares(std::size_t voters, std::uint64_t seed)
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
  // Permanently, the leader first if `with_leader`.
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
    CHECK(cluster.HasAllAcknowledged(AwaitLeader()));
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

TEST_CASE("Successors become voters within the catch-up time, after which as many machines may fail again") {
  for (const bool with_leader : {false, true})
    ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
      GroupWithSpares group(voters, seed);
      group.Remove(group.tolerated(), with_leader);
      group.cluster.Run(kSecond);
      group.StartSpares();
      CHECK(group.Await([&] { return group.SparesVote(); }, group.cluster.catch_up_time));
      group.Commit("between");
      group.Remove(group.tolerated(), true);
      group.CheckNothingLost();
    });
}

TEST_CASE("Running spares become voters before draining machines shut down") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    CHECK_FALSE(group.SparesVote());  // while all others are there
    const std::size_t leader = group.AwaitLeader();
    for (std::size_t i = 0; i < group.tolerated(); ++i)
      group.cluster.machine((leader + 1 + i) % voters).draining = true;
    CHECK(group.Await([&] { return group.SparesVote(); }, 3 * kSecond / 10));
    group.CheckNothingLost();
  });
}

TEST_CASE("A draining leader that shuts down is replaced as soon as another one leads") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    group.StartSpares();
    group.cluster.Run(kSecond);
    const std::size_t leader = group.AwaitLeader();
    group.cluster.machine(leader).draining = true;
    group.cluster.Run(3 * kSecond / 10);
    group.cluster.PowerOff(leader);
    group.cluster.machine(leader).removed = true;
    CHECK(group.Await([&] { return group.cluster.Leader() && !group.Votes(leader); }, 2 * kSecond));
    group.CheckNothingLost();
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
    CHECK(group.Votes(frozen));
    group.CheckNothingLost();
  });
}

TEST_CASE("Without a spare no unresponsive voter is removed") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    const std::size_t gone = (group.AwaitLeader() + 1) % voters;
    group.cluster.PowerOff(gone);
    group.cluster.Run(30 * kSecond);
    CHECK(group.Votes(gone));
    group.cluster.Start(gone);
    group.CheckNothingLost();
  });
}

TEST_CASE("A voter replaced while frozen does no harm, and rejoins when needed") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
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

TEST_CASE("A successor that fails during a membership change leaves the group unchanged or one smaller") {
  for (Micros after = 0; after < 300'000; after += Cluster::kTimeStep)
    for (const std::size_t voters : {3, 5}) {
      INFO("group of " << voters << ", dies after " << after << " us");
      GroupWithSpares group(voters, 1 + static_cast<std::uint64_t>(after));
      const std::size_t spare = group.spare(0);
      const std::size_t leaving = (group.AwaitLeader() + 1) % voters;
      group.cluster.Start(spare);
      group.cluster.Run(kSecond);
      group.cluster.machine(leaving).draining = true;
      group.cluster.Run(after);
      group.cluster.PowerOff(spare);
      group.Commit("without it");
      // The one that was to leave is there still, and stays.
      group.cluster.machine(leaving).draining = false;
      CHECK(group.Await([&] { return group.cluster.Leader() && group.Votes(leaving); }, 5 * kSecond));
      group.CheckNothingLost();
    }
}

TEST_CASE("Entries stored only by a bare majority survive the removal of its members") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
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

TEST_CASE("Machines with lost disks, as many as tolerated, vote again within the catch-up time") {
  ForEachGroup([&](std::size_t voters, std::uint64_t seed) {
    GroupWithSpares group(voters, seed);
    const std::size_t leader = group.AwaitLeader();
    for (std::size_t i = 0; i < group.tolerated(); ++i) {
      const std::size_t victim = (leader + i) % voters;
      group.cluster.LoseDisk(victim);
      group.cluster.Run(kSecond / 3);
      group.cluster.Start(victim);
    }
    CHECK(group.Await([&] { return group.cluster.HasFullMembership(); }, group.cluster.catch_up_time));
    group.Commit("between");
    group.Remove(group.tolerated(), true);
    group.CheckNothingLost();
  });
}

// Asked to be taken in, and then gone: a leader that sent to all that ever asked would have more with each.
TEST_CASE("An unresponsive learner is sent nothing any more") {
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

TEST_CASE("The replacement timeout of a voter follows the catch-up time of its machine") {
  CHECK(MakeMembershipPolicy(3, 4 * kSecond).replacement_timeout == 2 * kSecond);
  CHECK(MakeMembershipPolicy(5, 6 * kSecond).replacement_timeout == 3 * kSecond);
  CHECK(MakeMembershipPolicy(3, 0).replacement_timeout > MakeMembershipPolicy(3, 0).liveness_timeout);
  CHECK(MakeMembershipPolicy(3, 100 * kSecond).replacement_timeout == 6 * kSecond);
}

}  // namespace violetwing::consensus
