// Departures of servers under random faults of control processes, both consecutive and overlapping: for how
// long after the acknowledgment of a departure a sidecar still counts the server as ready. DEPARTURE_SEEDS
// sets the number of simulations.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>
#include <set>
#include <string>

#include "testing/announcing_server.hpp"
#include "testing/configuration_document.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using testing::AnnouncingServer;
using testing::VirtualSystem;

constexpr Micros kSecond = 1'000'000;
constexpr std::size_t kControls = 5;
constexpr std::size_t kToleratedFaults = 2;
constexpr std::size_t kSidecars = 5;
constexpr std::size_t kServers = 16;
constexpr Micros kFaultPeriod = 9 * kSecond;
// A bound of the users: for this time after the acknowledgment of its departure, requests may still reach a
// server. The smallest `drain_ms` of their deployments, less the 0.7 s that a connection may take.
constexpr Micros kDrainBound = 2'000'000 - 700'000;
// Likewise: sidecars have to meet the bound once no control process has had a fault for this time.
constexpr Micros kStableAfter = 5 * kSecond;

int SeedCount() {
  const char* value = std::getenv("DEPARTURE_SEEDS");
  return value == nullptr ? 12 : std::atoi(value);
}

// One simulation: servers announce their departure one after the other while control processes end, freeze,
// are partitioned or have stalled disks.
class DepartureSimulation {
 public:
  explicit DepartureSimulation(std::uint64_t seed) : system_(kControls, kSidecars, seed), random_(seed) {
    for (std::size_t i = 0; i < kServers; ++i) {
      const std::string name = std::to_string(i);
      servers_.emplace_back(system_, "i-" + name, "10.1.0." + name + ":80", i);
    }
  }

  void Run() {
    Configure();
    RunFor(5 * kSecond);
    REQUIRE(ReadyAt(0) == kServers);
    for (const Micros until = system_.now() + kFaultPeriod; system_.now() < until;) {
      BeginFault();
      servers_[next_departure_++ % kServers].Drain();
      RunFor(100'000 + RandomBelow(600'000));
    }
    RunFor(2 * kStableAfter);
  }

  int late_observations() const { return late_observations_; }
  Micros longest_delay() const { return longest_delay_; }
  int acknowledged() const {
    return static_cast<int>(std::count_if(servers_.begin(), servers_.end(),
                                          [](const auto& server) { return server.drain_acknowledged(); }));
  }
  int announced() const {
    return static_cast<int>(std::count_if(servers_.begin(), servers_.end(),
                                          [](const auto& server) { return server.draining(); }));
  }

 private:
  Micros RandomBelow(Micros bound) {
    return static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(bound)));
  }

  void Configure() {
    bool answered = false;
    RunFor(2 * kSecond);
    system_.CallPublic(0, "PUT", "/api/configuration", testing::Document(1, 1000, 0), 0,
                       [&](int status, const std::string&) { answered = status == 200; });
    RunFor(kSecond);
    REQUIRE(answered);
  }

  void RunFor(Micros span) {
    for (const Micros until = system_.now() + span; system_.now() < until;) {
      for (AnnouncingServer& server : servers_) server.Step();
      system_.Run(VirtualSystem::kStep);
      EndFaults();
      if (system_.now() % 100'000 == 0) ObserveSidecars();
    }
  }

  // Begins a fault of a random machine, unless that machine already has a fault or the tolerated number of
  // machines have.
  void BeginFault() {
    const auto machine = static_cast<std::size_t>(RandomBelow(kControls));
    if (faulty_.size() >= kToleratedFaults || faulty_.count(machine) > 0) return;
    faulty_.insert(machine);
    const Micros span = 200'000 + RandomBelow(3 * kSecond);
    last_fault_at_ = system_.now() + span;
    switch (RandomBelow(4)) {
      case 0:
        system_.Kill(machine);
        return EndFaultAfter(span, machine, [this, machine] { system_.Start(machine); });
      case 1:
        system_.Freeze(machine, span);
        return EndFaultAfter(span, machine, [] {});
      case 2:
        system_.StallDisk(machine, span);
        return EndFaultAfter(span, machine, [] {});
      default:
        system_.IsolateFromPeers(machine);
        return EndFaultAfter(span, machine, [this] { system_.Heal(); });
    }
  }

  struct FaultEnd {
    Micros at = 0;
    std::size_t machine = 0;
    std::function<void()> act;
  };
  void EndFaultAfter(Micros span, std::size_t machine, std::function<void()> act) {
    ends_.push_back({system_.now() + span, machine, std::move(act)});
  }
  void EndFaults() {
    std::erase_if(ends_, [this](const FaultEnd& end) {
      if (system_.now() < end.at) return false;
      end.act();
      faulty_.erase(end.machine);
      last_fault_at_ = std::max(last_fault_at_, system_.now());
      return true;
    });
  }

  std::size_t ReadyAt(std::size_t sidecar) {
    return system_.sidecar(sidecar).view->MakeDirectory()->Servers("s").size();
  }

  // Finds the sidecars that still count a server as ready after its departure was acknowledged.
  void ObserveSidecars() {
    for (std::size_t i = 0; i < system_.sidecars(); ++i) {
      const DirectoryPtr directory = system_.sidecar(i).view->MakeDirectory();
      for (const AnnouncingServer& server : servers_) ObserveServer(*directory, server);
    }
  }
  void ObserveServer(const Directory& directory, const AnnouncingServer& server) {
    if (!server.acknowledged_at()) return;
    const Instance* known = directory.Find(server.id());
    if (known == nullptr || known->phase != Phase::kReady) return;
    const Micros delay = system_.now() - *server.acknowledged_at();
    longest_delay_ = std::max(longest_delay_, delay);
    late_observations_ += delay > kDrainBound && system_.now() - last_fault_at_ > kStableAfter;
  }

  VirtualSystem system_;
  Random random_;
  std::deque<AnnouncingServer> servers_;
  std::size_t next_departure_ = 0;
  std::set<std::size_t> faulty_;
  std::vector<FaultEnd> ends_;
  Micros last_fault_at_ = 0;
  int late_observations_ = 0;
  Micros longest_delay_ = 0;
};

}  // namespace

TEST_CASE("DRAIN: under random faults every sidecar learns of an acknowledged departure in time") {
  Micros longest = 0;
  int acknowledged = 0;
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    INFO("seed " << seed);
    DepartureSimulation simulation(static_cast<std::uint64_t>(seed));
    simulation.Run();
    CHECK(simulation.late_observations() == 0);
    CHECK(simulation.acknowledged() == simulation.announced());
    longest = std::max(longest, simulation.longest_delay());
    acknowledged += simulation.acknowledged();
  }
  WARN(acknowledged << " departures; longest delay until all sidecars knew, during faults too: "
                    << longest / 1000 << " ms");
}

}  // namespace violetwing
