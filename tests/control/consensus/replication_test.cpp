// Tests of catch-up: snapshots in chunks, appends of bounded size, and lagging replicas under write load.
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "control/consensus/encoding.hpp"
#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::size_t kMaxMessageBytes = std::size_t{256} * 1024;  // payload limit of one message

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

// A text of about `size` bytes that consists mostly of multi-byte characters.
std::string WideText(std::size_t size, int number) {
  std::string text = std::to_string(number) + " ";
  while (text.size() < size) text += "ø";
  return text;
}

// Proposes `count` commands of about `size` bytes, one per `gap`.
void ProposeCommands(Cluster& cluster, int first, int count, Micros gap, std::size_t size = 8) {
  for (int i = 0; i < count; ++i) {
    if (const auto leader = cluster.Leader()) cluster.Propose(*leader, WideText(size, first + i));
    cluster.Run(gap);
  }
}

}  // namespace

TEST_CASE("A snapshot larger than a message is sent in chunks, also over a lossy link") {
  for (const double loss_rate : {0.0, 0.2}) {
    INFO("loss rate " << loss_rate);
    Cluster cluster(3, 3, 11);
    std::size_t max_payload_bytes = 0;
    int chunks = 0;
    cluster.mutate = [&](Message& message) {
      message = DecodeMessage(Encode(message)).value();
      max_payload_bytes = std::max(max_payload_bytes, BytesOf(message));
      chunks += message.kind == MessageKind::kSnapshot;
      return true;
    };
    const std::size_t lagging = (AwaitLeader(cluster) + 1) % 3;
    cluster.PowerOff(lagging);
    ProposeCommands(cluster, 0, 120, kSecond / 20, 20'000);
    cluster.drop_probability = loss_rate;
    cluster.Start(lagging);
    for (int i = 0; i < 200 && !cluster.HasAllAcknowledged(lagging); ++i) cluster.Run(kSecond / 10);
    CHECK(cluster.HasAllAcknowledged(lagging));
    CHECK(chunks >= 4);
    CHECK(max_payload_bytes <= kMaxMessageBytes);
    CHECK(cluster.violations().empty());
  }
}

TEST_CASE("An append is bounded in bytes, and a larger entry is sent alone") {
  Cluster cluster(3, 3, 12);
  cluster.compaction_threshold = 1'000;
  std::size_t max_multi_entry_bytes = 0;
  bool large_entry_sent_alone = false;
  cluster.mutate = [&](Message& message) {
    if (message.kind != MessageKind::kAppend) return true;
    if (message.entries.size() > 1) max_multi_entry_bytes = std::max(max_multi_entry_bytes, BytesOf(message));
    large_entry_sent_alone =
        large_entry_sent_alone || (message.entries.size() == 1 && BytesOf(message) > kMaxMessageBytes);
    return true;
  };
  const std::size_t lagging = (AwaitLeader(cluster) + 1) % 3;
  cluster.PowerOff(lagging);
  ProposeCommands(cluster, 0, 30, kSecond / 20, 60'000);
  ProposeCommands(cluster, 30, 1, kSecond / 20, 2 * kMaxMessageBytes);
  cluster.Start(lagging);
  for (int i = 0; i < 100 && !cluster.HasAllAcknowledged(lagging); ++i) cluster.Run(kSecond / 10);
  CHECK(cluster.HasAllAcknowledged(lagging));
  CHECK(max_multi_entry_bytes <= kMaxMessageBytes);
  CHECK(large_entry_sent_alone);
}

// A snapshot is taken after every third change, as happens with documents of 170 kB. A lagging replica must
// not need a newer snapshot each time it has installed one.
TEST_CASE("A restarted replica with a slow disk catches up within seconds under a high write rate") {
  constexpr Micros kCatchUpWithin = 4 * kSecond;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(3, 3, seed);
    cluster.compaction_threshold = 3;
    std::set<Index> snapshots;  // indices of the snapshots sent
    cluster.mutate = [&](Message& message) {
      if (message.kind == MessageKind::kSnapshot) snapshots.insert(message.snapshot->index);
      return true;
    };
    const std::size_t lagging = (AwaitLeader(cluster) + 1) % 3;
    cluster.PowerOff(lagging);
    ProposeCommands(cluster, 0, 300, kSecond / 12);
    cluster.machine(lagging).max_write_duration = 600'000;
    cluster.Start(lagging);
    const Micros started = cluster.now();
    const std::size_t missed = cluster.acknowledged().size();
    int next = 300;
    while (cluster.machine(lagging).applied.size() < missed && cluster.now() - started < 20 * kSecond)
      ProposeCommands(cluster, next++, 1, kSecond / 12);
    CHECK(cluster.now() - started <= kCatchUpWithin);
    // It stays caught up while the write load continues.
    ProposeCommands(cluster, next, 60, kSecond / 12);
    CHECK(cluster.machine(lagging).applied.size() + 24 > cluster.acknowledged().size());
    CHECK(snapshots.size() <= 1);
    CHECK(cluster.violations().empty());
  }
}

TEST_CASE("A learner becomes a voter although entries arrive faster than its disk writes them") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Cluster cluster(4, 3, seed);
    cluster.machine(3).max_write_duration = 200'000;
    const std::size_t failed = AwaitLeader(cluster);
    cluster.PowerOff(failed);
    cluster.machine(failed).removed = true;
    AwaitLeader(cluster);
    ProposeCommands(cluster, 0, 500, kSecond / 100);
    CHECK(cluster.machine(3).replica->IsMember(cluster.machine(3).disk_id));
    CHECK(cluster.violations().empty());
  }
}

// Messages to the follower stay unread while it is frozen. Their senders are down when it resumes.
TEST_CASE("A follower that resumes from a freeze gains no quorum contact from messages sent during it") {
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
