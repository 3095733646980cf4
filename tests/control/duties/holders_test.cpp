// Duties on the virtual system: who calls the platform, and with what, while processes end, freeze and are
// cut off, and the platform fails.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>
#include <string>
#include <utility>

#include "common/random.hpp"
#include "testing/stand_in_platform.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using duties::Duty;
using testing::StandInPlatform;
using testing::VirtualSystem;

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kLease = 3 * kSecond;
constexpr Micros kWindow = kSecond;
constexpr Micros kDelay = 2 * kSecond;
// The longest time that a call may be on its way, by the time limits of the service.
constexpr Micros kLongestCall = 2 * kSecond;

// Control processes whose holder reports usage to a stand-in of the platform.
class DutyDay {
 public:
  DutyDay(std::size_t controls, std::uint64_t seed, Micros lease = kLease)
      : system(controls, 1, seed, {true, lease / kMs, kWindow / kMs, kDelay / kMs}),
        platform(lease),
        random(seed, "duties") {
    system.on_platform_call = [this](std::size_t control, const duties::PlatformCall& call, auto done) {
      const Micros delay = random.Uniform() < late_share ? Drawn(kLongestCall) : kMs;
      system.After(delay, [this, control, call, done] {
        const int status = platform.Take(control, call, system.now());
        if (random.Uniform() < lost_share) return system.After(kSecond, [done] { done(0); });
        done(status);
      });
    };
  }

  Micros Drawn(Micros most) {
    return 1 + static_cast<Micros>(random.Below(static_cast<std::uint64_t>(most)));
  }

  // A sidecar that runs requests, and repeats to all processes what it has counted.
  void Count(const std::string& tenant) { CountIn(system.now() / kWindow, tenant); }
  void CountIn(std::int64_t window, const std::string& tenant) {
    ++counts_[{window, tenant}];
    UsageReport report{"edge/1", {}};
    for (const auto& [key, count] : counts_) report.counts.push_back({key.first, key.second, count});
    for (std::size_t i = 0; i < system.controls(); ++i)
      if (system.IsRunning(i))
        system.CallWatch(
            i, [](int, const std::string&) {}, report);
  }
  void RunAndCount(Micros span) {
    for (const Micros until = system.now() + span; system.now() < until;) {
      Count("t" + std::to_string(random.Below(3)));
      system.Run(200 * kMs);
    }
  }
  // The process whose call has arrived last.
  std::size_t LastHolder() { return platform.arrivals(Duty::kUsage).back().holder; }
  bool AwaitCall(Micros most) {
    const std::size_t before = platform.arrivals(Duty::kUsage).size();
    return system.RunUntil([&] { return platform.arrivals(Duty::kUsage).size() > before; }, most);
  }

  VirtualSystem system;
  StandInPlatform platform;
  Random random;
  double late_share = 0;
  double lost_share = 0;
  std::set<std::size_t> shutting_down;  // processes that end with the next recovery

 private:
  std::map<std::pair<std::int64_t, std::string>, std::uint64_t> counts_;
};

std::uint64_t Schedules() {
  const char* text = std::getenv("DUTY_SCHEDULES");
  return text == nullptr ? 60 : std::strtoull(text, nullptr, 10);
}

// One of the faults that the users' days hold, at a drawn process.
void Disturb(DutyDay& day) {
  VirtualSystem& system = day.system;
  const std::size_t i = day.random.Uniform() < 0.6 && !day.platform.arrivals(Duty::kUsage).empty()
                            ? day.LastHolder()
                            : day.random.Below(system.controls());
  switch (day.random.Below(6)) {
    case 0:
      if (system.IsRunning(i)) system.Kill(i);
      break;
    case 1:
      system.Freeze(i, day.Drawn(4 * kSecond));
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
      day.shutting_down.insert(i);
      break;
    default:
      day.platform.down = true;
  }
}

void Recover(DutyDay& day) {
  day.system.Heal();
  day.platform.down = false;
  for (const std::size_t i : std::exchange(day.shutting_down, {})) day.system.PowerOff(i);
  for (std::size_t i = 0; i < day.system.controls(); ++i)
    if (!day.system.IsRunning(i)) day.system.Start(i);
}

void PlayDrawnFaults(DutyDay& day) {
  day.late_share = 0.1;
  day.lost_share = 0.3;
  day.system.Run(6 * kSecond);
  for (int round = 0; round < 6; ++round) {
    day.RunAndCount(day.Drawn(2 * kSecond));
    Disturb(day);
    day.RunAndCount(day.Drawn(3 * kSecond));
    Recover(day);
  }
  day.lost_share = 0;
  day.system.Run(15 * kSecond);
}

}  // namespace

TEST_CASE("Duties: usage is reported once for each window, with all that was counted") {
  DutyDay day(3, 1);
  day.system.Run(6 * kSecond);
  day.RunAndCount(5 * kSecond);
  day.system.Run(6 * kSecond);
  CHECK(day.platform.usage().size() >= 5);
  std::uint64_t total = 0;
  for (const auto& [window, counts] : day.platform.usage())
    for (const auto& [tenant, count] : counts.items()) total += count.get<std::uint64_t>();
  CHECK(total == 25);
  CHECK(day.platform.arrivals(Duty::kUsage).size() == day.platform.usage().size());
  CHECK(day.platform.violations().empty());
}

TEST_CASE("Duties: the successor of a holder that ended before the answer repeats the same report") {
  DutyDay day(5, 3);
  day.lost_share = 1;
  day.system.Run(6 * kSecond);
  day.RunAndCount(2 * kSecond);
  REQUIRE(day.AwaitCall(5 * kSecond));
  const std::size_t first = day.LastHolder();
  const auto reported = day.platform.usage();
  day.system.Kill(first);
  day.CountIn(reported.begin()->first, "late");
  day.lost_share = 0;
  REQUIRE(day.system.RunUntil([&] { return day.LastHolder() != first; }, 8 * kSecond));
  day.system.Run(2 * kSecond);
  for (const auto& [window, counts] : reported) CHECK(day.platform.usage().at(window) == counts);
  CHECK(day.platform.violations().empty());
}

TEST_CASE("Duties: the next holder waits until the last call of one that resigned can have arrived") {
  DutyDay day(3, 5);
  day.platform.down = true;  // so that the holder calls again and again
  day.system.Run(6 * kSecond);
  day.RunAndCount(2 * kSecond);
  REQUIRE(day.AwaitCall(5 * kSecond));
  const std::size_t first = day.LastHolder();
  day.system.BeginShutdown(first);
  const Micros resigned_at = day.system.now();
  day.system.Run(300 * kMs);
  day.system.PowerOff(first);
  REQUIRE(day.system.RunUntil([&] { return day.LastHolder() != first; }, 8 * kSecond));
  CHECK(day.system.now() - resigned_at >= kLongestCall);
  CHECK(day.system.now() - resigned_at < kLease + 2 * kSecond);
  CHECK(day.platform.violations().empty());
}

TEST_CASE("Duties: a process that has lost the placement lease has no order due") {
  DutyDay day(3, 11);
  std::size_t placer = 0;
  // The server answers no request for its report, so that another one is always due.
  day.system.on_report_request = [&](std::size_t control, const PlacementCall& call) {
    placer = control;
    day.system.After(kMs, [&day, control, id = call.instance] {
      day.system.control(control).core->OnServerReport(id, std::nullopt, day.system.now());
    });
  };
  const auto call = [&](const std::string& method, const std::string& path, const nlohmann::json& body) {
    for (std::size_t i = 0; i < day.system.controls(); ++i)
      day.system.CallPublic(i, method, path, body.dump(), 0, [](int, const std::string&) {});
  };
  day.system.Run(2 * kSecond);
  const nlohmann::json model{{"name", "m"}, {"weights_mb", 1}, {"load_time_s", 1}};
  const nlohmann::json runtime{{"weights_mb", 10}, {"models", {model}}};
  call("PUT", "/api/configuration",
       {{"version", 1},
        {"routes", nlohmann::json::array()},
        {"backends", {{{"name", "s"}, {"runtime", runtime}}}}});
  nlohmann::json server{{"backend", "s"}, {"address", "10.1.0.1:80"}, {"sequence", 1}};
  const auto holds = [&](std::size_t i) { return day.system.control(i).core->NextOrderAt().has_value(); };
  REQUIRE(day.system.RunUntil(
      [&] {
        server["sequence"] = day.system.now();
        call("PUT", "/api/instances/i-1", server);
        return holds(placer);
      },
      10 * kSecond));
  const std::size_t first = placer;
  day.system.Freeze(first, 2 * kSecond);
  day.system.Run(3 * kSecond);
  CHECK_FALSE(day.system.control(first).core->Grant(Duty::kPlacement, day.system.now()));
  CHECK_FALSE(holds(first));
}

TEST_CASE("Duties: windows follow the median of the clocks while one of them jumps") {
  DutyDay day(3, 9);
  day.system.Run(6 * kSecond);
  day.system.clock_errors[0] = 7 * kSecond;
  day.RunAndCount(3 * kSecond);
  day.system.clock_errors[0] = 0;
  day.system.clock_errors[1] = -5 * kSecond;
  day.RunAndCount(3 * kSecond);
  day.system.Run(6 * kSecond);
  std::uint64_t total = 0;
  for (const auto& [window, counts] : day.platform.usage())
    for (const auto& [tenant, count] : counts.items()) total += count.get<std::uint64_t>();
  CHECK(total == 30);
  CHECK(day.platform.violations().empty());
}

TEST_CASE("Drawn schedules of duties: holders never take turns within a lease, and no report differs") {
  std::size_t calls = 0;
  std::size_t windows = 0;
  for (std::uint64_t seed = 1; seed <= Schedules(); ++seed) {
    INFO("seed " << seed);
    DutyDay day(seed % 2 == 0 ? 5 : 3, seed);
    PlayDrawnFaults(day);
    INFO((day.platform.violations().empty() ? std::string() : day.platform.violations().front()));
    CHECK(day.platform.violations().empty());
    CHECK(day.system.violations().empty());
    CHECK(day.platform.usage().size() >= 4);
    calls += day.platform.arrivals(Duty::kUsage).size();
    windows += day.platform.usage().size();
  }
  WARN("calls to the platform " << calls << ", windows reported " << windows);
}

TEST_CASE("Drawn schedules of duties: a lease that is longer than a change of the holder keeps them apart") {
  constexpr Micros kLongLease = 12 * kSecond;
  for (std::uint64_t seed = 1; seed <= Schedules() / 2; ++seed) {
    INFO("seed " << seed);
    DutyDay day(3, seed, kLongLease);
    day.platform.down = true;  // so that holders call as often as they may
    day.system.Run(kLongLease);
    PlayDrawnFaults(day);
    INFO((day.platform.violations().empty() ? std::string() : day.platform.violations().front()));
    CHECK(day.platform.violations().empty());
    CHECK_FALSE(day.platform.arrivals(Duty::kUsage).empty());
  }
}

}  // namespace violetwing
