// How long a linearizable read of the configuration takes, by the state of the disks.
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
constexpr Micros kCallerWaits = kSecond;

enum class Disks { kSound, kSlow, kOneHangs, kQuorumHangs };

struct NamedDisks {
  Disks disks;
  const char* name;
};
constexpr NamedDisks kStates[] = {{Disks::kSound, "sound"},
                                  {Disks::kSlow, "up to 0.6 s a write"},
                                  {Disks::kOneHangs, "one hangs, or is full"},
                                  {Disks::kQuorumHangs, "a quorum hangs, or is full"}};

std::size_t ConfiguredLeader(VirtualSystem& system) {
  bool taken = false;
  for (std::size_t at = 0; !taken; ++at) {
    system.CallPublic(at % system.controls(), "PUT", "/api/configuration", Document(1), 0,
                      [&](int status, const std::string&) { taken = taken || status == kOk; });
    system.Run(kSecond);
  }
  std::size_t leader = 0;
  while (!system.control(leader).core->shards().configuration_replica().leader()) ++leader;
  return leader;
}

// The leader's disk is among those that hang.
void Disturb(VirtualSystem& system, std::size_t leader, Disks disks) {
  constexpr Micros kLong = 1'000 * kSecond;
  if (disks == Disks::kSlow) system.max_write_time = 600'000;
  const std::size_t hanging = disks == Disks::kOneHangs      ? 1
                              : disks == Disks::kQuorumHangs ? system.controls() / 2 + 1
                                                             : 0;
  for (std::size_t i = 0; i < hanging; ++i) system.StallDisk((leader + i) % system.controls(), kLong);
}

// The times of reads at all processes in turn; a read that was not answered counts as one second.
std::vector<Micros> ReadTimes(std::size_t controls, Disks disks) {
  std::vector<Micros> times;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    VirtualSystem system(controls, 1, seed);
    system.call_timeout = kCallerWaits;
    Disturb(system, ConfiguredLeader(system), disks);
    system.Run(kSecond / 2);
    for (int read = 0; read < kReadsPerSeed; ++read) {
      const Micros from = system.now();
      auto time = std::make_shared<Micros>(0);
      system.CallPublic(static_cast<std::size_t>(read) % controls, "GET", "/api/configuration", "", 0,
                        [&system, time, from](int status, const std::string&) {
                          *time = status == kOk ? system.now() - from : kCallerWaits;
                        });
      system.RunUntil([&] { return *time > 0; }, 2 * kCallerWaits);
      times.push_back(*time);
      system.Run(kSecond / 7);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

}  // namespace

TEST_CASE("A read is answered before its caller gives up, whatever the disks do") {
  for (const std::size_t controls : {3, 5})
    for (const NamedDisks& state : kStates) {
      const std::vector<Micros> times = ReadTimes(controls, state.disks);
      char line[120];
      std::snprintf(line, sizeof line, "%zu processes, disks: %s: median %.2f s, worst %.2f s", controls,
                    state.name, static_cast<double>(times[times.size() / 2]) / kSecond,
                    static_cast<double>(times.back()) / kSecond);
      WARN(line);
      CHECK(times.back() < kCallerWaits);
    }
}

}  // namespace violetwing
