// Announcements of leaving under drawn faults of control processes, in series and overlapping: how long after
// its acknowledgement a sidecar still counts a server as ready. DEPARTURE_SEEDS sets how many lives are
// drawn.
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
constexpr std::size_t kTolerated = 2;
constexpr std::size_t kSidecars = 5;
constexpr std::size_t kServers = 16;
constexpr Micros kFaultsFor = 9 * kSecond;
// The users' bounds: requests may reach a server for so long after its acknowledgement, and sidecars are
// judged once control has been stable for so long. The least `drain_ms` of their deployments, less the 0.7 s
// that a connection may take.
constexpr Micros kDrainBound = 2'000'000 - 700'000;
constexpr Micros kStableAfter = 5 * kSecond;

int Seeds() {
  const char* set = std::getenv("DEPARTURE_SEEDS");
  return set == nullptr ? 12 : std::atoi(set);
}

// One life: servers leave one after the other while control processes end, stand still, are cut off or have
// hanging disks.
class Life {
 public:
  explicit Life(std::uint64_t seed) : system_(kControls, kSidecars, seed), random_(seed) {
    for (std::size_t i = 0; i < kServers; ++i) {
      const std::string name = std::to_string(i);
      servers_.emplace_back(system_, "i-" + name, "10.1.0." + name + ":80", i);
    }
  }

  void Play() {
    Configure();
    RunFor(5 * kSecond);
    REQUIRE(ReadyAt(0) == kServers);
    for (const Micros until = system_.now() + kFaultsFor; system_.now() < until;) {
      BeginFault();
      servers_[next_to_leave_++ % kServers].Drain();
      RunFor(100'000 + Draw(600'000));
    }
    RunFor(2 * kStableAfter);
  }

  int late() const { return late_; }
  Micros longest() const { return longest_; }
  int acknowledged() const {
    return static_cast<int>(std::count_if(servers_.begin(), servers_.end(),
                                          [](const auto& server) { return server.drain_acknowledged(); }));
  }
  int announced() const {
    return static_cast<int>(std::count_if(servers_.begin(), servers_.end(),
                                          [](const auto& server) { return server.draining(); }));
  }

 private:
  Micros Draw(Micros bound) { return static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(bound))); }

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
      for (AnnouncingServer& server : servers_) server.Turn();
      system_.Run(VirtualSystem::kStep);
      EndFaults();
      if (system_.now() % 100'000 == 0) Look();
    }
  }

  // A fault of a machine that has none, as long as no more than the tolerated number have one.
  void BeginFault() {
    const auto machine = static_cast<std::size_t>(Draw(kControls));
    if (faulty_.size() >= kTolerated || faulty_.count(machine) > 0) return;
    faulty_.insert(machine);
    const Micros span = 200'000 + Draw(3 * kSecond);
    last_fault_at_ = system_.now() + span;
    switch (Draw(4)) {
      case 0:
        system_.Kill(machine);
        return EndAfter(span, machine, [this, machine] { system_.Start(machine); });
      case 1:
        system_.Freeze(machine, span);
        return EndAfter(span, machine, [] {});
      case 2:
        system_.StallDisk(machine, span);
        return EndAfter(span, machine, [] {});
      default:
        system_.IsolateFromPeers(machine);
        return EndAfter(span, machine, [this] { system_.Heal(); });
    }
  }

  struct FaultEnd {
    Micros at = 0;
    std::size_t machine = 0;
    std::function<void()> act;
  };
  void EndAfter(Micros span, std::size_t machine, std::function<void()> act) {
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

  // Which sidecars still count a server as ready that was acknowledged to leave.
  void Look() {
    for (std::size_t i = 0; i < system_.sidecars(); ++i) {
      const DirectoryPtr directory = system_.sidecar(i).view->MakeDirectory();
      for (const AnnouncingServer& server : servers_) Look(*directory, server);
    }
  }
  void Look(const Directory& directory, const AnnouncingServer& server) {
    if (!server.acknowledged_at()) return;
    const Instance* known = directory.Find(server.id());
    if (known == nullptr || known->phase != Phase::kReady) return;
    const Micros since = system_.now() - *server.acknowledged_at();
    longest_ = std::max(longest_, since);
    late_ += since > kDrainBound && system_.now() - last_fault_at_ > kStableAfter;
  }

  VirtualSystem system_;
  Random random_;
  std::deque<AnnouncingServer> servers_;
  std::size_t next_to_leave_ = 0;
  std::set<std::size_t> faulty_;
  std::vector<FaultEnd> ends_;
  Micros last_fault_at_ = 0;
  int late_ = 0;
  Micros longest_ = 0;
};

}  // namespace

TEST_CASE("DRAIN: under drawn faults every sidecar knows in time of an acknowledged departure") {
  Micros longest = 0;
  int acknowledged = 0;
  for (int seed = 1; seed <= Seeds(); ++seed) {
    INFO("seed " << seed);
    Life life(static_cast<std::uint64_t>(seed));
    life.Play();
    CHECK(life.late() == 0);
    CHECK(life.acknowledged() == life.announced());
    longest = std::max(longest, life.longest());
    acknowledged += life.acknowledged();
  }
  WARN(acknowledged << " departures; longest until all sidecars knew, faults included: " << longest / 1000
                    << " ms");
}

}  // namespace violetwing
