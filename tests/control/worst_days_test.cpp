// The fault scenarios that users ask about most ("days" in their pages), on the virtual system.
// docs/consensus.md states what holds in each, and why. The scenario of a second loss after a repair is in
// membership_test.cpp.
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
constexpr Micros kCallerTimeout = kSecond;  // after which a caller tries another process
constexpr int kNoResponse = 0;              // status of a call without a response

struct CallResult {
  int status = -1;
  std::string body;
  Micros duration = 0;
};

class FaultScenario {
 public:
  explicit FaultScenario(std::size_t controls = 3, std::uint64_t seed = 1) : system(controls, 1, seed) {}

  CallResult AwaitCall(const std::function<void(std::function<void(int, const std::string&)>)>& call) {
    const auto result = std::make_shared<CallResult>();
    const Micros from = system.now();
    const Micros call_timeout =
        std::exchange(system.call_timeout, std::max(system.call_timeout, kCallerTimeout));
    call([result, from, this](int status, const std::string& body) {
      *result = {status, body, system.now() - from};
    });
    system.call_timeout = call_timeout;
    system.RunUntil([&] { return result->status >= 0; }, 3 * kSecond);
    return *result;
  }
  CallResult Put(std::size_t at, std::int64_t base, const std::string& document) {
    return AwaitCall(
        [&](auto done) { system.CallPublic(at, "PUT", "/api/configuration", document, base, done); });
  }
  CallResult Read(std::size_t at) {
    return AwaitCall([&](auto done) { system.CallPublic(at, "GET", "/api/configuration", "", 0, done); });
  }
  CallResult Watch(std::size_t at) {
    return AwaitCall([&](auto done) { system.CallWatch(at, done); });
  }
  CallResult Heartbeat(std::size_t at, const std::string& phase) {
    const json body{
        {"backend", "s"}, {"address", "10.1.0.1:80"}, {"phase", phase}, {"sequence", ++sequence_}};
    return AwaitCall(
        [&](auto done) { system.CallPublic(at, "PUT", "/api/instances/i-1", body.dump(), 0, done); });
  }
  // Sends a change to one process after the other until one accepts it.
  void Configure(std::int64_t base, const std::string& document, std::size_t first = 0) {
    for (std::size_t i = 0; i < 30; ++i) {
      const int status = Put((first + i) % system.controls(), base, document).status;
      if (status == 200) return;
      REQUIRE((status == kNoResponse || status == 503));
      system.Run(kSecond / 10);
    }
    FAIL("no process accepted the change");
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

std::int64_t VersionOf(const CallResult& read) {
  return json::parse(read.body).at("version").get<std::int64_t>();
}

}  // namespace

// The longest time for which a partitioned process may count as in contact: the validity of a follower's
// proof of contact, plus that of the leader's lease on which the proof is based.
constexpr Micros kContactValidity = 900'000;

TEST_CASE(
    "Fault scenario 1: a process partitioned for 20 s returns no stale state and neither accepts nor rejects "
    "changes") {
  for (const bool leader : {true, false}) {
    INFO((leader ? "the leader" : "a follower"));
    FaultScenario scenario;
    scenario.Configure(0, Document(1));
    const std::size_t isolated = leader ? scenario.Leader() : (scenario.Leader() + 1) % 3;
    scenario.system.IsolateFromPeers(isolated);
    scenario.system.Run(kContactValidity);
    const Micros until = scenario.system.now() + 20 * kSecond;
    std::int64_t version = 1;
    while (scenario.system.now() < until) {
      scenario.Configure(version, Document(version + 1), (isolated + 1) % 3);
      ++version;
      // A process that decides alone would reject a change based on the current version, or accept one based
      // on the last version that it knew.
      for (const std::int64_t base : {std::int64_t{1}, version})
        CHECK((scenario.Put(isolated, base, Document(version + 7)).status == 503));
      CHECK(scenario.Read(isolated).status == 503);
      CHECK(scenario.Watch(isolated).status == 503);
      CHECK(scenario.Heartbeat(isolated, "ready").status == 503);
      CHECK(scenario.Heartbeat(isolated, "draining").status == 503);
    }
    // After this time without contact it rejects calls at once.
    CHECK(scenario.Put(isolated, version, Document(version + 7)).duration < kSecond / 10);
    CHECK(scenario.Read(isolated).duration < kSecond / 10);
    scenario.system.Heal();
    scenario.system.Run(2 * kSecond);
    const CallResult read = scenario.Read(isolated);
    CHECK(read.status == 200);
    CHECK(VersionOf(read) == version);
    CHECK(scenario.Watch(isolated).status == 200);
    CHECK(scenario.system.violations().empty());
  }
}

TEST_CASE(
    "Fault scenario 1: a process suspended for 20 s answers based only on messages that it receives "
    "after it has resumed") {
  for (std::size_t frozen = 0; frozen < 3; ++frozen) {
    FaultScenario scenario;
    scenario.Configure(0, Document(1));
    scenario.system.Run(kSecond);
    scenario.system.Freeze(frozen, 20 * kSecond);
    scenario.system.Run(kSecond / 2);
    for (std::size_t i = 0; i < 3; ++i)
      if (i != frozen) scenario.system.PowerOff(i);  // their messages wait there unread
    scenario.system.call_timeout = 30 * kSecond;
    const CallResult watch = scenario.AwaitCall([&](auto done) {
      scenario.system.CallWatch(frozen, done);
      scenario.system.Run(20 * kSecond);
    });
    CHECK(watch.status == 503);
  }
}

TEST_CASE(
    "Fault scenario 2: of two changes based on one version exactly one is acknowledged, even after lost "
    "responses and later changes") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    FaultScenario scenario(seed % 2 == 0 ? 3 : 5, seed);
    scenario.Configure(0, Document(1));
    const std::size_t leader = scenario.Leader();
    const std::string first_document = Document(2, 1100);
    const std::string second_document = Document(2, 1200);
    // Both are sent at the same time, and the leader stops before either caller has a response.
    scenario.system.CallPublic(leader, "PUT", "/api/configuration", first_document, 1,
                               [](int, const std::string&) {});
    scenario.system.CallPublic((leader + 1) % 3, "PUT", "/api/configuration", second_document, 1,
                               [](int, const std::string&) {});
    scenario.system.Run(static_cast<Micros>(seed) * VirtualSystem::kStep / 2);
    scenario.system.PowerOff(leader);
    scenario.system.Run(2 * kSecond);
    scenario.system.Start(leader);
    const auto put_until_decided = [&](const std::string& document, std::size_t first) {
      int status = 503;
      for (std::size_t i = 0; status == 503 || status == kNoResponse; ++i) {
        status = scenario.Put((first + i) % scenario.system.controls(), 1, document).status;
        scenario.system.Run(kSecond / 10);
      }
      return status;
    };
    const int first = put_until_decided(first_document, leader);
    const int second = put_until_decided(second_document, leader + 1);
    CHECK(first + second == 200 + 412);
    for (std::int64_t version = 2; version < 300; ++version)
      scenario.Configure(version, Document(version + 1));
    for (std::size_t at = 0; at < scenario.system.controls(); ++at) {
      CHECK(put_until_decided(first_document, at) == first);
      CHECK(put_until_decided(second_document, at) == second);
    }
  }
}

TEST_CASE(
    "Fault scenario 4: a process that was down for 300 changes catches up within 2 s, and serves the newest "
    "state") {
  constexpr Micros kCatchUpTime = 2 * kSecond;
  // 68 kB: a snapshot is sent in several messages, and one is taken with every eighth change.
  constexpr int kRoutes = 600;
  FaultScenario scenario;
  scenario.Configure(0, Document(1, 1000, kRoutes));
  const std::size_t restarted = (scenario.Leader() + 1) % 3;
  scenario.system.PowerOff(restarted);
  std::int64_t version = 1;
  for (; version < 300; ++version)
    scenario.Configure(version, Document(version + 1, 1000, kRoutes), restarted + 1);
  scenario.system.Start(restarted);
  const Micros started = scenario.system.now();
  const auto caught_up = [&] {
    return scenario.system.control(restarted).core->configuration().version() == version;
  };
  CHECK(scenario.system.RunUntil(caught_up, kCatchUpTime));
  INFO("caught up after " << (scenario.system.now() - started) / 1000 << " ms");
  // The leader stops, so that the restarted process is part of the next quorum. It and the remaining process
  // continue from the newest version.
  scenario.system.Run(kSecond);
  scenario.system.PowerOff(scenario.Leader());
  scenario.Configure(version, Document(version + 1), restarted);
  CHECK(VersionOf(scenario.Read(restarted)) == version + 1);
  CHECK(scenario.system.violations().empty());
}

TEST_CASE("A change is acknowledged within half a second after the leader has begun its shutdown") {
  constexpr Micros kAcknowledgedWithin = kSecond / 2;
  constexpr Micros kShutdownGrace = 300'000;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    FaultScenario scenario(seed % 2 == 0 ? 3 : 5, seed);
    scenario.Configure(0, Document(1));
    scenario.system.Run(6 * kSecond + static_cast<Micros>(seed) * kSecond / 7);
    const std::size_t leader = scenario.Leader();
    const Micros from = scenario.system.now();
    scenario.system.BeginShutdown(leader);
    scenario.system.After(kShutdownGrace, [&scenario, leader] { scenario.system.PowerOff(leader); });
    scenario.Configure(1, Document(2), leader + 1);
    CHECK(scenario.system.now() - from < kAcknowledgedWithin);
    CHECK(scenario.system.violations().empty());
  }
}

// In larger deployments each document has hundreds of kB and goes to a hundred sidecars.
TEST_CASE(
    "Fault scenario 4: of changes in quick succession a sidecar receives the last, four a second at most") {
  constexpr int kChanges = 36;
  constexpr Micros kInterval = kSecond / 12;
  FaultScenario scenario;
  scenario.Configure(0, Document(1));
  scenario.system.Run(kSecond);
  int documents = 0;
  scenario.system.tamper = [&](testing::WireMessage& message) {
    if (message.path != kWatchPath || !message.is_response) return;
    const auto reply = Decode<WatchReply>(message.body);
    documents += reply && !reply->configuration_document.empty();
  };
  const Micros from = scenario.system.now();
  std::int64_t version = 1;
  for (; version <= kChanges; ++version) {
    scenario.Configure(version, Document(version + 1));
    scenario.system.Run(std::max<Micros>(from + version * kInterval - scenario.system.now(), 0));
  }
  const auto in_force = [&] { return scenario.system.sidecar(0).view->version() == version; };
  CHECK(scenario.system.RunUntil(in_force, 400'000));
  const auto seconds = static_cast<double>(scenario.system.now() - from) / kSecond;
  CHECK(documents <= static_cast<int>(4 * seconds) + 2);
  CHECK(documents >= 4);
}

}  // namespace violetwing
