// Tests of leader resignation: a successor is elected without delay, and never while another lease is held.
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kSecond = 1'000'000;

std::size_t AwaitLeader(Cluster& cluster) {
  for (int i = 0; i < 100 && !cluster.Leader(); ++i) cluster.Run(kSecond / 10);
  REQUIRE(cluster.Leader().has_value());
  return *cluster.Leader();
}

// A follower of "b" in term 4, with the latest heartbeat received at `kLastContactAt`.
constexpr Term kTerm = 4;
constexpr Micros kLastContactAt = 10'000'000;

Message Heartbeat(Term term) {
  Message heartbeat;
  heartbeat.kind = MessageKind::kHeartbeat;
  heartbeat.from = "b";
  heartbeat.to = "a";
  heartbeat.term = term;
  return heartbeat;
}

Replica FollowerOfB() {
  StoredState stored;
  stored.hard_state = {kTerm, "b"};
  stored.entries = {{kTerm, EntryKind::kNoop, {}, {}}};
  Replica replica("a", {{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}}, stored, Timing{}, 1, kLastContactAt);
  replica.Step(Heartbeat(kTerm), kLastContactAt);
  replica.TakeEffects();
  return replica;
}

bool GrantsVoteOfNextTerm(Replica& replica, Micros now) {
  Message vote;
  vote.kind = MessageKind::kVote;
  vote.from = "c";
  vote.to = "a";
  vote.term = kTerm + 1;
  vote.index = 1;
  vote.log_term = kTerm;
  replica.TakeEffects();
  replica.Step(vote, now);
  for (const Message& reply : replica.TakeEffects().messages_after_write)
    if (reply.kind == MessageKind::kVoteReply && reply.granted) return true;
  return false;
}

}  // namespace

TEST_CASE("A follower grants a vote immediately after its leader has resigned, but not before") {
  Replica before_resignation = FollowerOfB();
  CHECK_FALSE(GrantsVoteOfNextTerm(before_resignation, kLastContactAt + 1));
  Replica after_resignation = FollowerOfB();
  Message resigned = Heartbeat(kTerm);
  resigned.succession_rank = 1;
  after_resignation.Step(resigned, kLastContactAt);
  CHECK(GrantsVoteOfNextTerm(after_resignation, kLastContactAt + 1));
}

TEST_CASE("A resignation of an earlier term does not end a later leader's lease") {
  Replica replica = FollowerOfB();
  Message late = Heartbeat(kTerm - 1);
  late.succession_rank = 0;
  replica.Step(late, kLastContactAt);
  CHECK_FALSE(GrantsVoteOfNextTerm(replica, kLastContactAt + 1));
  replica.TakeEffects();
  replica.Tick(kLastContactAt + 1);
  CHECK(replica.TakeEffects().messages_after_write.empty());
}

TEST_CASE("A heartbeat that arrives after the resignation of its sender does not count as leader contact") {
  Replica replica = FollowerOfB();
  Message resigned = Heartbeat(kTerm);
  resigned.succession_rank = 1;
  replica.Step(resigned, kLastContactAt);
  replica.Step(Heartbeat(kTerm), kLastContactAt + 1);
  CHECK_FALSE(replica.known_leader().has_value());
  CHECK(GrantsVoteOfNextTerm(replica, kLastContactAt + 2));
}

TEST_CASE("The successors of a resigned leader become candidates in the order of their ranks") {
  for (const std::uint32_t rank : {0U, 1U, 3U}) {
    Replica replica = FollowerOfB();
    Message resigned = Heartbeat(kTerm);
    resigned.succession_rank = rank;
    replica.Step(resigned, kLastContactAt);
    CHECK(replica.NextElectionAt() == kLastContactAt + rank * Timing{}.election_slot_duration);
  }
}

TEST_CASE("The members of a group have different election slots, in an order that varies by term and group") {
  constexpr Term kTerms = 60;
  const Members members{{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}};
  std::map<std::string, int> first_candidate_counts;
  int terms_with_different_groups = 0;
  for (Term term = 1; term <= kTerms; ++term) {
    std::map<std::size_t, std::string> first_candidate;
    for (const std::size_t group : {0, 1, 2}) {
      std::map<Micros, std::string> election_times;
      for (const std::string id : {"a", "c"}) {
        Timing timing;
        timing.startup_first_candidate = group;
        Replica replica(id, members, {}, timing, 1, kLastContactAt);
        Message heartbeat = Heartbeat(term);
        heartbeat.to = id;
        replica.Step(heartbeat, kLastContactAt);
        election_times[replica.NextElectionAt().value()] = id;
      }
      REQUIRE(election_times.size() == 2);
      first_candidate[group] = election_times.begin()->second;
      ++first_candidate_counts[election_times.begin()->second];
    }
    terms_with_different_groups +=
        first_candidate[0] != first_candidate[1] || first_candidate[1] != first_candidate[2];
  }
  for (const std::string id : {"a", "c"}) CHECK(first_candidate_counts[id] >= static_cast<int>(kTerms));
  CHECK(terms_with_different_groups >= static_cast<int>(kTerms / 2));
}

TEST_CASE("A resigned leader has no lease and is succeeded by a follower with an up-to-date log") {
  for (const std::size_t voters : {3, 5})
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      INFO("group of " << voters << ", seed " << seed);
      Cluster cluster(voters, voters, seed);
      const std::size_t old_leader = AwaitLeader(cluster);
      const std::size_t lagging = (old_leader + 1) % voters;
      cluster.Cut(old_leader, lagging);
      cluster.Propose(old_leader, "last");
      cluster.Run(kSecond / 5);
      REQUIRE(cluster.acknowledged().count("last") == 1);
      cluster.Heal();
      cluster.BeginShutdown(old_leader);
      CHECK_FALSE(cluster.machine(old_leader).replica->HasLease(cluster.now()));
      const Micros shutdown_at = cluster.now();
      while (!cluster.Leader() && cluster.now() - shutdown_at < kSecond) cluster.Run(Cluster::kTimeStep);
      REQUIRE(cluster.Leader().has_value());
      CHECK(*cluster.Leader() != old_leader);
      CHECK(*cluster.Leader() != lagging);
      CHECK(cluster.now() - shutdown_at < 3 * kSecond / 10);
      CHECK(cluster.HasAllAcknowledged(*cluster.Leader()));
      CHECK(cluster.violations().empty());
    }
}

TEST_CASE("If the first successor fails, the next one becomes leader within one more slot") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(5, 5, seed);
    const std::size_t old_leader = AwaitLeader(cluster);
    cluster.Run(kSecond);
    std::string first;
    cluster.mutate = [&](Message& message) {
      if (message.succession_rank == 0U) first = message.to;
      return true;
    };
    cluster.BeginShutdown(old_leader);
    for (std::size_t i = 0; i < cluster.size(); ++i)
      if (cluster.machine(i).disk_id == first) cluster.PowerOff(i);
    const Micros shutdown_at = cluster.now();
    while (!cluster.Leader() && cluster.now() - shutdown_at < kSecond) cluster.Run(Cluster::kTimeStep);
    CHECK(cluster.Leader().has_value());
    CHECK(cluster.now() - shutdown_at < 2 * Timing{}.election_slot_duration + kSecond / 5);
    CHECK(cluster.violations().empty());
  }
}

// Members that do not support resignations treat the message as a heartbeat.
TEST_CASE(
    "A group with members that do not support resignations elects within the time allowed after a failure") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    const std::size_t voters = seed % 2 == 0 ? 3 : 5;
    Cluster cluster(voters, voters, seed);
    const std::size_t old_leader = AwaitLeader(cluster);
    cluster.Run(6 * kSecond);
    cluster.mutate = [&](Message& message) {
      if (message.to != cluster.machine((old_leader + 1 + seed % (voters - 1)) % voters).disk_id) return true;
      message.succession_rank.reset();
      return true;
    };
    cluster.BeginShutdown(old_leader);
    const Micros shutdown_at = cluster.now();
    cluster.Run(3 * kSecond / 10);
    cluster.PowerOff(old_leader);
    while (!cluster.Leader() && cluster.now() - shutdown_at < 5 * kSecond) cluster.Run(Cluster::kTimeStep);
    CHECK(cluster.now() - shutdown_at <= 3 * kSecond / 2);
    CHECK(cluster.violations().empty());
  }
}

// Messages of a resigned leader may be delayed, duplicated and reordered with those of later terms, whose
// leaders may freeze and resign as well.
TEST_CASE("Leaders that resign at any moment never cause two leases or lose an entry") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    const std::size_t voters = seed % 2 == 0 ? 3 : 5;
    Cluster cluster(voters, voters, seed);
    cluster.max_delay = seed % 3 == 0 ? 300'000 : 5'000;
    cluster.duplicate_probability = 0.2;
    cluster.drop_probability = seed % 5 == 0 ? 0.05 : 0;
    Random& random = cluster.random();
    int proposed = 0;
    for (int round = 0; round < 40; ++round) {
      for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Propose(i, std::to_string(proposed++));
      const std::size_t victim = random.Below(cluster.size());
      switch (random.Below(4)) {
        case 0:
          for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Resign(i);
          break;
        case 1:
          cluster.Freeze(victim, static_cast<Micros>(random.Below(kSecond)));
          break;
        case 2:
          cluster.Kill(victim);
          cluster.Start(victim);
          break;
        default:
          break;
      }
      cluster.Run(static_cast<Micros>(random.Below(kSecond / 2)));
    }
    cluster.max_delay = 3'000;
    cluster.drop_probability = 0;
    cluster.Run(5 * kSecond);
    for (const std::string& violation : cluster.violations()) UNSCOPED_INFO(violation);
    REQUIRE(cluster.violations().empty());
    REQUIRE(cluster.HasAllAcknowledged(AwaitLeader(cluster)));
  }
}

}  // namespace violetwing::consensus
