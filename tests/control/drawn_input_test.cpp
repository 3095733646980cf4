// Draws changes, heartbeats and internal messages that are valid but for a few places. None may end a
// process, and a rejected one leaves nothing behind. INPUT_DRAWS sets how many inputs are drawn, INPUT_SEED
// the seed.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/utf8.hpp"
#include "control/api/handlers.hpp"
#include "control/configuration/change_form.hpp"
#include "control/configuration/state.hpp"
#include "control/replication/commands.hpp"
#include "testing/configuration_document.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

constexpr std::size_t kMaxParsedBytes = 64'000'000;

using nlohmann::json;
using testing::VirtualSystem;

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::uint64_t Draws() { return NumberFromEnvironment("INPUT_DRAWS", 2000); }
std::uint64_t Seed() { return NumberFromEnvironment("INPUT_SEED", 1); }

// Text that is cut or replaced at any byte.
void MutateBytes(Random& random, std::string& text) {
  if (text.empty()) return;
  const std::size_t at = random.Below(text.size());
  switch (random.Below(4)) {
    case 0:
      text.resize(at);
      break;
    case 1:
      text[at] = static_cast<char>(random.Below(256));
      break;
    case 2:
      text.insert(at, 1, static_cast<char>(random.Below(256)));
      break;
    default:
      text.erase(at, 1 + random.Below(8));
  }
}

json DrawValue(Random& random) {
  static const std::vector<json> kValues = {nullptr,
                                            true,
                                            0,
                                            -1,
                                            1.5,
                                            1e30,
                                            1000000,
                                            "",
                                            "a",
                                            "r0",
                                            "\u00e9",
                                            json::array(),
                                            json::object(),
                                            json::array({1}),
                                            json::array({"r0"}),
                                            json::array({json::array()}),
                                            {{"name", "a"}},
                                            {{"name", 1}},
                                            {{"a", {{"b", 1}}}}};
  return kValues[random.Below(kValues.size())];
}

// Replaces, removes or wraps one value anywhere in the document.
void MutateValue(Random& random, json& document) {
  json* value = &document;
  while (value->is_structured() && !value->empty() && random.Below(4) != 0) {
    auto child = value->begin();
    std::advance(child, static_cast<std::ptrdiff_t>(random.Below(value->size())));
    value = &*child;
  }
  switch (random.Below(5)) {
    case 0:
      *value = DrawValue(random);
      break;
    case 1:
      *value = json::array({*value});
      break;
    case 2:
      *value = {{"name", *value}};
      break;
    case 3:
      if (value->is_object()) (*value)[random.Below(2) == 0 ? "delete" : "unknown"] = DrawValue(random);
      if (value->is_array()) value->push_back(DrawValue(random));
      break;
    default:
      if (value->is_array() && !value->empty()) value->push_back(value->front());
      if (value->is_object() && !value->empty()) value->erase(value->begin());
  }
}

std::string Mutated(Random& random, json document) {
  for (std::uint64_t count = random.Below(4); count > 0; --count) MutateValue(random, document);
  std::string text = document.dump();
  if (random.Below(8) == 0) MutateBytes(random, text);
  if (random.Below(64) == 0) text.insert(random.Below(text.size() + 1), std::string(200, '['));
  return text;
}

json DrawDocument(Random& random, std::int64_t version) {
  json document = json::parse(testing::Document(version, 1000, 1 + static_cast<int>(random.Below(3))));
  if (random.Below(2) == 0) document["tenants"] = {{{"name", "t"}, {"api_keys", {"k"}}}};
  if (random.Below(2) == 0) document["limits"] = {{"max_body_bytes", 1000}};
  document["backends"][0]["runtime"] = {{"capacity", 8}, {"models", {{{"name", "m"}, {"weights_mb", 1}}}}};
  return document;
}

json DrawPatch(Random& random, std::int64_t version) {
  json patch = {{"version", version}};
  if (random.Below(4) != 0)
    patch["upsert"]["routes"] = {testing::RouteDocument(static_cast<int>(random.Below(3)), 2000)};
  if (random.Below(4) == 0) patch["upsert"]["tenants"] = {{{"name", "t"}, {"api_keys", {"k2"}}}};
  if (random.Below(4) == 0) patch["upsert"]["unknown"] = {{{"name", "t"}}};
  for (const char* list : {"routes", "backends", "tenants", "unknown"})
    if (random.Below(3) == 0) patch["delete"][list] = {"r1"};
  return patch;
}

configuration::Change DrawChange(Random& random, std::int64_t base) {
  const std::int64_t version = base + 1 + static_cast<std::int64_t>(random.Below(2));
  const bool is_patch = random.Below(3) != 0;
  return {is_patch, base,
          Mutated(random, is_patch ? DrawPatch(random, version) : DrawDocument(random, version))};
}

// What a configuration holds, to compare two of them.
std::string Summary(const configuration::Configuration& configuration) {
  json summary = {{"version", configuration.version}, {"body", configuration.limits.max_body_bytes}};
  for (const configuration::Route& route : configuration.routes)
    summary["routes"].push_back({route.name, route.path_prefix, route.timeout_ms, route.shares.size()});
  for (const configuration::Backend& backend : configuration.backends)
    summary["backends"].push_back(
        {backend.name, backend.runtime == nullptr ? 0 : backend.runtime->models.size()});
  for (const configuration::Tenant& tenant : configuration.tenants)
    summary["tenants"].push_back({tenant.name, tenant.api_keys});
  return summary.dump();
}

}  // namespace

TEST_CASE("CONFIG: drawn changes have one outcome on each replica, and rejected ones leave nothing") {
  Random random(Seed());
  configuration::State state;
  configuration::State replica;
  std::uint64_t accepted = 0;
  for (std::uint64_t draw = 0; draw < Draws(); ++draw) {
    const configuration::Change change = DrawChange(random, state.version());
    INFO("draw " << draw << ", patch " << change.patch << ": " << change.body);
    CHECK_NOTHROW(configuration::CheckForm(change, kMaxParsedBytes));
    const std::string before = state.Save();
    const configuration::ChangeOutcome outcome = state.Apply(change);
    CHECK(IsUtf8(outcome.message));
    CHECK(replica.Apply(change).status == outcome.status);
    const std::string after = state.Save();
    CHECK(replica.Save() == after);
    if (outcome.status != configuration::ChangeStatus::kAccepted) {
      CHECK(after == before);
      continue;
    }
    ++accepted;
    configuration::State loaded;
    REQUIRE(loaded.Load(after));
    CHECK(loaded.Save() == after);
    CHECK(Summary(*loaded.current()) == Summary(*state.current()));
    CHECK(loaded.version() == outcome.version);
    if (random.Below(8) == 0) {
      // A process that starts from a snapshot continues with the same outcomes.
      REQUIRE(replica.Load(after));
    }
  }
  CHECK(accepted > Draws() / 10);
  CHECK(accepted < Draws());
}

namespace {

std::string DrawHeartbeat(Random& random) {
  return Mutated(random, {{"backend", "s"},
                          {"address", "10.0.1.1:80"},
                          {"zone", "z"},
                          {"capacity", 8},
                          {"sequence", random.Below(100)},
                          {"phase", random.Below(8) == 0 ? "draining" : "ready"},
                          {"models", {{{"name", "m"}, {"version", 1}, {"adapters", {"a"}}}}}});
}

// An internal message with drawn demand and usage, changed at a few bytes.
std::string DrawWatch(Random& random) {
  WatchRequest watch;
  watch.node = "edge-0";
  watch.incarnation = "edge-0/1";
  watch.demand = {{"s", "m/a", 1, 100, 1}, {"s", "m", 1, 100, 0}};
  watch.usage = {"edge-0/1", {{1, "t", 5}}};
  std::string bytes = Encode(watch);
  for (std::uint64_t count = random.Below(4); count > 0; --count) MutateBytes(random, bytes);
  return bytes;
}

// A proposal as another process forwards it; its command is changed, not the message around it.
std::string DrawProposal(Random& random, const VirtualSystem::Control& sender, std::int64_t version) {
  const std::vector<ConfigurationCommand> commands = {
      DrawChange(random, version), DrawChange(random, version),
      duties::RecordUsage{static_cast<std::int64_t>(random.Below(9)), {{"t", 1}}},
      duties::UsageDelivered{static_cast<std::int64_t>(random.Below(9))}, ReadCommand{}};
  std::string command = Encode(commands[random.Below(commands.size())]);
  int shard = 0;
  if (random.Below(3) == 0) {
    shard = 1 + static_cast<int>(random.Below(2));
    command = Encode(DeregistrationCommand{"i-" + std::to_string(random.Below(50)), Phase::kDraining});
  }
  if (random.Below(2) == 0) MutateBytes(random, command);
  ExchangeRequest request;
  request.sender = {"control-0", "zone", sender.address, sender.public_address};
  std::string proposal = Encode(Envelope{"drawn/" + std::to_string(random.Next()), command});
  if (random.Below(8) == 0) MutateBytes(random, proposal);
  request.proposals.push_back({shard, std::move(proposal)});
  return Encode(request);
}

// Draws one call to a process.
struct DrawnCall {
  http::Request request;
  bool is_internal = false;
};

DrawnCall DrawCall(Random& random, VirtualSystem& system, std::int64_t version) {
  switch (random.Below(6)) {
    case 0: {
      std::string id = "i-" + std::to_string(random.Below(20));
      if (random.Below(4) == 0) MutateBytes(random, id);
      return {{"PUT", "/api/instances/" + id, DrawHeartbeat(random), {}}, false};
    }
    case 1: {
      std::string path = "/api/instances/i-" + std::to_string(random.Below(2000));
      if (random.Below(4) == 0) MutateBytes(random, path);
      return {{"DELETE", path, {}, {}}, false};
    }
    case 2: {
      const configuration::Change change = DrawChange(random, version);
      return {{change.patch ? "PATCH" : "PUT", "/api/configuration", change.body,
               std::to_string(change.base_version)},
              false};
    }
    case 3:
      return {{"POST", kWatchPath, DrawWatch(random), {}}, true};
    case 4: {
      std::string demand = Encode(std::vector<ModelDemand>{{"s", "m/a", 1, 100, 1}});
      MutateBytes(random, demand);
      return {{"POST", kDemandPath, demand, {}}, true};
    }
    default:
      return {{"POST", kExchangePath, DrawProposal(random, system.control(0), version), {}}, true};
  }
}

}  // namespace

TEST_CASE("CONFIG: no drawn call ends a control process, and all processes agree, also after a restart") {
  Random random(Seed(), "calls");
  VirtualSystem system(3, 2, Seed());
  system.Run(1'000'000);
  const auto restart = [&] {
    for (std::size_t i = 0; i < system.controls(); ++i) system.Kill(i);
    for (std::size_t i = 0; i < system.controls(); ++i) system.Start(i);
    system.Run(2'000'000);
  };
  for (std::uint64_t draw = 0; draw < Draws() / 4; ++draw) {
    ControlCore& core = *system.control(random.Below(system.controls())).core;
    const DrawnCall call = DrawCall(random, system, core.configuration().version());
    INFO("draw " << draw << ", " << call.request.method << " " << call.request.path << ": "
                 << call.request.body);
    const auto respond = [](const http::Response&) {};
    if (call.is_internal)
      HandleInternal(core, call.request, system.now(), respond);
    else
      HandlePublic(core, call.request, system.now(), respond);
    system.Run(50'000);
    if (draw % 400 == 399) restart();
  }
  system.Run(2'000'000);
  const std::string document = system.control(0).core->configuration().document();
  CHECK_FALSE(document.empty());
  for (std::size_t i = 0; i < system.controls(); ++i) {
    CHECK(system.control(i).core->configuration().Save() == system.control(0).core->configuration().Save());
  }
  restart();
  for (std::size_t i = 0; i < system.controls(); ++i)
    CHECK(system.control(i).core->configuration().document() == document);
  for (std::size_t i = 0; i < system.sidecars(); ++i)
    CHECK(system.sidecar(i).view->version() == system.control(0).core->configuration().version());
  CHECK(system.violations().empty());
}

}  // namespace violetwing
