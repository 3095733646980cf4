// Catching up: snapshots in chunks, appends of bounded size, and replicas that are behind while changes go
// on.
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "control/consensus/encoding.hpp"
#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::size_t kMaxMessageBytes = std::size_t{256} * 1024;  // of what one message carries

std::size_t AwaitLeader(Cluster& cluster) {
  for (int i = 0; i < 100 && !cluster.Leader(); ++i) cluster.Run(kSecond / 10);
  REQUIRE(cluster.Leader().has_value());
  return *cluster.Leader();
}

std::size_t BytesOf(const Message& message) {
  std::size_t bytes = message.snapshot ? message.snapshot->state.size() : 0;
  for (const Entry& entry : message.entries) bytes += entry.command.size();
  return bytes;
}

// A text of about `size` bytes of more than one byte a character.
std::string WideText(std::size_t size, int number) {
  std::string text = std::to_string(number) + " ";
  while (text.size() < size) text += "ø";
  return text;
}

// Proposes `count` commands, one each `gap`.
void ProposeMany(Cluster& cluster, int first, int count, Micros gap, std::size_t size = 8) {
  for (int i = 0; i < count; ++i) {
    if (const auto leader = cluster.Leader()) cluster.Propose(*leader, WideText(size, first + i));
    cluster.Run(gap);
  }
}

}  // namespace

TEST_CASE("A snapshot larger than a message is sent in chunks, also over a lossy link") {
  for (const double lost : {0.0, 0.2}) {
    INFO("share lost " << lost);
    Cluster cluster(3, 3, 11);
    std::size_t largest = 0;
    int chunks = 0;
    cluster.mutate = [&](Message& message) {
      message = DecodeMessage(Encode(message)).value();
      largest = std::max(largest, BytesOf(message));
      chunks += message.kind == MessageKind::kSnapshot;
      return true;
    };
    const std::size_t behind = (AwaitLeader(cluster) + 1) % 3;
    cluster.PowerOff(behind);
    ProposeMany(cluster, 0, 120, kSecond / 20, 20'000);
    cluster.drop_probability = lost;
    cluster.Start(behind);
    for (int i = 0; i < 200 && !cluster.HasAllAcknowledged(behind); ++i) cluster.Run(kSecond / 10);
    CHECK(cluster.HasAllAcknowledged(behind));
    CHECK(chunks >= 4);
    CHECK(largest <= kMaxMessageBytes);
    CHECK(cluster.violations().empty());
  }
}

TEST_CASE("An append is bounded in bytes, and a larger entry is sent alone") {
  Cluster cluster(3, 3, 12);
  cluster.compaction_threshold = 1'000;
  std::size_t most_of_many = 0;
  bool large_alone = false;
  cluster.mutate = [&](Message& message) {
    if (message.kind != MessageKind::kAppend) return true;
    if (message.entries.size() > 1) most_of_many = std::max(most_of_many, BytesOf(message));
    large_alone = large_alone || (message.entries.size() == 1 && BytesOf(message) > kMaxMessageBytes);
    return true;
  };
  const std::size_t behind = (AwaitLeader(cluster) + 1) % 3;
  cluster.PowerOff(behind);
  ProposeMany(cluster, 0, 30, kSecond / 20, 60'000);
  ProposeMany(cluster, 30, 1, kSecond / 20, 2 * kMaxMessageBytes);
  cluster.Start(behind);
  for (int i = 0; i < 100 && !cluster.HasAllAcknowledged(behind); ++i) cluster.Run(kSecond / 10);
  CHECK(cluster.HasAllAcknowledged(behind));
  CHECK(most_of_many <= kMaxMessageBytes);
  CHECK(large_alone);
}

// A snapshot after every third change, as with documents of 170 kB: whoever is behind would find a newer one
// each time that it has taken one in.
TEST_CASE("A restarted replica with a slow disk catches up within seconds under a high write rate") {
  constexpr Micros kCatchUpWithin = 4 * kSecond;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(3, 3, seed);
    cluster.compaction_threshold = 3;
    std::set<Index> snapshots;  // that were sent
    cluster.mutate = [&](Message& message) {
      if (message.kind == MessageKind::kSnapshot) snapshots.insert(message.snapshot->index);
      return true;
    };
    const std::size_t behind = (AwaitLeader(cluster) + 1) % 3;
    cluster.PowerOff(behind);
    ProposeMany(cluster, 0, 300, kSecond / 12);
    cluster.machine(behind).max_write_duration = 600'000;
    cluster.Start(behind);
    const Micros started = cluster.now();
    const std::size_t missed = cluster.acknowledged().size();
    int next = 300;
    while (cluster.machine(behind).applied.size() < missed && cluster.now() - started < 20 * kSecond)
      ProposeMany(cluster, next++, 1, kSecond / 12);
    CHECK(cluster.now() - started <= kCatchUpWithin);
    // And it stays so while the storm goes on.
    ProposeMany(cluster, next, 60, kSecond / 12);
    CHECK(cluster.machine(behind).applied.size() + 24 > cluster.acknowledged().size());
    CHECK(snapshots.size() <= 1);
    CHECK(cluster.violations().empty());
  }
}

TEST_CASE("A learner becomes a voter while entries arrive faster than its disk writes them") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(4, 3, seed);
    cluster.machine(3).max_write_duration = 200'000;
    const std::size_t gone = AwaitLeader(cluster);
    cluster.PowerOff(gone);
    cluster.machine(gone).removed = true;
    AwaitLeader(cluster);
    ProposeMany(cluster, 0, 500, kSecond / 100);
    CHECK(cluster.machine(3).replica->IsMember(cluster.machine(3).disk_id));
    CHECK(cluster.violations().empty());
  }
}

// Its messages stay unread while it is frozen; their senders are down when it resumes.
TEST_CASE("A follower that was frozen gains no quorum contact from messages unread meanwhile") {
  Cluster cluster(3, 3, 13);
  const std::size_t leader = AwaitLeader(cluster);
  const std::size_t follower = (leader + 1) % 3;
  cluster.Run(kSecond);
  REQUIRE(cluster.machine(follower).replica->HasQuorumContact(cluster.now()));
  cluster.Freeze(follower, 20 * kSecond);
  cluster.Run(kSecond / 2);
  cluster.PowerOff(leader);
  cluster.PowerOff(3 - leader - follower);
  cluster.Run(20 * kSecond - kSecond / 2);
  for (int i = 0; i < 100; ++i) {
    cluster.Run(Cluster::kTimeStep);
    CHECK_FALSE(cluster.machine(follower).replica->HasQuorumContact(cluster.now()));
  }
}

}  // namespace violetwing::consensus
