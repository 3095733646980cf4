// The fault scenarios ("days") that users ask about most, on the virtual system. docs/consensus.md says what
// holds in each, and why. A second loss after a repair is in membership_test.cpp.
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/configuration_document.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using nlohmann::json;
using testing::Document;
using testing::VirtualSystem;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kCallerWaits = kSecond;  // for an answer, before it goes elsewhere
constexpr int kSilent = 0;                // status of a call without an answer

struct Called {
  int status = -1;
  std::string body;
  Micros took = 0;
};

class Day {
 public:
  explicit Day(std::size_t controls = 3, std::uint64_t seed = 1) : system(controls, 1, seed) {}

  Called Wait(const std::function<void(std::function<void(int, const std::string&)>)>& call) {
    const auto called = std::make_shared<Called>();
    const Micros from = system.now();
    const Micros call_timeout =
        std::exchange(system.call_timeout, std::max(system.call_timeout, kCallerWaits));
    call([called, from, this](int status, const std::string& body) {
      *called = {status, body, system.now() - from};
    });
    system.call_timeout = call_timeout;
    system.RunUntil([&] { return called->status >= 0; }, 3 * kSecond);
    return *called;
  }
  Called Put(std::size_t at, std::int64_t base, const std::string& document) {
    return Wait([&](auto done) { system.CallPublic(at, "PUT", "/api/configuration", document, base, done); });
  }
  Called Read(std::size_t at) {
    return Wait([&](auto done) { system.CallPublic(at, "GET", "/api/configuration", "", 0, done); });
  }
  Called Watch(std::size_t at) {
    return Wait([&](auto done) { system.CallWatch(at, done); });
  }
  Called Heartbeat(std::size_t at, const std::string& phase) {
    const json body{
        {"backend", "s"}, {"address", "10.1.0.1:80"}, {"phase", phase}, {"sequence", ++sequence_}};
    return Wait([&](auto done) { system.CallPublic(at, "PUT", "/api/instances/i-1", body.dump(), 0, done); });
  }
  // Until it is taken, at one process after the other.
  void Configure(std::int64_t base, const std::string& document, std::size_t first = 0) {
    for (std::size_t i = 0; i < 30; ++i) {
      const int status = Put((first + i) % system.controls(), base, document).status;
      if (status == 200) return;
      REQUIRE((status == kSilent || status == 503));
      system.Run(kSecond / 10);
    }
    FAIL("not taken");
  }
  std::size_t Leader() {
    for (std::size_t i = 0; i < system.controls(); ++i)
      if (system.IsRunning(i) &&
          system.control(i).core->shards().configuration_replica().HasLease(system.now()))
        return i;
    return system.controls();
  }

  VirtualSystem system;

 private:
  std::int64_t sequence_ = 0;
};

std::int64_t VersionOf(const Called& read) {
  return json::parse(read.body).at("version").get<std::int64_t>();
}

}  // namespace

// How long a proof of contact may count: a follower's, and then a leader's lease on which it stood.
constexpr Micros kProofCounts = 900'000;

TEST_CASE("Day 1: a process partitioned for 20 s returns nothing stale, acknowledges and rejects nothing") {
  for (const bool leader : {true, false}) {
    INFO((leader ? "the leader" : "a follower"));
    Day day;
    day.Configure(0, Document(1));
    const std::size_t cut = leader ? day.Leader() : (day.Leader() + 1) % 3;
    day.system.IsolateFromPeers(cut);
    day.system.Run(kProofCounts);
    const Micros until = day.system.now() + 20 * kSecond;
    std::int64_t version = 1;
    while (day.system.now() < until) {
      day.Configure(version, Document(version + 1), (cut + 1) % 3);
      ++version;
      // An order that builds on what it last knew would be refused, or confirmed, by one that decides alone.
      for (const std::int64_t base : {std::int64_t{1}, version})
        CHECK((day.Put(cut, base, Document(version + 7)).status == 503));
      CHECK(day.Read(cut).status == 503);
      CHECK(day.Watch(cut).status == 503);
      CHECK(day.Heartbeat(cut, "ready").status == 503);
      CHECK(day.Heartbeat(cut, "draining").status == 503);
    }
    // By now it refuses at once.
    CHECK(day.Put(cut, version, Document(version + 7)).took < kSecond / 10);
    CHECK(day.Read(cut).took < kSecond / 10);
    day.system.Heal();
    day.system.Run(2 * kSecond);
    const Called read = day.Read(cut);
    CHECK(read.status == 200);
    CHECK(VersionOf(read) == version);
    CHECK(day.Watch(cut).status == 200);
    CHECK(day.system.violations().empty());
  }
}

TEST_CASE("Day 1: a process suspended for 20 s answers by messages received after it resumed alone") {
  for (std::size_t frozen = 0; frozen < 3; ++frozen) {
    Day day;
    day.Configure(0, Document(1));
    day.system.Run(kSecond);
    day.system.Freeze(frozen, 20 * kSecond);
    day.system.Run(kSecond / 2);
    for (std::size_t i = 0; i < 3; ++i)
      if (i != frozen) day.system.PowerOff(i);  // what they sent lies unread there
    day.system.call_timeout = 30 * kSecond;
    const Called pull = day.Wait([&](auto done) {
      day.system.CallWatch(frozen, done);
      day.system.Run(20 * kSecond);
    });
    CHECK(pull.status == 503);
  }
}

TEST_CASE(
    "Day 2: of two changes under one version one is acknowledged, also after a lost answer and later "
    "changes") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Day day(seed % 2 == 0 ? 3 : 5, seed);
    day.Configure(0, Document(1));
    const std::size_t leader = day.Leader();
    const std::string one = Document(2, 1100);
    const std::string other = Document(2, 1200);
    // Both at the same moment; the leader ends before anyone has an answer.
    day.system.CallPublic(leader, "PUT", "/api/configuration", one, 1, [](int, const std::string&) {});
    day.system.CallPublic((leader + 1) % 3, "PUT", "/api/configuration", other, 1,
                          [](int, const std::string&) {});
    day.system.Run(static_cast<Micros>(seed) * VirtualSystem::kStep / 2);
    day.system.PowerOff(leader);
    day.system.Run(2 * kSecond);
    day.system.Start(leader);
    const auto settle = [&](const std::string& document, std::size_t first) {
      int status = 503;
      for (std::size_t i = 0; status == 503 || status == kSilent; ++i) {
        status = day.Put((first + i) % day.system.controls(), 1, document).status;
        day.system.Run(kSecond / 10);
      }
      return status;
    };
    const int first = settle(one, leader);
    const int second = settle(other, leader + 1);
    CHECK(first + second == 200 + 412);
    for (std::int64_t version = 2; version < 300; ++version) day.Configure(version, Document(version + 1));
    for (std::size_t at = 0; at < day.system.controls(); ++at) {
      CHECK(settle(one, at) == first);
      CHECK(settle(other, at) == second);
    }
  }
}

TEST_CASE(
    "Day 4: a process that was down for 300 changes catches up within seconds, and leads by the newest") {
  constexpr Micros kLevelWithin = 2 * kSecond;
  constexpr int kRoutes = 600;  // 68 kB: a snapshot of several messages, taken with every eighth change
  Day day;
  day.Configure(0, Document(1, 1000, kRoutes));
  const std::size_t behind = (day.Leader() + 1) % 3;
  day.system.PowerOff(behind);
  std::int64_t version = 1;
  for (; version < 300; ++version) day.Configure(version, Document(version + 1, 1000, kRoutes), behind + 1);
  day.system.Start(behind);
  const Micros started = day.system.now();
  const auto level = [&] { return day.system.control(behind).core->configuration().version() == version; };
  CHECK(day.system.RunUntil(level, kLevelWithin));
  INFO("level after " << (day.system.now() - started) / 1000 << " ms");
  // The only one that has all along been in touch ends: this one and the other go on from the newest.
  day.system.Run(kSecond);
  day.system.PowerOff(day.Leader());
  day.Configure(version, Document(version + 1), behind);
  CHECK(VersionOf(day.Read(behind)) == version + 1);
  CHECK(day.system.violations().empty());
}

TEST_CASE("A change is acknowledged within half a second of the moment at which the leader is told to end") {
  constexpr Micros kAcknowledgedWithin = kSecond / 2;
  constexpr Micros kShutdownGrace = 300'000;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Day day(seed % 2 == 0 ? 3 : 5, seed);
    day.Configure(0, Document(1));
    day.system.Run(6 * kSecond + static_cast<Micros>(seed) * kSecond / 7);
    const std::size_t leader = day.Leader();
    const Micros from = day.system.now();
    day.system.BeginShutdown(leader);
    day.system.After(kShutdownGrace, [&day, leader] { day.system.PowerOff(leader); });
    day.Configure(1, Document(2), leader + 1);
    CHECK(day.system.now() - from < kAcknowledgedWithin);
    CHECK(day.system.violations().empty());
  }
}

// Each document is hundreds of kB at the larger deployments, to a hundred sidecars.
TEST_CASE("Day 4: of changes in quick succession a sidecar is sent the last, four a second at most") {
  constexpr int kChanges = 36;
  constexpr Micros kGap = kSecond / 12;
  Day day;
  day.Configure(0, Document(1));
  day.system.Run(kSecond);
  int documents = 0;
  day.system.tamper = [&](testing::WireMessage& message) {
    if (message.path != kWatchPath || !message.is_response) return;
    const auto answer = Decode<WatchReply>(message.body);
    documents += answer && !answer->configuration_document.empty();
  };
  const Micros from = day.system.now();
  std::int64_t version = 1;
  for (; version <= kChanges; ++version) {
    day.Configure(version, Document(version + 1));
    day.system.Run(std::max<Micros>(from + version * kGap - day.system.now(), 0));
  }
  const auto in_force = [&] { return day.system.sidecar(0).view->version() == version; };
  CHECK(day.system.RunUntil(in_force, 400'000));
  const auto seconds = static_cast<double>(day.system.now() - from) / kSecond;
  CHECK(documents <= static_cast<int>(4 * seconds) + 2);
  CHECK(documents >= 4);
}

}  // namespace violetwing
