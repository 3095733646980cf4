// Duties on the virtual system: which process calls the platform, and with which reports, while processes
// crash, freeze, shut down and are partitioned, and the platform fails.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>
#include <string>
#include <utility>

#include "common/random.hpp"
#include "testing/fake_platform.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using duties::Duty;
using testing::FakePlatform;
using testing::VirtualSystem;

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kLease = 3 * kSecond;
constexpr Micros kWindow = kSecond;
constexpr Micros kDelay = 2 * kSecond;
// Maximum time for which a call can be in flight, by the time limits of the service.
constexpr Micros kMaxCallDuration = 2 * kSecond;

// Control processes whose lease holder reports usage to a fake platform.
class DutySimulation {
 public:
  DutySimulation(std::size_t controls, std::uint64_t seed, Micros lease = kLease)
      : system(controls, 1, seed, {true, lease / kMs, kWindow / kMs, kDelay / kMs}),
        platform(lease),
        random(seed, "duties") {
    system.on_platform_call = [this](std::size_t control, const duties::PlatformCall& call, auto done) {
      const Micros delay = random.Uniform() < delay_probability ? RandomDuration(kMaxCallDuration) : kMs;
      system.After(delay, [this, control, call, done] {
        const int status = platform.HandleCall(control, call, system.now());
        if (random.Uniform() < answer_loss_probability) return system.After(kSecond, [done] { done(0); });
        done(status);
      });
    };
  }

  // Returns a random duration from 1 us to `max`.
  Micros RandomDuration(Micros max) {
    return 1 + static_cast<Micros>(random.Below(static_cast<std::uint64_t>(max)));
  }

  // Counts a request at a sidecar, which then sends its cumulative counts to all control processes.
  void CountRequest(const std::string& tenant) { CountRequestInWindow(system.now() / kWindow, tenant); }
  void CountRequestInWindow(std::int64_t window, const std::string& tenant) {
    ++counts_[{window, tenant}];
    UsageReport report{"edge/1", {}};
    for (const auto& [key, count] : counts_) report.counts.push_back({key.first, key.second, count});
    for (std::size_t i = 0; i < system.controls(); ++i)
      if (system.IsRunning(i))
        system.CallWatch(
            i, [](int, const std::string&) {}, report);
  }
  void RunRequests(Micros span) {
    for (const Micros until = system.now() + span; system.now() < until;) {
      CountRequest("t" + std::to_string(random.Below(3)));
      system.Run(200 * kMs);
    }
  }
  // Returns the process whose call arrived last.
  std::size_t LatestCaller() { return platform.arrivals(Duty::kUsage).back().holder; }
  bool AwaitCall(Micros timeout) {
    const std::size_t before = platform.arrivals(Duty::kUsage).size();
    return system.RunUntil([&] { return platform.arrivals(Duty::kUsage).size() > before; }, timeout);
  }

  VirtualSystem system;
  FakePlatform platform;
  Random random;
  double delay_probability = 0;
  double answer_loss_probability = 0;
  std::set<std::size_t> shutting_down;  // processes that are powered off at the next recovery

 private:
  std::map<std::pair<std::int64_t, std::string>, std::uint64_t> counts_;
};

std::uint64_t ScheduleCount() {
  const char* text = std::getenv("DUTY_SCHEDULES");
  return text == nullptr ? 60 : std::strtoull(text, nullptr, 10);
}

// Injects one of the faults of the users' test days into a random process.
void InjectFault(DutySimulation& simulation) {
  VirtualSystem& system = simulation.system;
  const std::size_t i =
      simulation.random.Uniform() < 0.6 && !simulation.platform.arrivals(Duty::kUsage).empty()
          ? simulation.LatestCaller()
          : simulation.random.Below(system.controls());
  switch (simulation.random.Below(6)) {
    case 0:
      if (system.IsRunning(i)) system.Kill(i);
      break;
    case 1:
      system.Freeze(i, simulation.RandomDuration(4 * kSecond));
      break;
    case 2:
      system.Isolate(i);
      break;
    case 3:
      system.IsolateFromPeers(i);
      break;
    case 4:
      if (!system.IsRunning(i)) break;
      system.BeginShutdown(i);
      simulation.shutting_down.insert(i);
      break;
    default:
      simulation.platform.down = true;
  }
}

void Recover(DutySimulation& simulation) {
  simulation.system.Heal();
  simulation.platform.down = false;
  for (const std::size_t i : std::exchange(simulation.shutting_down, {})) simulation.system.PowerOff(i);
  for (std::size_t i = 0; i < simulation.system.controls(); ++i)
    if (!simulation.system.IsRunning(i)) simulation.system.Start(i);
}

void RunWithRandomFaults(DutySimulation& simulation) {
  simulation.delay_probability = 0.1;
  simulation.answer_loss_probability = 0.3;
  simulation.system.Run(6 * kSecond);
  for (int round = 0; round < 6; ++round) {
    simulation.RunRequests(simulation.RandomDuration(2 * kSecond));
    InjectFault(simulation);
    simulation.RunRequests(simulation.RandomDuration(3 * kSecond));
    Recover(simulation);
  }
  simulation.answer_loss_probability = 0;
  simulation.system.Run(15 * kSecond);
}

}  // namespace

TEST_CASE("Duties: usage is reported once for each window, with all counts") {
  DutySimulation simulation(3, 1);
  simulation.system.Run(6 * kSecond);
  simulation.RunRequests(5 * kSecond);
  simulation.system.Run(6 * kSecond);
  CHECK(simulation.platform.usage().size() >= 5);
  std::uint64_t total = 0;
  for (const auto& [window, counts] : simulation.platform.usage())
    for (const auto& [tenant, count] : counts.items()) total += count.get<std::uint64_t>();
  CHECK(total == 25);
  CHECK(simulation.platform.arrivals(Duty::kUsage).size() == simulation.platform.usage().size());
  CHECK(simulation.platform.violations().empty());
}

TEST_CASE(
    "Duties: if a holder crashes before it receives the answer, its successor repeats the same report") {
  DutySimulation simulation(5, 3);
  simulation.answer_loss_probability = 1;
  simulation.system.Run(6 * kSecond);
  simulation.RunRequests(2 * kSecond);
  REQUIRE(simulation.AwaitCall(5 * kSecond));
  const std::size_t first_holder = simulation.LatestCaller();
  const auto reported = simulation.platform.usage();
  simulation.system.Kill(first_holder);
  simulation.CountRequestInWindow(reported.begin()->first, "late");
  simulation.answer_loss_probability = 0;
  REQUIRE(simulation.system.RunUntil([&] { return simulation.LatestCaller() != first_holder; }, 8 * kSecond));
  simulation.system.Run(2 * kSecond);
  for (const auto& [window, counts] : reported) CHECK(simulation.platform.usage().at(window) == counts);
  CHECK(simulation.platform.violations().empty());
}

TEST_CASE("Duties: a new holder waits until the last call of the holder that resigned can have arrived") {
  DutySimulation simulation(3, 5);
  simulation.platform.down = true;  // so that the holder keeps retrying its call
  simulation.system.Run(6 * kSecond);
  simulation.RunRequests(2 * kSecond);
  REQUIRE(simulation.AwaitCall(5 * kSecond));
  const std::size_t first_holder = simulation.LatestCaller();
  simulation.system.BeginShutdown(first_holder);
  const Micros resigned_at = simulation.system.now();
  simulation.system.Run(300 * kMs);
  simulation.system.PowerOff(first_holder);
  REQUIRE(simulation.system.RunUntil([&] { return simulation.LatestCaller() != first_holder; }, 8 * kSecond));
  CHECK(simulation.system.now() - resigned_at >= kMaxCallDuration);
  CHECK(simulation.system.now() - resigned_at < kLease + 2 * kSecond);
  CHECK(simulation.platform.violations().empty());
}

TEST_CASE("Duties: a process that has lost the placement lease has no due order") {
  DutySimulation simulation(3, 11);
  std::size_t placer = 0;
  // The server answers no report request, so that another one is always due.
  simulation.system.on_report_request = [&](std::size_t control, const PlacementCall& call) {
    placer = control;
    simulation.system.After(kMs, [&simulation, control, id = call.instance] {
      simulation.system.control(control).core->OnServerReport(id, std::nullopt, simulation.system.now());
    });
  };
  const auto call = [&](const std::string& method, const std::string& path, const nlohmann::json& body) {
    for (std::size_t i = 0; i < simulation.system.controls(); ++i)
      simulation.system.CallPublic(i, method, path, body.dump(), 0, [](int, const std::string&) {});
  };
  simulation.system.Run(2 * kSecond);
  const nlohmann::json model{{"name", "m"}, {"weights_mb", 1}, {"load_time_s", 1}};
  const nlohmann::json runtime{{"weights_mb", 10}, {"models", {model}}};
  call("PUT", "/api/configuration",
       {{"version", 1},
        {"routes", nlohmann::json::array()},
        {"backends", {{{"name", "s"}, {"runtime", runtime}}}}});
  nlohmann::json server{{"backend", "s"}, {"address", "10.1.0.1:80"}, {"sequence", 1}};
  const auto has_due_order = [&](std::size_t i) {
    return simulation.system.control(i).core->NextOrderAt().has_value();
  };
  REQUIRE(simulation.system.RunUntil(
      [&] {
        server["sequence"] = simulation.system.now();
        call("PUT", "/api/instances/i-1", server);
        return has_due_order(placer);
      },
      10 * kSecond));
  const std::size_t first_holder = placer;
  simulation.system.Freeze(first_holder, 2 * kSecond);
  simulation.system.Run(3 * kSecond);
  CHECK_FALSE(simulation.system.control(first_holder).core->Grant(Duty::kPlacement, simulation.system.now()));
  CHECK_FALSE(has_due_order(first_holder));
}

TEST_CASE("Duties: windows follow the median of the clocks while one clock jumps") {
  DutySimulation simulation(3, 9);
  simulation.system.Run(6 * kSecond);
  simulation.system.clock_errors[0] = 7 * kSecond;
  simulation.RunRequests(3 * kSecond);
  simulation.system.clock_errors[0] = 0;
  simulation.system.clock_errors[1] = -5 * kSecond;
  simulation.RunRequests(3 * kSecond);
  simulation.system.Run(6 * kSecond);
  std::uint64_t total = 0;
  for (const auto& [window, counts] : simulation.platform.usage())
    for (const auto& [tenant, count] : counts.items()) total += count.get<std::uint64_t>();
  CHECK(total == 30);
  CHECK(simulation.platform.violations().empty());
}

TEST_CASE(
    "Random schedules of duties: holders never alternate within a lease, and repeated reports are equal") {
  std::size_t calls = 0;
  std::size_t windows = 0;
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    INFO("seed " << seed);
    DutySimulation simulation(seed % 2 == 0 ? 5 : 3, seed);
    RunWithRandomFaults(simulation);
    INFO((simulation.platform.violations().empty() ? std::string()
                                                   : simulation.platform.violations().front()));
    CHECK(simulation.platform.violations().empty());
    CHECK(simulation.system.violations().empty());
    CHECK(simulation.platform.usage().size() >= 4);
    calls += simulation.platform.arrivals(Duty::kUsage).size();
    windows += simulation.platform.usage().size();
  }
  WARN("calls to the platform " << calls << ", windows reported " << windows);
}

TEST_CASE(
    "Random schedules of duties: holders never alternate within a lease that is longer than a failover") {
  constexpr Micros kLongLease = 12 * kSecond;
  for (std::uint64_t seed = 1; seed <= ScheduleCount() / 2; ++seed) {
    INFO("seed " << seed);
    DutySimulation simulation(3, seed, kLongLease);
    simulation.platform.down = true;  // so that holders call as often as they are allowed to
    simulation.system.Run(kLongLease);
    RunWithRandomFaults(simulation);
    INFO((simulation.platform.violations().empty() ? std::string()
                                                   : simulation.platform.violations().front()));
    CHECK(simulation.platform.violations().empty());
    CHECK_FALSE(simulation.platform.arrivals(Duty::kUsage).empty());
  }
}

}  // namespace violetwing
