// Tests of a group of replicas under faults, on a virtual clock.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kSecond = 1'000'000;

// Runs the cluster until it has a leader, for at most 10 seconds.
std::size_t AwaitLeader(Cluster& cluster) {
  for (int i = 0; i < 100 && !cluster.Leader(); ++i) cluster.Run(kSecond / 10);
  INFO(cluster.Describe());
  REQUIRE(cluster.Leader().has_value());
  return *cluster.Leader();
}

void Commit(Cluster& cluster, const std::string& command) {
  for (int i = 0; i < 100; ++i) {
    if (const auto leader = cluster.Leader()) cluster.Propose(*leader, command);
    cluster.Run(kSecond / 10);
    if (cluster.acknowledged().count(command) > 0) return;
  }
  FAIL("not committed: " << command << cluster.Describe());
}

std::size_t OtherThan(std::size_t a, std::size_t b) {
  for (std::size_t i = 0;; ++i)
    if (i != a && i != b) return i;
}

}  // namespace

TEST_CASE("Three bootstrap members that start together elect one leader and commit") {
  Cluster cluster(3, 3, 1);
  AwaitLeader(cluster);
  Commit(cluster, "a");
  cluster.Run(kSecond);
  for (std::size_t i = 0; i < 3; ++i) CHECK(cluster.HasAllAcknowledged(i));
  CHECK(cluster.violations().empty());
}

TEST_CASE("A partitioned leader commits nothing and loses its lease while the majority continues") {
  Cluster cluster(3, 3, 2);
  const std::size_t old_leader = AwaitLeader(cluster);
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.Cut(old_leader, i);
    cluster.Cut(i, old_leader);
  }
  cluster.Propose(old_leader, "lost");
  cluster.Run(3 * kSecond);
  CHECK_FALSE(cluster.machine(old_leader).replica->HasLease(cluster.now()));
  CHECK_FALSE(cluster.machine(old_leader).replica->HasQuorumContact(cluster.now()));
  CHECK(cluster.acknowledged().count("lost") == 0);
  Commit(cluster, "kept");
  cluster.Heal();
  cluster.Run(3 * kSecond);
  CHECK(cluster.HasAllAcknowledged(old_leader));
  CHECK(cluster.violations().empty());
}

// The failure that a new disk under the old identity would cause: an entry is stored on A and B but not on C.
// B loses its disk and A is down. B and C must then not elect a leader without A.
TEST_CASE("A replica with a new disk grants no vote that would make a stale minority a quorum") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(3, 3, seed);
    const std::size_t a = AwaitLeader(cluster);
    const std::size_t b = OtherThan(a, a);
    const std::size_t c = OtherThan(a, b);
    for (const std::size_t other : {a, b}) {
      cluster.Cut(other, c);
      cluster.Cut(c, other);
    }
    Commit(cluster, "missed by c");
    cluster.LoseDisk(b);
    cluster.PowerOff(a);
    cluster.Start(b);
    cluster.Heal();
    cluster.Run(10 * kSecond);
    CHECK_FALSE(cluster.Leader().has_value());
    cluster.Start(a);
    Commit(cluster, "after");
    cluster.Run(10 * kSecond);
    for (std::size_t i = 0; i < 3; ++i) CHECK(cluster.HasAllAcknowledged(i));
    CHECK(cluster.violations().empty());
  }
}

TEST_CASE("A machine with a lost disk rejoins, after which another machine may fail") {
  Cluster cluster(3, 3, 4);
  AwaitLeader(cluster);
  for (int i = 0; i < 60; ++i) Commit(cluster, "c" + std::to_string(i));
  const std::size_t lost = OtherThan(*cluster.Leader(), *cluster.Leader());
  cluster.LoseDisk(lost);
  cluster.Run(kSecond);
  cluster.Start(lost);
  cluster.Run(4 * kSecond);
  CHECK(cluster.machine(lost).replica->IsMember(cluster.machine(lost).disk_id));
  cluster.PowerOff(*cluster.Leader());
  Commit(cluster, "later");
  CHECK(cluster.HasAllAcknowledged(lost));
  CHECK(cluster.violations().empty());
}

TEST_CASE("A spare machine replaces a permanently failed one") {
  Cluster cluster(4, 3, 5);
  AwaitLeader(cluster);
  Commit(cluster, "before");
  const std::size_t failed = *cluster.Leader();
  cluster.PowerOff(failed);
  cluster.machine(failed).removed = true;
  cluster.Run(12 * kSecond);
  CHECK(cluster.machine(3).replica->IsMember(cluster.machine(3).disk_id));
  cluster.PowerOff(*cluster.Leader());
  Commit(cluster, "after");
  CHECK(cluster.violations().empty());
}

TEST_CASE("Acknowledged entries survive a power failure of all machines") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Cluster cluster(3, 3, seed);
    const std::size_t leader = AwaitLeader(cluster);
    cluster.Propose(leader, "last");
    while (cluster.acknowledged().count("last") == 0) cluster.Run(Cluster::kTimeStep);
    for (std::size_t i = 0; i < 3; ++i) cluster.PowerOff(i);
    for (std::size_t i = 0; i < 3; ++i) cluster.Start(i);
    AwaitLeader(cluster);
    cluster.Run(kSecond);
    for (std::size_t i = 0; i < 3; ++i) CHECK(cluster.HasAllAcknowledged(i));
    CHECK(cluster.violations().empty());
  }
}

// The maximum tolerated number of disks is lost while all other machines lose power.
TEST_CASE("Acknowledged entries survive one lost disk and a power failure of the others") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Cluster cluster(3, 3, seed);
    const std::size_t leader = AwaitLeader(cluster);
    cluster.Propose(leader, "last");
    while (cluster.acknowledged().count("last") == 0) cluster.Run(Cluster::kTimeStep);
    const std::size_t lost = seed % 3;
    for (std::size_t i = 0; i < 3; ++i) i == lost ? cluster.LoseDisk(i) : cluster.PowerOff(i);
    for (std::size_t i = 0; i < 3; ++i) cluster.Start(i);
    AwaitLeader(cluster);
    cluster.Run(5 * kSecond);
    for (std::size_t i = 0; i < 3; ++i) CHECK(cluster.HasAllAcknowledged(i));
    CHECK(cluster.machine(lost).replica->IsMember(cluster.machine(lost).disk_id));
    CHECK(cluster.violations().empty());
  }
}

// If all voters restart, none can hold a lease, so they need not wait for one to expire.
TEST_CASE("Voters that all restart elect a leader without waiting for a lease to expire") {
  // The startup election delay of 200 ms, half a slot, a tick, a round of pre-votes and one of votes with a
  // write of up to 20 ms each, and the heartbeats. One more slot if the first candidate lacks the last entry.
  constexpr Micros kWithinFirstSlot = 400'000;
  constexpr Micros kMaxElectionTime = 500'000;
  int in_first_slot = 0;
  for (const Micros tick_interval : {Cluster::kTimeStep, 5 * Cluster::kTimeStep}) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      INFO("seed " << seed << ", tick interval " << tick_interval);
      Cluster cluster(5, 5, seed);
      cluster.tick_interval = tick_interval;
      const std::size_t leader = AwaitLeader(cluster);
      cluster.Propose(leader, "last");
      while (cluster.acknowledged().count("last") == 0) cluster.Run(Cluster::kTimeStep);
      for (std::size_t i = 0; i < cluster.size(); ++i) cluster.PowerOff(i);
      cluster.Run(kSecond);
      for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Start(i);
      const Micros started = cluster.now();
      while (!cluster.Leader() && cluster.now() - started < 5 * kSecond) cluster.Run(Cluster::kTimeStep);
      CHECK(cluster.now() - started <= kMaxElectionTime);
      in_first_slot += cluster.now() - started <= kWithinFirstSlot;
      CHECK(cluster.violations().empty());
    }
  }
  CHECK(in_first_slot >= 180);
}

// The leader, the only voter that is not restarted, may hold a lease that the others acknowledged before
// their restart.
TEST_CASE("A running leader keeps its lease while all other voters restart") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(5, 5, seed);
    const std::size_t leader = AwaitLeader(cluster);
    cluster.Run(kSecond);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (i == leader) continue;
      cluster.Cut(leader, i);  // the restarted voters receive no heartbeats from the leader
      cluster.Kill(i);
      cluster.Start(i);
    }
    cluster.Run(2 * kSecond);
    cluster.Heal();
    Commit(cluster, "after");
    CHECK(cluster.violations().empty());
  }
}

// Any process may be killed at any time and restarted immediately, including during membership changes and
// with delayed messages.
TEST_CASE("Processes that are killed and immediately restarted never cause two leaders at the same time") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(4 + seed % 2, 3 + 2 * (seed % 2), seed);
    cluster.max_delay = seed % 3 == 0 ? 120'000 : 3'000;
    cluster.duplicate_probability = seed % 4 == 0 ? 0.2 : 0;
    Random& random = cluster.random();
    int proposed = 0;
    for (int round = 0; round < 30; ++round) {
      if (cluster.size() == 4 && round % 10 == 9) {  // the fourth replaces a machine whose disk is lost
        for (int i = 0; i < 30 && !cluster.HasFullMembership(); ++i) cluster.Run(kSecond / 2);
        REQUIRE(cluster.HasFullMembership());
        const std::size_t victim = random.Below(cluster.size());
        cluster.LoseDisk(victim);
        cluster.Start(victim);
        for (int i = 0; i < 30 && !cluster.HasFullMembership(); ++i) cluster.Run(kSecond / 2);
      }
      const std::size_t spared = random.Below(cluster.size() + 2);  // often none
      for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (i == spared || random.Below(6) == 0) continue;
        random.Below(2) == 0 ? cluster.Kill(i) : cluster.PowerOff(i);
      }
      if (spared < cluster.size() && random.Below(3) == 0)
        cluster.Freeze(spared, static_cast<Micros>(random.Below(kSecond)));
      for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (random.Below(2) == 0) cluster.Run(static_cast<Micros>(random.Below(200'000)));
        if (!cluster.IsRunning(i)) cluster.Start(i);
      }
      for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Propose(i, std::to_string(proposed++));
      cluster.Run(static_cast<Micros>(random.Below(600'000)));
    }
    Commit(cluster, "end");
    cluster.Run(4 * kSecond);
    for (const std::string& violation : cluster.violations()) UNSCOPED_INFO(violation);
    REQUIRE(cluster.violations().empty());
    REQUIRE(cluster.HasAllAcknowledged(AwaitLeader(cluster)));
  }
}

TEST_CASE("A leader that resumes after a freeze has no lease, and its delayed messages have no effect") {
  Cluster cluster(3, 3, 6);
  const std::size_t old_leader = AwaitLeader(cluster);
  cluster.Freeze(old_leader, 4 * kSecond);
  cluster.Run(3 * kSecond);
  Commit(cluster, "meanwhile");
  cluster.Run(kSecond + Cluster::kTimeStep);
  cluster.Run(2 * kSecond);
  CHECK(cluster.HasAllAcknowledged(old_leader));
  CHECK(cluster.violations().empty());
}

TEST_CASE("A leader whose disk stalls commits by a quorum of the other disks") {
  Cluster cluster(3, 3, 7);
  const std::size_t leader = AwaitLeader(cluster);
  cluster.StallDisk(leader, 10 * kSecond);
  cluster.Propose(leader, "written by two");
  cluster.Run(kSecond);
  CHECK(cluster.acknowledged().count("written by two") == 1);
  CHECK(cluster.violations().empty());
}

TEST_CASE("No entry is lost when a message of any kind is dropped or modified") {
  const MessageKind kinds[] = {
      MessageKind::kPreVote,   MessageKind::kPreVoteReply, MessageKind::kVote,
      MessageKind::kVoteReply, MessageKind::kHeartbeat,    MessageKind::kHeartbeatReply,
      MessageKind::kAppend,    MessageKind::kAppendReply,  MessageKind::kSnapshot};
  // Faults that a network or an older process may cause. No quorum system tolerates a reply that acknowledges
  // more than was written, so replies are only changed to acknowledge less.
  const auto apply_mutation = [](Message& message, int mutation) {
    switch (mutation) {
      case 0:
        return false;
      case 1:
        message.term = message.term > 0 ? message.term - 1 : 0;
        return true;
      case 2:
        message.to = "disk/other";
        return true;
      case 3:
        message.granted = false;
        return true;
      case 4:
        message.index = 0;
        message.log_term = 0;
        message.entries.clear();
        message.commit = 0;
        return true;
      default:
        message.sent_at = 0;
        return true;
    }
  };
  for (const MessageKind kind : kinds)
    for (int mutation = 0; mutation < 6; ++mutation)
      for (int nth = 0; nth < 4; ++nth) {
        Cluster cluster(4, 3, static_cast<std::uint64_t>(100 + mutation));
        int seen = 0;
        cluster.mutate = [&](Message& message) {
          return message.kind != kind || seen++ != nth || apply_mutation(message, mutation);
        };
        AwaitLeader(cluster);
        for (int i = 0; i < 30; ++i) Commit(cluster, std::to_string(i));
        const std::size_t victim = OtherThan(*cluster.Leader(), 3);
        cluster.LoseDisk(victim);
        cluster.Start(victim);
        cluster.Run(8 * kSecond);
        Commit(cluster, "end");
        cluster.Run(2 * kSecond);
        CHECK(cluster.HasAllAcknowledged(victim));
        CHECK(cluster.violations().empty());
      }
}

namespace {

// Injects a fault of the given kind on one machine. `duration` applies to faults that end by themselves.
void InjectFault(Cluster& cluster, std::size_t victim, std::uint64_t kind, Micros duration) {
  switch (kind) {
    case 0:
      return cluster.Kill(victim);
    case 1:
      return cluster.PowerOff(victim);
    case 2:
      return cluster.LoseDisk(victim);
    case 3:
      return cluster.Freeze(victim, duration);
    case 4:
      return cluster.StallDisk(victim, duration);
    case 5:
      for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.Cut(victim, i);
        if (cluster.random().Below(2) == 0) cluster.Cut(i, victim);
      }
      return;
    case 6:
      for (std::size_t i = 0; i < cluster.size(); ++i) cluster.PowerOff(i);
      return;
    default:
      return;
  }
}

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t default_value) {
  const char* const text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// Injects random faults on as many machines at a time as a group tolerates: one of three, two of five. Some
// clusters also have a spare machine.
void RunSchedules(std::uint64_t schedules, Cluster::Disks disks) {
  const std::uint64_t first = NumberFromEnvironment("CONSENSUS_FIRST", 1);
  std::size_t committed = 0;
  for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
    INFO("seed " << seed);
    const std::size_t voters = seed % 4 < 2 ? 3 : 5;
    Cluster cluster(voters + seed % 2, voters, seed, disks);
    cluster.drop_probability = seed % 3 == 0 ? 0.05 : 0;
    cluster.duplicate_probability = seed % 5 == 0 ? 0.1 : 0;
    cluster.max_delay = seed % 7 == 0 ? 80'000 : 3'000;
    Random& random = cluster.random();
    int proposed = 0;
    for (int round = 0; round < 4; ++round) {
      const std::size_t first_victim = random.Below(cluster.size());
      const Micros duration = static_cast<Micros>(random.Below(4 * kSecond));
      for (std::size_t i = 0; i < voters / 2; ++i)
        InjectFault(cluster, (first_victim + i) % cluster.size(), random.Below(8), duration);
      for (Micros remaining = duration; remaining > 0; remaining -= kSecond / 4) {
        for (std::size_t i = 0; i < cluster.size(); ++i)
          if (random.Below(3) == 0)
            cluster.Propose(i, std::to_string(seed) + "/" + std::to_string(proposed++));
        cluster.Run(kSecond / 4);
      }
      cluster.Heal();
      for (std::size_t i = 0; i < cluster.size(); ++i)
        if (!cluster.IsRunning(i)) cluster.Start(i);
      // Wait for full membership before the next disk is lost: a group of three does not tolerate two lost
      // disks.
      cluster.Run(5 * kSecond);
      for (int i = 0; i < 20 && !cluster.HasFullMembership(); ++i) {
        // Restart machines whose disk could not be read.
        for (std::size_t machine = 0; machine < cluster.size(); ++machine)
          if (!cluster.IsRunning(machine)) cluster.Start(machine);
        cluster.Run(kSecond);
      }
      REQUIRE(cluster.HasFullMembership());
    }
    cluster.Run(4 * kSecond);
    const std::size_t leader = AwaitLeader(cluster);
    cluster.Run(kSecond);
    for (const std::string& violation : cluster.violations()) INFO(violation);
    REQUIRE(cluster.violations().empty());
    REQUIRE(cluster.HasAllAcknowledged(leader));
    committed += cluster.acknowledged().size();
  }
  CHECK(committed > schedules);
}

}  // namespace

TEST_CASE("Random fault schedules preserve the log") {
  RunSchedules(NumberFromEnvironment("CONSENSUS_SCHEDULES", 400), Cluster::Disks::kModel);
}

TEST_CASE(
    "Random fault schedules preserve the log on the production database, with torn writes and read errors") {
  constexpr std::uint64_t kScheduleDivisor = 5;  // schedules with the database take longer
  RunSchedules(NumberFromEnvironment("CONSENSUS_SCHEDULES", 400) / kScheduleDivisor,
               Cluster::Disks::kDatabase);
}

}  // namespace violetwing::consensus
