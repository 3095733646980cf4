// Tests the instance table and the deregistrations: heartbeats, expiry and anti-entropy between control
// processes.
#include <algorithm>
#include <catch2/catch.hpp>

#include "control/instances/deregistrations.hpp"
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

// Simulates one exchange in which `to` merges the changes and last-seen times of `from`.
void Exchange(const InstanceTable& from, InstanceTable& to, std::int64_t now) {
  to.MergeChanges(from.ChangedSince(to.version_vector()), now);
  for (const LastSeen& seen : from.LastSeenSince(0, now)) to.MergeLastSeen(seen, now);
}

// Advances the time and calls Expire at short intervals, because a long pause would count as a suspension.
void Advance(InstanceTable& table, std::int64_t& now, std::int64_t duration, bool has_quorum_contact = true) {
  for (const std::int64_t until = now + duration; now < until;)
    table.Expire(now += kSecond / 10, has_quorum_contact);
}

}  // namespace

TEST_CASE("A late heartbeat never makes a draining or deregistered instance ready") {
  InstanceTable table("a", kLostAfter);
  CHECK(table.Heartbeat(Server("i", 5), kSecond));
  table.ApplyDeregistration("i", Phase::kDraining, kSecond);
  CHECK_FALSE(table.Heartbeat(Server("i", 4), kSecond));
  CHECK(table.Heartbeat(Server("i", 6), kSecond));
  CHECK(PhaseOf(table, "i") == Phase::kDraining);
  table.ApplyDeregistration("i", Phase::kDeregistered, kSecond);
  table.ApplyDeregistration("i", Phase::kDraining, kSecond);
  CHECK(PhaseOf(table, "i") == Phase::kDeregistered);
}

TEST_CASE("A heartbeat from the address of another instance deregisters that instance") {
  InstanceTable table("a", kLostAfter);
  table.Heartbeat(Server("old", 5), kSecond);
  table.Heartbeat(Server("new", 1), 2 * kSecond);
  CHECK(PhaseOf(table, "old") == Phase::kDeregistered);
  CHECK(PhaseOf(table, "new") == Phase::kReady);
}

TEST_CASE("An instance without heartbeats is lost, and ready again after a heartbeat at any process") {
  InstanceTable a("a", kLostAfter);
  InstanceTable b("b", kLostAfter);
  std::int64_t now = kSecond;
  a.Heartbeat(Server("i", 1), now);
  Advance(a, now, kLostAfter + kSecond);
  CHECK(PhaseOf(a, "i") == Phase::kLost);
  Exchange(a, b, now);
  CHECK(PhaseOf(b, "i") == Phase::kLost);
  b.Heartbeat(Server("i", 2), now);
  Exchange(b, a, now);
  CHECK(PhaseOf(a, "i") == Phase::kReady);
}

TEST_CASE("Heartbeats at another process keep an instance ready at this one") {
  InstanceTable a("a", kLostAfter);
  InstanceTable b("b", kLostAfter);
  std::int64_t now = kSecond;
  for (int sequence = 1; sequence < 10; ++sequence) {
    b.Heartbeat(Server("i", sequence), now);
    Exchange(b, a, now);
    Advance(a, now, kSecond);
  }
  CHECK(PhaseOf(a, "i") == Phase::kReady);
}

TEST_CASE("A process without quorum contact, or resumed after a suspension, declares no instance lost") {
  InstanceTable table("a", kLostAfter);
  std::int64_t now = kSecond;
  table.Heartbeat(Server("i", 1), now);
  Advance(table, now, 10 * kSecond, false);
  CHECK(PhaseOf(table, "i") == Phase::kReady);
  now += 10 * kSecond;  // suspended
  table.Expire(now, true);
  Advance(table, now, kSecond);
  CHECK(PhaseOf(table, "i") == Phase::kReady);
}

TEST_CASE("An instance wrongly declared lost is also corrected for readers of the process that declared it") {
  InstanceTable a("a", kLostAfter);
  InstanceTable b("b", kLostAfter);
  std::int64_t now = kSecond;
  a.Heartbeat(Server("i", 1), now);
  Exchange(a, b, now);
  Advance(b, now, kLostAfter + kSecond);      // no heartbeat reaches b
  VersionVector reader = b.version_vector();  // of a sidecar whose last watch call was to b
  REQUIRE(PhaseOf(b, "i") == Phase::kLost);
  a.Heartbeat(Server("i", 4), now);
  Exchange(b, a, now);
  REQUIRE(a.HasUpdatesFor(reader));
  CHECK(a.ChangedSince(reader)[0].phase == Phase::kReady);
}

TEST_CASE("ChangedSince returns only the changes missing in a version vector") {
  InstanceTable a("a", kLostAfter);
  for (int i = 0; i < 10; ++i)
    a.Heartbeat(Server("i" + std::to_string(i), 1, "10.0.0.1:" + std::to_string(100 + i)), kSecond);
  InstanceTable b("b", kLostAfter);
  Exchange(a, b, kSecond);
  CHECK(b.size() == 10);
  CHECK_FALSE(a.HasUpdatesFor(b.version_vector()));
  a.Heartbeat(Server("i3", 2, "10.0.0.1:103"), kSecond);
  CHECK_FALSE(a.HasUpdatesFor(b.version_vector()));  // only the sequence has changed
  a.SetModels("i3", {{"m", 1, {}}});
  REQUIRE(a.ChangedSince(b.version_vector()).size() == 1);
  CHECK(a.ChangedSince(b.version_vector())[0].id == "i3");
}

TEST_CASE("MergeChanges applies all changes regardless of their order") {
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
    b.MergeChanges(changed, kSecond);
    CHECK(b.size() == 50);
    CHECK_FALSE(a.HasUpdatesFor(b.version_vector()));
  }
}

TEST_CASE("Save and Load preserve the deregistrations") {
  Deregistrations deregistrations;
  deregistrations.Apply("i", Phase::kDraining);
  deregistrations.Apply("j", Phase::kDeregistered);
  deregistrations.Apply("j", Phase::kDraining);
  Deregistrations loaded;
  REQUIRE(loaded.Load(deregistrations.Save()));
  CHECK(loaded.Find("i") == Phase::kDraining);
  CHECK(loaded.Find("j") == Phase::kDeregistered);
  CHECK_FALSE(loaded.Find("k").has_value());
}

TEST_CASE("Deregistrations are saved as by earlier versions, but for ids that are not UTF-8") {
  Deregistrations deregistrations;
  deregistrations.Apply("j", Phase::kDraining);
  deregistrations.Apply("i", Phase::kDeregistered);
  CHECK(deregistrations.Save() == R"({"order":["j","i"],"phases":{"i":"gone","j":"draining"}})");
  deregistrations.Apply("\xf8\x01", Phase::kDeregistered);
  Deregistrations loaded;
  REQUIRE(loaded.Load(deregistrations.Save()));
  CHECK(loaded.Find("\xf8\x01") == Phase::kDeregistered);
  CHECK(loaded.all() == deregistrations.all());
  CHECK(loaded.Save() == deregistrations.Save());
  for (const char* malformed : {"", "{}", R"({"phases":{},"order":[1]})", R"({"phases":{},"order":[{}]})",
                                R"({"phases":{},"order":[{"bytes":["a"],"phase":"gone"}]})"})
    CHECK_FALSE(loaded.Load(malformed));
}

TEST_CASE("The number of deregistrations is bounded, and the oldest are evicted first") {
  Deregistrations deregistrations;
  for (int i = 0; i < 5000; ++i) deregistrations.Apply(std::to_string(i), Phase::kDeregistered);
  CHECK(deregistrations.all().size() == 4000);
  CHECK_FALSE(deregistrations.Find("0").has_value());
  CHECK(deregistrations.Find("4999").has_value());
}

}  // namespace violetwing
