// What control processes know of servers, and how they share it.
#include <algorithm>
#include <catch2/catch.hpp>

#include "control/instances/departures.hpp"
#include "control/instances/instance_table.hpp"

namespace violetwing {
namespace {

constexpr std::int64_t kSecond = 1'000'000;
constexpr std::int64_t kLostAfter = 3 * kSecond;

Instance Server(const std::string& id, std::int64_t sequence, const std::string& address = "10.0.0.1:80") {
  Instance instance;
  instance.id = id;
  instance.backend = "s";
  instance.address = address;
  instance.sequence = sequence;
  return instance;
}

Phase PhaseOf(const InstanceTable& table, const std::string& id) { return table.Find(id)->instance.phase; }

// One exchange: `to` takes what it misses from `from`.
void Exchange(const InstanceTable& from, InstanceTable& to, std::int64_t now) {
  to.Merge(from.ChangedSince(to.known()), now);
  for (const LastSeen& heard : from.HeardSince(0, now)) to.Hear(heard, now);
}

// The table is looked at all the time; a long pause would say that the process stood still.
void Pass(InstanceTable& table, std::int64_t& now, std::int64_t span, bool has_quorum_contact = true) {
  for (const std::int64_t until = now + span; now < until;)
    table.Expire(now += kSecond / 10, has_quorum_contact);
}

}  // namespace

TEST_CASE("A late heartbeat never revives a server that has left") {
  InstanceTable table("a", kLostAfter);
  CHECK(table.Heartbeat(Server("i", 5), kSecond));
  table.Leave("i", Phase::kDraining, kSecond);
  CHECK_FALSE(table.Heartbeat(Server("i", 4), kSecond));
  CHECK(table.Heartbeat(Server("i", 6), kSecond));
  CHECK(PhaseOf(table, "i") == Phase::kDraining);
  table.Leave("i", Phase::kDeregistered, kSecond);
  table.Leave("i", Phase::kDraining, kSecond);
  CHECK(PhaseOf(table, "i") == Phase::kDeregistered);
}

TEST_CASE("A server at the address of another one has taken its place") {
  InstanceTable table("a", kLostAfter);
  table.Heartbeat(Server("old", 5), kSecond);
  table.Heartbeat(Server("new", 1), 2 * kSecond);
  CHECK(PhaseOf(table, "old") == Phase::kDeregistered);
  CHECK(PhaseOf(table, "new") == Phase::kReady);
}

TEST_CASE("A silent server is lost, and comes back with its next heartbeat anywhere") {
  InstanceTable a("a", kLostAfter);
  InstanceTable b("b", kLostAfter);
  std::int64_t now = kSecond;
  a.Heartbeat(Server("i", 1), now);
  Pass(a, now, kLostAfter + kSecond);
  CHECK(PhaseOf(a, "i") == Phase::kLost);
  Exchange(a, b, now);
  CHECK(PhaseOf(b, "i") == Phase::kLost);
  b.Heartbeat(Server("i", 2), now);
  Exchange(b, a, now);
  CHECK(PhaseOf(a, "i") == Phase::kReady);
}

TEST_CASE("Heartbeats at another process keep a server alive here") {
  InstanceTable a("a", kLostAfter);
  InstanceTable b("b", kLostAfter);
  std::int64_t now = kSecond;
  for (int beat = 1; beat < 10; ++beat) {
    b.Heartbeat(Server("i", beat), now);
    Exchange(b, a, now);
    Pass(a, now, kSecond);
  }
  CHECK(PhaseOf(a, "i") == Phase::kReady);
}

TEST_CASE("A process that is cut off, or stood still, declares nobody lost") {
  InstanceTable table("a", kLostAfter);
  std::int64_t now = kSecond;
  table.Heartbeat(Server("i", 1), now);
  Pass(table, now, 10 * kSecond, false);
  CHECK(PhaseOf(table, "i") == Phase::kReady);
  now += 10 * kSecond;  // frozen
  table.Expire(now, true);
  Pass(table, now, kSecond);
  CHECK(PhaseOf(table, "i") == Phase::kReady);
}

TEST_CASE("One that was declared lost by mistake is ready again for those who heard of that") {
  InstanceTable a("a", kLostAfter);
  InstanceTable b("b", kLostAfter);
  std::int64_t now = kSecond;
  a.Heartbeat(Server("i", 1), now);
  Exchange(a, b, now);
  Pass(b, now, kLostAfter + kSecond);  // b hears nothing of it
  VersionVector reader = b.known();    // a sidecar that pulled from b
  REQUIRE(PhaseOf(b, "i") == Phase::kLost);
  a.Heartbeat(Server("i", 4), now);
  Exchange(b, a, now);
  REQUIRE(a.Misses(reader));
  CHECK(a.ChangedSince(reader)[0].phase == Phase::kReady);
}

TEST_CASE("A version vector brings over what is missing, and nothing twice") {
  InstanceTable a("a", kLostAfter);
  for (int i = 0; i < 10; ++i)
    a.Heartbeat(Server("i" + std::to_string(i), 1, "10.0.0.1:" + std::to_string(100 + i)), kSecond);
  InstanceTable b("b", kLostAfter);
  Exchange(a, b, kSecond);
  CHECK(b.size() == 10);
  CHECK_FALSE(a.Misses(b.known()));
  a.Heartbeat(Server("i3", 2, "10.0.0.1:103"), kSecond);
  CHECK_FALSE(a.Misses(b.known()));  // the same news
  a.SetModels("i3", {{"m", 1, {}}});
  REQUIRE(a.ChangedSince(b.known()).size() == 1);
  CHECK(a.ChangedSince(b.known())[0].id == "i3");
}

TEST_CASE("All that is missing is brought over, in whatever order it comes") {
  InstanceTable a("a", kLostAfter);
  for (int i = 0; i < 50; ++i)
    a.Heartbeat(Server("i" + std::to_string(i * 7919 % 1000), 1, "10.0.0.1:" + std::to_string(i)), kSecond);
  std::vector<Instance> changed = a.ChangedSince({});
  REQUIRE(changed.size() == 50);
  const auto by_counter = [](const Instance& x, const Instance& y) { return x.counter < y.counter; };
  std::sort(changed.begin(), changed.end(), by_counter);
  for (const bool reversed : {false, true}) {
    if (reversed) std::reverse(changed.begin(), changed.end());
    InstanceTable b("b", kLostAfter);
    b.Merge(changed, kSecond);
    CHECK(b.size() == 50);
    CHECK_FALSE(a.Misses(b.known()));
  }
}

TEST_CASE("Deregistrations outlive the process that took them") {
  Deregistrations deregistrations;
  deregistrations.Apply("i", Phase::kDraining);
  deregistrations.Apply("j", Phase::kDeregistered);
  deregistrations.Apply("j", Phase::kDraining);
  Deregistrations loaded;
  loaded.Load(deregistrations.Save());
  CHECK(loaded.Find("i") == Phase::kDraining);
  CHECK(loaded.Find("j") == Phase::kDeregistered);
  CHECK_FALSE(loaded.Find("k").has_value());
}

TEST_CASE("Deregistrations are bounded, the oldest are forgotten first") {
  Deregistrations deregistrations;
  for (int i = 0; i < 5000; ++i) deregistrations.Apply(std::to_string(i), Phase::kDeregistered);
  CHECK(deregistrations.all().size() == 4000);
  CHECK_FALSE(deregistrations.Find("0").has_value());
  CHECK(deregistrations.Find("4999").has_value());
}

}  // namespace violetwing
