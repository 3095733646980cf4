// Tests reading, validating and changing the operator's configuration.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "common/random.hpp"
#include "control/configuration/accepted_changes.hpp"
#include "control/configuration/ignored_members.hpp"
#include "control/configuration/reader.hpp"
#include "control/configuration/state.hpp"

namespace violetwing::configuration {
namespace {

using nlohmann::json;

json Document(std::int64_t version) {
  return json::parse(R"({
    "version": 0,
    "routes": [
      {"name": "r1", "hostname": "a.example", "path_prefix": "/x/", "type": "idempotent", "timeout_ms": 1000,
       "target_latency_ms": 300, "priority": 1, "backend": "s1", "max_attempts": 2},
      {"name": "r2", "hostname": "a.example", "path_prefix": "/y/", "type": "streaming", "timeout_ms": 5000,
       "traffic_split": [{"backend": "s1", "weight": 90}, {"backend": "s2", "weight": 10}], "resumable": true,
       "new_field": [1, 2]}],
    "backends": [{"name": "s1", "health_check": "/healthz", "max_connections": 100},
                 {"name": "s2", "runtime": {"capacity": 64, "weights_mb": 220000.0, "max_adapters": 8,
                   "loads_per_s": 2.8, "models": [{"name": "m", "weights_mb": 65099.99999999999,
                   "load_time_s": 0.6, "adapters": 3, "adapter_size_mb": 12.0}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}})")
      .patch(json::array({{{"op", "replace"}, {"path", "/version"}, {"value", version}}}));
}

ChangeOutcome Put(State& state, std::int64_t base, const json& document) {
  return state.Apply({false, base, document.dump()});
}

ChangeOutcome Patch(State& state, std::int64_t base, const json& patch) {
  return state.Apply({true, base, patch.dump()});
}

std::vector<Finding> FindingsOf(const json& document) { return Read(document.dump()).findings; }

}  // namespace

TEST_CASE("Reading a configuration converts all fields and ignores unknown ones") {
  const ReadResult read = Read(Document(3).dump());
  REQUIRE(read.configuration != nullptr);
  CHECK(read.configuration->version == 3);
  CHECK(read.configuration->routes[0].Repeatable());
  CHECK(read.configuration->routes[1].shares.size() == 2);
  CHECK(read.configuration->routes[1].Repeatable());
  REQUIRE(read.configuration->backends[1].runtime != nullptr);
  CHECK(read.configuration->backends[1].runtime->models[0].weights_mb == 65099.99999999999);
  CHECK(read.configuration->limits.max_body_bytes == 1000);
}

TEST_CASE("All findings are reported together, each with its path") {
  json document = Document(3);
  document["routes"][0]["backend"] = "nobody";
  document["routes"][0]["timeout_ms"] = 0;
  document["routes"][1]["path_prefix"] = "/x/";
  document["routes"][1]["traffic_split"][0]["weight"] = 0;
  document["routes"][1]["traffic_split"][1]["weight"] = 0;
  const std::string text = ToText(FindingsOf(document));
  CHECK(text.find("routes[0].backend: names no service: nobody") != std::string::npos);
  CHECK(text.find("routes[0].timeout_ms: must be above 0") != std::string::npos);
  CHECK(text.find("routes[1].path_prefix: another route has the same host and prefix") != std::string::npos);
  CHECK(text.find("routes[1].traffic_split: the weights add up to 0") != std::string::npos);
}

TEST_CASE("Each finding has the code of its kind") {
  json document = Document(3);
  document["routes"][0]["backend"] = "nobody";
  document["routes"][0]["timeout_ms"] = 0;
  document["routes"][1]["path_prefix"] = "/x/";
  document["routes"][1]["type"] = "unheard of";
  document["backends"][1]["runtime"]["models"][0]["name"] = "";
  std::vector<FindingCode> codes;
  for (const Finding& finding : FindingsOf(document)) codes.push_back(finding.code);
  CHECK(codes == std::vector<FindingCode>{FindingCode::kMissing, FindingCode::kOutOfRange,
                                          FindingCode::kUnknownReference, FindingCode::kDuplicate,
                                          FindingCode::kUnknownValue});
  REQUIRE(Read("{").findings.size() == 1);
  CHECK(Read("{").findings[0].code == FindingCode::kMalformed);
}

TEST_CASE("A truncated document is invalid") {
  const std::string complete = Document(3).dump();
  State state;
  for (std::size_t size = 0; size + 1 < complete.size(); size += 97)
    CHECK(state.Apply({false, 0, complete.substr(0, size)}).status == ChangeStatus::kInvalid);
  CHECK(state.version() == 0);
}

TEST_CASE("Versions increase, and a change must be based on the current version") {
  State state;
  CHECK(Put(state, 0, Document(3)).status == ChangeStatus::kAccepted);
  CHECK(Put(state, 0, Document(5)).status == ChangeStatus::kVersionConflict);
  CHECK(Put(state, 3, Document(3)).status == ChangeStatus::kInvalid);
  CHECK(Put(state, 3, Document(2)).status == ChangeStatus::kInvalid);
  CHECK(Put(state, 3, Document(9)).status == ChangeStatus::kAccepted);
  CHECK(state.version() == 9);
}

TEST_CASE(
    "Of two changes from one version to one new version, one is accepted and acknowledged again on retry") {
  State state;
  REQUIRE(Put(state, 0, Document(3)).status == ChangeStatus::kAccepted);
  json first = Document(5);
  json second = Document(5);
  second["routes"][0]["timeout_ms"] = 777;
  CHECK(Put(state, 3, first).status == ChangeStatus::kAccepted);
  CHECK(Put(state, 3, second).status == ChangeStatus::kVersionConflict);
  CHECK(Put(state, 3, first).status == ChangeStatus::kAccepted);
  CHECK(Put(state, 5, Document(8)).status == ChangeStatus::kAccepted);
  // A retry of a change that was accepted before the current version.
  CHECK(Put(state, 3, first).status == ChangeStatus::kAccepted);
  CHECK(state.version() == 8);
}

TEST_CASE("A patch adds, replaces and removes items by name and keeps the other items unchanged") {
  State state;
  REQUIRE(Put(state, 0, Document(3)).status == ChangeStatus::kAccepted);
  json route = Document(3)["routes"][0];
  route["name"] = "r3";
  route["path_prefix"] = "/z/";
  const json patch{{"version", 4},
                   {"upsert", {{"routes", json::array({route})}}},
                   {"delete", {{"routes", json::array({"r1", "never there"})}}}};
  CHECK(Patch(state, 3, patch).status == ChangeStatus::kAccepted);
  const json patched = json::parse(state.document());
  CHECK(patched["version"] == 4);
  REQUIRE(patched["routes"].size() == 2);
  CHECK(patched["routes"][0] == Document(3)["routes"][1]);
  CHECK(patched["routes"][1] == route);
  CHECK(patched["backends"] == Document(3)["backends"]);
}

TEST_CASE("An invalid patch changes nothing") {
  State state;
  REQUIRE(Put(state, 0, Document(3)).status == ChangeStatus::kAccepted);
  const std::string before = state.document();
  for (const char* patch :
       {R"([])", R"({"upsert": {}})", R"({"version": 4, "upsert": []})",
        R"({"version": 4, "delete": {"routes": "r1"}})", R"({"version": 4, "upsert": {"routes": [{}]}})",
        R"({"version": 4, "delete": {"backends": ["s1"]}})", R"({"version": 3, "upsert": {}})",
        R"({"version": 4, "delete": {"routes": [7]}})",
        R"({"version": 4, "upsert": {"version": [{"name": "x"}]}})"}) {
    CHECK(state.Apply({true, 3, patch}).status == ChangeStatus::kInvalid);
    CHECK(state.document() == before);
  }
}

TEST_CASE("Loading a snapshot fails if it cannot be read or its document is invalid") {
  State state;
  REQUIRE(Put(state, 0, Document(3)).status == ChangeStatus::kAccepted);
  const std::string saved = state.Save();
  json invalid = json::parse(saved);
  invalid["document"] = R"({"version": 3, "routes": [{"name": "r"}]})";
  json unreadable = json::parse(saved);
  unreadable["document"] = "{";
  json without_digests = json::parse(saved);
  without_digests.erase("taken");
  for (const std::string& text : {std::string(), saved.substr(0, saved.size() / 2), std::string("[]"),
                                  invalid.dump(), unreadable.dump(), without_digests.dump()}) {
    INFO(text);
    State loaded;
    CHECK_FALSE(loaded.Load(text));
  }
}

// The document once kept the earlier value of such an item beside the new one: no process could load it
// again.
TEST_CASE("CONFIG: items in lists within lists are patched alike in document and configuration") {
  json nested = Document(3);
  nested["routes"] = json::array({json::array({nested["routes"]}), json::array()});
  State state;
  REQUIRE(Put(state, 0, nested).status == ChangeStatus::kAccepted);
  json route = Document(3)["routes"][0];
  route["timeout_ms"] = 7000;
  REQUIRE(Patch(state, 3, {{"version", 4}, {"upsert", {{"routes", {route}}}}}).status ==
          ChangeStatus::kAccepted);
  const auto check = [&](const State& checked, std::size_t routes) {
    REQUIRE(checked.current()->routes.size() == routes);
    CHECK(checked.current()->routes[0].timeout_ms == 7000);
    CHECK(Read(checked.document()).configuration->routes.size() == routes);
  };
  check(state, 2);
  State loaded;
  REQUIRE(loaded.Load(state.Save()));
  check(loaded, 2);
  REQUIRE(Patch(state, 4, {{"version", 5}, {"delete", {{"routes", {"r2"}}}}}).status ==
          ChangeStatus::kAccepted);
  check(state, 1);
  REQUIRE(loaded.Load(state.Save()));
  check(loaded, 1);
}

TEST_CASE("CONFIG: a snapshot in which a patched item stands twice is loaded with its latest value") {
  json document = Document(4);
  json route = document["routes"][0];
  route["timeout_ms"] = 7000;
  document["routes"] = json::array({document["routes"], route});
  State state;
  REQUIRE(state.Load(json{{"document", document.dump()}, {"taken", json::object()}}.dump()));
  REQUIRE(state.current()->routes.size() == 2);
  CHECK(state.current()->routes[0].timeout_ms == 7000);
  CHECK(Read(state.document()).configuration != nullptr);
  // An item that stands twice in one list was never accepted.
  document["routes"] = json::array({route, route});
  CHECK_FALSE(state.Load(json{{"document", document.dump()}, {"taken", json::object()}}.dump()));
}

TEST_CASE("Loading a snapshot restores the state, including the accepted changes") {
  State state;
  REQUIRE(Put(state, 0, Document(3)).status == ChangeStatus::kAccepted);
  REQUIRE(Put(state, 3, Document(5)).status == ChangeStatus::kAccepted);
  State loaded;
  REQUIRE(loaded.Load(state.Save()));
  CHECK(loaded.version() == 5);
  CHECK(loaded.document() == state.document());
  REQUIRE(loaded.current() != nullptr);
  CHECK(Put(loaded, 0, Document(3)).status == ChangeStatus::kAccepted);
  CHECK(loaded.version() == 5);
}

namespace {

constexpr std::int64_t kMaxEntries = AcceptedChanges::kMaxEntries;

// Returns the smallest valid document of a version.
json MinimalDocument(std::int64_t version) {
  return {{"version", version}, {"routes", json::array()}, {"backends", json::array()}};
}

// Applies changes until the state has version `last`.
void ApplyMany(State& state, std::int64_t last) {
  for (std::int64_t version = state.version() + 1; version <= last; ++version)
    REQUIRE(Put(state, version - 1, MinimalDocument(version)).status == ChangeStatus::kAccepted);
}

}  // namespace

TEST_CASE(
    "A change retried after hundreds of others is acknowledged, a different one from its version conflicts") {
  State state;
  ApplyMany(state, 900);
  CHECK(Put(state, 4, MinimalDocument(5)).status == ChangeStatus::kAccepted);
  CHECK(Put(state, 4, MinimalDocument(6)).status == ChangeStatus::kVersionConflict);
  CHECK(state.version() == 900);
}

TEST_CASE("A change older than all retained accepted changes has status unknown and is never rejected") {
  State state;
  ApplyMany(state, kMaxEntries + 10);
  // Accepted, but its digest was evicted.
  CHECK(Put(state, 9, MinimalDocument(10)).status == ChangeStatus::kUnknown);
  // Never sent.
  CHECK(Put(state, 9, MinimalDocument(11)).status == ChangeStatus::kUnknown);
  // The oldest change whose digest is retained, and a different change from the same version.
  CHECK(Put(state, 10, MinimalDocument(11)).status == ChangeStatus::kAccepted);
  CHECK(Put(state, 10, MinimalDocument(12)).status == ChangeStatus::kVersionConflict);
  State loaded;
  REQUIRE(loaded.Load(state.Save()));
  CHECK(Put(loaded, 9, MinimalDocument(10)).status == ChangeStatus::kUnknown);
  CHECK(Put(loaded, 10, MinimalDocument(11)).status == ChangeStatus::kAccepted);
  CHECK(Put(loaded, 10, MinimalDocument(12)).status == ChangeStatus::kVersionConflict);
}

TEST_CASE("The size of a snapshot is bounded regardless of the number of changes") {
  constexpr std::size_t kMaxSnapshotBytes = std::size_t{52} * 1024;
  State state;
  ApplyMany(state, 1'000);
  CHECK(state.Save().size() < kMaxSnapshotBytes);
  ApplyMany(state, 100'000);
  CHECK(state.Save().size() < kMaxSnapshotBytes);
}

TEST_CASE(
    "The accepted changes in a snapshot of an earlier version, which are unbounded, are bounded on loading") {
  State state;
  ApplyMany(state, kMaxEntries);
  json saved = json::parse(state.Save());
  saved.erase("horizon");
  for (std::int64_t version = 1; version <= 20; ++version)  // older changes, which that version also stored
    saved["taken"][DigestOf({false, 0, "old " + std::to_string(version)})] = -version;
  State loaded;
  REQUIRE(loaded.Load(saved.dump()));
  CHECK(Put(loaded, 0, MinimalDocument(1)).status == ChangeStatus::kAccepted);
  CHECK(json::parse(loaded.Save())["taken"].size() == static_cast<std::size_t>(kMaxEntries));
}

namespace {

// Returns a random route, which is invalid in some cases.
json RandomRoute(Random& random, std::int64_t name) {
  json route{{"name", "r" + std::to_string(name)},
             {"hostname", "h" + std::to_string(random.Below(3)) + ".example"},
             {"path_prefix", "/" + std::to_string(random.Below(12)) + "/"},
             {"type", random.Below(30) == 0 ? "unknown" : "idempotent"},
             {"timeout_ms", random.Below(30) == 0 ? 0 : 1000},
             {"later", random.Below(9)}};
  if (random.Below(3) == 0)
    route["traffic_split"] = {{{"backend", "s" + std::to_string(random.Below(4))}, {"weight", 1}}};
  else
    route["backend"] = "s" + std::to_string(random.Below(4));
  if (random.Below(40) == 0) route["timeout_ms"] = "soon";
  return route;
}

// Returns a random patch, which is invalid in some cases.
json RandomPatch(Random& random, std::int64_t version) {
  json patch{{"version", version}};
  for (std::uint64_t i = random.Below(3); i > 0; --i)
    patch["upsert"]["routes"].push_back(RandomRoute(random, static_cast<std::int64_t>(random.Below(12))));
  if (random.Below(3) == 0)
    patch["upsert"]["backends"].push_back(
        {{"name", "s" + std::to_string(random.Below(4))}, {"max_connections", random.Below(99)}});
  if (random.Below(6) == 0) patch["upsert"]["limits"] = {{"max_body_bytes", 1000 + random.Below(9)}};
  if (random.Below(9) == 0) patch["upsert"]["unheard_of"] = {1, 2};
  if (random.Below(3) == 0) patch["delete"]["routes"].push_back("r" + std::to_string(random.Below(12)));
  if (random.Below(12) == 0) patch["delete"]["backends"].push_back("s" + std::to_string(random.Below(4)));
  return patch;
}

// Formats the fields that a patch may change, for comparison.
std::string Describe(const Configuration& configuration) {
  std::string out = std::to_string(configuration.version);
  for (const Route& route : configuration.routes) {
    out +=
        "\n" + route.name + " " + route.hostname + route.path_prefix + " " + std::to_string(route.timeout_ms);
    for (const Share& share : route.shares) out += " " + share.backend;
  }
  for (const Backend& backend : configuration.backends)
    out += "\n" + backend.name + " " + std::to_string(backend.max_connections);
  return out + "\n" + std::to_string(configuration.limits.max_body_bytes);
}

}  // namespace

TEST_CASE("Applying a patch to the parsed configuration is equivalent to reading the patched document") {
  Random random(1);
  int accepted = 0;
  int invalid = 0;
  for (int round = 0; round < 60; ++round) {
    State state;
    json first{{"version", 1}, {"routes", json::array()}, {"backends", json::array()}};
    for (int i = 0; i < 4; ++i) first["backends"].push_back({{"name", "s" + std::to_string(i)}});
    REQUIRE(Put(state, 0, first).status == ChangeStatus::kAccepted);
    for (std::int64_t version = 2; version < 60; ++version) {
      const json patch = RandomPatch(random, version);
      const std::string before = state.document();
      const ChangeStatus status = Patch(state, state.version(), patch).status;
      REQUIRE(status != ChangeStatus::kVersionConflict);
      (status == ChangeStatus::kAccepted ? accepted : invalid) += 1;
      const ReadResult read = Read(state.document());
      REQUIRE(read.configuration != nullptr);
      REQUIRE(Describe(*state.current()) == Describe(*read.configuration));
      if (status != ChangeStatus::kAccepted) REQUIRE(state.document() == before);
    }
  }
  CHECK(accepted > 1000);
  CHECK(invalid > 200);
}

TEST_CASE("CONFIG: a key shared by two tenants is rejected, and the message has its path but not the key") {
  json document = Document(3);
  document["tenants"] = {{{"name", "alice"}, {"api_keys", {"key-a", "key-s"}}},
                         {{"name", "bob"}, {"api_keys", {"key-s"}}}};
  State state;
  const ChangeOutcome outcome = Put(state, 0, document);
  CHECK(outcome.status == ChangeStatus::kInvalid);
  CHECK(outcome.message.find("tenants[1].api_keys[0]") != std::string::npos);
  CHECK(outcome.message.find("key-s") == std::string::npos);
}

TEST_CASE("A key that is not a string is rejected, and the finding does not contain it") {
  json document = Document(3);
  document["tenants"] = {{{"name", "alice"}, {"api_keys", {987654}}}};
  const std::vector<Finding> findings = FindingsOf(document);
  REQUIRE_FALSE(findings.empty());
  CHECK(ToText(findings).find("987654") == std::string::npos);
}

TEST_CASE("CONFIG: a patch of tenants adds and removes keys, with the same result as reading the document") {
  json document = Document(3);
  document["tenants"] = {{{"name", "alice"}, {"api_keys", {"key-a"}}},
                         {{"name", "bob"}, {"api_keys", {"key-b"}}}};
  State state;
  REQUIRE(Put(state, 0, document).status == ChangeStatus::kAccepted);
  const json patch{{"version", 5},
                   {"upsert", {{"tenants", {{{"name", "alice"}, {"api_keys", {"key-c"}}, {"priority", 1}}}}}},
                   {"delete", {{"tenants", {"bob"}}}}};
  REQUIRE(Patch(state, 3, patch).status == ChangeStatus::kAccepted);
  REQUIRE(state.current()->tenants.size() == 1);
  CHECK(state.current()->tenants[0].api_keys == std::vector<std::string>{"key-c"});
  CHECK(state.current()->tenants[0].priority == 1);
  CHECK(state.PatchesSince(3));
  CHECK(Read(state.document()).configuration->tenants[0].api_keys == state.current()->tenants[0].api_keys);
}

TEST_CASE("IgnoredMembers lists the unknown members of a document without their values") {
  nlohmann::ordered_json document = nlohmann::ordered_json::parse(Document(3).dump());
  document["quotas"] = {{"secret", 1}};
  document["tenants"] = {{{"name", "alice"}, {"api_keys", {"key-a"}}, {"color", "red"}}};
  CHECK(IgnoredMembers(document) == std::set<std::string>{"quotas", "routes.new_field", "tenants.color"});
}

}  // namespace violetwing::configuration
