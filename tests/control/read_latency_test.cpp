// Latency of linearizable reads of the configuration for different states of the disks.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <vector>

#include "testing/configuration_document.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using testing::Document;
using testing::VirtualSystem;

constexpr Micros kSecond = 1'000'000;
constexpr int kOk = 200;
constexpr std::uint64_t kSeeds = 20;
constexpr int kReadsPerSeed = 10;
constexpr Micros kCallTimeout = kSecond;

enum class DiskState { kHealthy, kSlow, kOneHangs, kQuorumHangs };

struct NamedDiskState {
  DiskState disk_state;
  const char* name;
};
constexpr NamedDiskState kStates[] = {{DiskState::kHealthy, "healthy"},
                                      {DiskState::kSlow, "up to 0.6 s per write"},
                                      {DiskState::kOneHangs, "one hangs or is full"},
                                      {DiskState::kQuorumHangs, "a quorum hangs or is full"}};

std::size_t ConfigureAndFindLeader(VirtualSystem& system) {
  bool accepted = false;
  for (std::size_t at = 0; !accepted; ++at) {
    system.CallPublic(at % system.controls(), "PUT", "/api/configuration", Document(1), 0,
                      [&](int status, const std::string&) { accepted = accepted || status == kOk; });
    system.Run(kSecond);
  }
  std::size_t leader = 0;
  while (!system.control(leader).core->shards().configuration_replica().leader()) ++leader;
  return leader;
}

// Applies the state to the disks. The leader's disk is the first one to hang.
void ApplyDiskState(VirtualSystem& system, std::size_t leader, DiskState disk_state) {
  constexpr Micros kStallDuration = 1'000 * kSecond;
  if (disk_state == DiskState::kSlow) system.max_write_time = 600'000;
  const std::size_t hanging = disk_state == DiskState::kOneHangs      ? 1
                              : disk_state == DiskState::kQuorumHangs ? system.controls() / 2 + 1
                                                                      : 0;
  for (std::size_t i = 0; i < hanging; ++i)
    system.StallDisk((leader + i) % system.controls(), kStallDuration);
}

// Returns the sorted latencies of reads at all processes in turn. A failed read counts as kCallTimeout, 1 s.
std::vector<Micros> ReadLatencies(std::size_t controls, DiskState disk_state) {
  std::vector<Micros> latencies;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    VirtualSystem system(controls, 1, seed);
    system.call_timeout = kCallTimeout;
    ApplyDiskState(system, ConfigureAndFindLeader(system), disk_state);
    system.Run(kSecond / 2);
    for (int read = 0; read < kReadsPerSeed; ++read) {
      const Micros started_at = system.now();
      auto latency = std::make_shared<Micros>(0);
      system.CallPublic(static_cast<std::size_t>(read) % controls, "GET", "/api/configuration", "", 0,
                        [&system, latency, started_at](int status, const std::string&) {
                          *latency = status == kOk ? system.now() - started_at : kCallTimeout;
                        });
      system.RunUntil([&] { return *latency > 0; }, 2 * kCallTimeout);
      latencies.push_back(*latency);
      system.Run(kSecond / 7);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

}  // namespace

TEST_CASE("Reads complete before the client timeout, also with slow or hanging disks") {
  for (const std::size_t controls : {3, 5})
    for (const NamedDiskState& state : kStates) {
      const std::vector<Micros> latencies = ReadLatencies(controls, state.disk_state);
      char line[120];
      std::snprintf(line, sizeof line, "%zu processes, disks: %s: median %.2f s, worst %.2f s", controls,
                    state.name, static_cast<double>(latencies[latencies.size() / 2]) / kSecond,
                    static_cast<double>(latencies.back()) / kSecond);
      WARN(line);
      CHECK(latencies.back() < kCallTimeout);
    }
}

}  // namespace violetwing
