// Time without a leader after each kind of fault of the leader.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "testing/cluster.hpp"

namespace violetwing::consensus {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kHostTick = 50 * kMillisecond;  // tick interval of a control process
constexpr std::uint64_t kSeeds = 200;
// Targets from docs/consensus.md, "Time without a leader".
constexpr Micros kMaxMedianTime = 600'000;
constexpr Micros kMaxTime = 1'500'000;
// A control process exits this long after it was asked to shut down.
constexpr Micros kShutdownGrace = 300'000;

enum class LeaderFault {
  kPowerOff,
  kFreeze,
  kPartition,
  kOutboundLoss,  // all messages that it sends are lost
  kInboundLoss,   // all messages to it are lost
  kDiskStall,
  kGracefulShutdown,
};

struct NamedFault {
  LeaderFault fault;
  const char* name;
};
constexpr NamedFault kFaults[] = {{LeaderFault::kPowerOff, "power off"},
                                  {LeaderFault::kFreeze, "freeze"},
                                  {LeaderFault::kPartition, "partition"},
                                  {LeaderFault::kOutboundLoss, "outbound loss"},
                                  {LeaderFault::kInboundLoss, "inbound loss"},
                                  {LeaderFault::kDiskStall, "disk stall"},
                                  {LeaderFault::kGracefulShutdown, "graceful shutdown"}};

void Inject(Cluster& cluster, std::size_t leader, LeaderFault fault) {
  switch (fault) {
    case LeaderFault::kPowerOff:
      return cluster.PowerOff(leader);
    case LeaderFault::kFreeze:
      return cluster.Freeze(leader, 20 * kSecond);
    case LeaderFault::kDiskStall:
      return cluster.StallDisk(leader, 20 * kSecond);
    case LeaderFault::kGracefulShutdown:
      return cluster.BeginShutdown(leader);
    default:
      break;
  }
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (fault != LeaderFault::kInboundLoss) cluster.Cut(leader, i);
    if (fault != LeaderFault::kOutboundLoss) cluster.Cut(i, leader);
  }
}

// Time from the fault until there is an unaffected leader with a lease; 0 if there is one all the time.
Micros TimeWithoutLeader(std::size_t voters, std::uint64_t seed, LeaderFault fault) {
  Cluster cluster(voters, voters, seed);
  for (int i = 0; i < 100 && !cluster.Leader(); ++i) cluster.Run(kSecond / 10);
  cluster.time_step = kMillisecond;
  cluster.tick_interval = kHostTick;
  // The fault occurs after the startup elections, at a random time between two heartbeats.
  cluster.Run(6 * kSecond + static_cast<Micros>(cluster.random().Below(kSecond)));
  const std::size_t old_leader = cluster.Leader().value();
  const Micros fault_at = cluster.now();
  Inject(cluster, old_leader, fault);
  Micros last_time_without_leader = fault_at;
  while (cluster.now() - fault_at < 10 * kSecond) {
    cluster.Run(kMillisecond);
    if (fault == LeaderFault::kGracefulShutdown && cluster.IsRunning(old_leader) &&
        cluster.now() - fault_at >= kShutdownGrace)
      cluster.PowerOff(old_leader);
    const auto leader = cluster.Leader();
    const bool has_leader = leader && (*leader != old_leader || fault == LeaderFault::kDiskStall);
    if (!has_leader) last_time_without_leader = cluster.now();
    if (has_leader && *leader != old_leader) break;
  }
  CHECK(cluster.violations().empty());
  return last_time_without_leader - fault_at;
}

}  // namespace

TEST_CASE("A group has a leader with a lease again within the target time after any fault of its leader") {
  for (const std::size_t voters : {3, 5})
    for (const NamedFault& fault : kFaults) {
      std::vector<Micros> times;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
        times.push_back(TimeWithoutLeader(voters, seed, fault.fault));
      std::sort(times.begin(), times.end());
      const Micros median = times[times.size() / 2];
      const Micros p99 = times[times.size() * 99 / 100];
      char line[160];
      std::snprintf(line, sizeof line, "group of %zu, %s: median %.2f s, p99 %.2f s, max %.2f s", voters,
                    fault.name, static_cast<double>(median) / kSecond, static_cast<double>(p99) / kSecond,
                    static_cast<double>(times.back()) / kSecond);
      WARN(line);
      CHECK(median <= kMaxMedianTime);
      CHECK(times.back() <= kMaxTime);
    }
}

}  // namespace violetwing::consensus
