// Input that no caller should send: it is rejected without effect, and no control process ends, also if an
// earlier version of the program has written it to the log.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "control/configuration/change_form.hpp"
#include "control/replication/commands.hpp"
#include "testing/configuration_document.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using nlohmann::json;
using testing::Document;
using testing::PatchDocument;
using testing::VirtualSystem;

constexpr int kConfigurationShard = 0;
constexpr Micros kTimeout = 10'000'000;
constexpr const char* kConfigurationPath = "/api/configuration";

struct Answer {
  int status = 0;
  std::string body;
};

// Three control processes with version 1 of the configuration.
class System {
 public:
  System() : system_(3, 1, 1) { CHECK(Change("PUT", 0, Document(1)).status == 200); }

  // Sends a call to one process after the other until one answers it other than with 503.
  Answer Call(const std::string& method, const std::string& path, const std::string& body,
              std::int64_t base = 0) {
    Answer answer;
    for (std::size_t attempt = 0; attempt < 60; ++attempt) {
      bool ended = false;
      system_.CallPublic(attempt % system_.controls(), method, path, body, base,
                         [&](int status, const std::string& text) {
                           answer = {status, text};
                           ended = true;
                         });
      system_.RunUntil([&] { return ended; }, kTimeout);
      if (answer.status != 0 && answer.status != 503) return answer;
    }
    return answer;
  }
  Answer Change(const std::string& method, std::int64_t base, const std::string& body) {
    return Call(method, kConfigurationPath, body, base);
  }
  // The version that a read returns; 0 if it does not succeed.
  std::int64_t ReadVersion() {
    const Answer answer = Call("GET", kConfigurationPath, "");
    return answer.status == 200 ? json::parse(answer.body).at("version").get<std::int64_t>() : 0;
  }

  // Writes a command to the log as a process of an earlier version does, which does not check it.
  void AppendUnchecked(int shard, const std::string& command) {
    ExchangeRequest request;
    request.sender = {"control-0", "zone", system_.control(0).address, system_.control(0).public_address};
    request.proposals.push_back(
        {shard, Encode(Envelope{"earlier version/" + std::to_string(++appended_), command})});
    for (std::size_t i = 0; i < system_.controls(); ++i)
      system_.control(i).core->OnExchangeRequest(request, system_.now());
    system_.Run(1'000'000);
  }
  void AppendUnchecked(const configuration::Change& change) {
    AppendUnchecked(kConfigurationShard, Encode(ConfigurationCommand(change)));
  }

  // Ends all processes and starts them from their disks.
  void Restart() {
    for (std::size_t i = 0; i < system_.controls(); ++i) system_.Kill(i);
    for (std::size_t i = 0; i < system_.controls(); ++i) system_.Start(i);
    system_.Run(1'000'000);
  }
  // Whether all processes have applied `version`.
  bool IsInForceEverywhere(std::int64_t version) {
    for (std::size_t i = 0; i < system_.controls(); ++i)
      if (system_.control(i).core->configuration().version() != version) return false;
    return true;
  }
  VirtualSystem& virtual_system() { return system_; }

 private:
  VirtualSystem system_;
  int appended_ = 0;
};

// A patch of version 1 to version 2 with this `delete`.
std::string PatchThatDeletes(const json& remove) {
  json patch = json::parse(PatchDocument(2, 2000));
  patch["delete"] = remove;
  return patch.dump();
}

const json kItemInPlaceOfName = {{{"name", "old-customer"}}};

}  // namespace

// Such a patch once passed every check, and then ended each control process that applied the committed entry.
TEST_CASE("CONFIG: a patch that deletes something other than names is rejected without effect") {
  System system;
  for (const json& item :
       {json(kItemInPlaceOfName[0]), json(7), json(nullptr), json::array({"r0"}), json(true)}) {
    for (const char* list : {"routes", "backends", "tenants", "limits", "unknown"}) {
      const Answer answer = system.Change("PATCH", 1, PatchThatDeletes({{list, {"a-name", item}}}));
      CHECK(answer.status == 400);
      CHECK(answer.body.find("not a name") != std::string::npos);
    }
  }
  CHECK(system.ReadVersion() == 1);
  system.Restart();
  CHECK(system.ReadVersion() == 1);
  CHECK(system.Change("PATCH", 1, PatchThatDeletes({{"tenants", {"a-name"}}})).status == 200);
  CHECK(system.ReadVersion() == 2);
}

TEST_CASE("CONFIG: a log with a patch that deletes something other than names is applied without effect") {
  System system;
  const configuration::Change change{true, 1, PatchThatDeletes({{"tenants", kItemInPlaceOfName}})};
  system.AppendUnchecked(change);
  CHECK(system.IsInForceEverywhere(1));
  CHECK(system.ReadVersion() == 1);
  system.Restart();
  CHECK(system.ReadVersion() == 1);
  CHECK(system.Change("PATCH", 1, change.body).status == 400);
  CHECK(system.Change("PATCH", 1, PatchDocument(2, 2000)).status == 200);
  CHECK(system.IsInForceEverywhere(2));
}

// Earlier versions accepted such a patch if they read the complete document in place of the patch, or if the
// list was none that they know.
TEST_CASE("CONFIG: what an earlier version has accepted stays in force and is acknowledged again") {
  json unmergeable = json::parse(PatchThatDeletes({{"tenants", kItemInPlaceOfName}}));
  unmergeable["upsert"]["unknown"] = json::array();
  const std::vector<configuration::Change> changes = {{true, 1, PatchThatDeletes({{"unknown", {1, 2}}})},
                                                      {true, 1, unmergeable.dump()}};
  for (const configuration::Change& change : changes) {
    System system;
    system.AppendUnchecked(change);
    CHECK(system.IsInForceEverywhere(2));
    CHECK(system.Change("PATCH", 1, change.body).status == 200);
    system.Restart();
    CHECK(system.ReadVersion() == 2);
    CHECK(system.Change("PATCH", 1, change.body).status == 200);
  }
}

namespace {

// A list that nests `depth` levels deep around `inner`.
std::string Nested(std::size_t depth, const std::string& inner = "") {
  return std::string(depth, '[') + inner + std::string(depth, ']');
}

// Document(version) with one more member, `unknown`.
std::string DocumentWith(std::int64_t version, const std::string& unknown) {
  std::string document = Document(version);
  document.pop_back();
  return document + ",\"unknown\":" + unknown + "}";
}

// Document(version) with its list of routes inside `depth` further lists, which is read like a single list.
std::string DocumentWithNestedRoutes(std::int64_t version, std::size_t depth) {
  const std::string routes = json::parse(Document(version))["routes"].dump();
  return R"({"version":)" + std::to_string(version) + R"(,"backends":[{"name":"s"}],"routes":)" +
         Nested(depth, routes) + "}";
}

}  // namespace

// Such changes once ended each control process that applied them, by the end of its stack.
TEST_CASE("CONFIG: a change that nests too deeply is rejected without effect") {
  System system;
  const std::string route = testing::RouteDocument(0, 2000).dump();
  for (const std::size_t depth : {std::size_t{60'000}, std::size_t{1'000'000}}) {
    CHECK(system.Change("PUT", 1, DocumentWith(2, Nested(depth))).status == 400);
    CHECK(system.Change("PUT", 1, DocumentWithNestedRoutes(2, depth)).status == 400);
    const std::vector<std::string> members = {R"("unknown":)" + Nested(depth),
                                              R"("delete":{"unknown":)" + Nested(depth) + "}",
                                              R"("upsert":{"unknown":)" + Nested(depth) + "}",
                                              R"("upsert":{"routes":[)" + route.substr(0, route.size() - 1) +
                                                  R"(,"unknown":)" + Nested(depth) + "}]}"};
    for (const std::string& member : members)
      CHECK(system.Change("PATCH", 1, R"({"version":2,)" + member + "}").status == 400);
  }
  CHECK(system.IsInForceEverywhere(1));
  system.Restart();
  CHECK(system.ReadVersion() == 1);
  CHECK(system.Change("PUT", 1, DocumentWith(2, Nested(configuration::kMaxChangeDepth - 1))).status == 200);
}

TEST_CASE("CONFIG: a log with changes that nest too deeply is applied without effect") {
  System system;
  system.AppendUnchecked({false, 1, DocumentWith(2, Nested(60'000))});
  system.AppendUnchecked({false, 1, DocumentWith(2, Nested(1'000'000))});
  system.AppendUnchecked({true, 1, R"({"version":2,"upsert":{"unknown":{"a":)" + Nested(60'000) + "}}}"});
  CHECK(system.IsInForceEverywhere(1));
  system.Restart();
  CHECK(system.ReadVersion() == 1);
  CHECK(system.Change("PATCH", 1, PatchDocument(2, 2000)).status == 200);
}

TEST_CASE("CONFIG: deep changes that earlier versions have accepted stay in force, and can be patched") {
  constexpr std::size_t kDepth = 50'000;
  const std::vector<configuration::Change> changes = {
      {false, 1, DocumentWith(2, Nested(kDepth))},
      {false, 1, DocumentWithNestedRoutes(2, 15'000)},
      {true, 1, R"({"version":2,"unknown":)" + Nested(kDepth) + "}"},
      {true, 1, R"({"version":2,"upsert":{"unknown":{"a":)" + Nested(kDepth) + "}}}"},
      {true, 1, R"({"version":2,"delete":{"unknown":)" + Nested(kDepth) + "}}"}};
  for (const configuration::Change& change : changes) {
    System system;
    system.AppendUnchecked(change);
    CHECK(system.IsInForceEverywhere(2));
    CHECK(system.Change(change.patch ? "PATCH" : "PUT", 1, change.body).status == 200);
    system.Restart();
    CHECK(system.ReadVersion() == 2);
    CHECK(system.Change("PATCH", 2, PatchDocument(3, 3000)).status == 200);
    CHECK(system.virtual_system().RunUntil(
        [&] {
          return system.IsInForceEverywhere(3) && system.virtual_system().sidecar(0).view->version() == 3;
        },
        kTimeout));
  }
}

// Answers that quoted such a request once ended the process: JSON cannot represent it.
TEST_CASE("Requests that are not UTF-8 are rejected, and the process goes on") {
  System system;
  const std::string not_utf8 = "\xf8";
  CHECK(system.Call("GET", "/" + not_utf8, "").status == 404);
  CHECK(system.Call(not_utf8, "/", "").status == 404);
  const std::vector<std::string> heartbeats = {"{\"backend\":\"\xc3",
                                               "{\"backend\":\"s\xf8\",\"address\":\"10.0.1.1:80\"}",
                                               "{\"backend\":\"s\",\"address\":\"10.0.1.1:80\",\"models\":[{"
                                               "\"name\":\"m\",\"adapters\":[\"\xf8\"]}]}"};
  for (const std::string& body : heartbeats) {
    const Answer answer = system.Call("PUT", "/api/instances/i-1", body);
    CHECK(answer.status == 400);
    CHECK(json::accept(answer.body));
  }
  CHECK(system.ReadVersion() == 1);
}

// The snapshot of a departure with such an id once ended each control process, again after each start.
TEST_CASE("DRAIN: departures with ids that are not UTF-8 are rejected, and those in a log stay in force") {
  const std::string id = "i-\xf8";
  System system;
  CHECK(system.Call("DELETE", "/api/instances/" + id, "").status == 400);
  CHECK(system.Call("PUT", "/api/instances/" + id, R"({"backend":"s","address":"10.0.1.1:80"})").status ==
        400);
  constexpr int kServiceShard = 1;
  system.AppendUnchecked(kServiceShard, Encode(DeregistrationCommand{id, Phase::kDeregistered}));
  // More departures than the log holds before a snapshot replaces it.
  for (int departure = 0; departure < 300; ++departure)
    CHECK(system.Call("DELETE", "/api/instances/i-" + std::to_string(departure), "").status == 200);
  const auto is_deregistered = [&] {
    for (std::size_t i = 0; i < system.virtual_system().controls(); ++i)
      if (system.virtual_system().control(i).core->shards().Deregistered(id) != Phase::kDeregistered)
        return false;
    return true;
  };
  CHECK(is_deregistered());
  system.Restart();
  CHECK(is_deregistered());
  CHECK(system.virtual_system().violations().empty());
}

namespace {

// Document(2) whose service has the model m with adapters.
std::string DocumentWithModel() {
  json document = json::parse(Document(2));
  document["backends"][0]["runtime"] = {{"capacity", 8},
                                        {"weights_mb", 1000},
                                        {"max_adapters", 4},
                                        {"loads_per_s", 10},
                                        {"models",
                                         {{{"name", "m"},
                                           {"weights_mb", 100},
                                           {"load_time_s", 0.1},
                                           {"adapters", 9},
                                           {"adapter_size_mb", 1}}}}};
  return document.dump();
}

}  // namespace

// The body of an order to load such an adapter, which a client names, once ended the process that sent it.
TEST_CASE(
    "Demand for an adapter whose name is not UTF-8 leads to no order, and the watch that reports it "
    "succeeds") {
  std::set<int> statuses;  // of the watches, which may be answered later
  System system;
  REQUIRE(system.Change("PUT", 1, DocumentWithModel()).status == 200);
  VirtualSystem& virtual_system = system.virtual_system();
  std::set<std::string> ordered;
  virtual_system.on_order = [&](std::size_t, const PlacementCall& call, consensus::Term) {
    ordered.insert(call.adapter);
  };
  virtual_system.on_report_request = [&](std::size_t control, const PlacementCall& call) {
    virtual_system.After(5'000, [&, control, id = call.instance] {
      virtual_system.control(control).core->OnServerReport(id, ServerReport{false, 0, {{"m", 1, {}}}},
                                                           virtual_system.now());
    });
  };
  std::int64_t sequence = 0;
  const auto report = [&](const std::vector<ModelDemand>& demand) {
    for (int round = 0; round < 12; ++round) {
      json heartbeat = {{"backend", "s"},
                        {"address", "10.0.1.1:80"},
                        {"sequence", ++sequence},
                        {"models", {{{"name", "m"}, {"version", 1}}}}};
      CHECK(system.Call("PUT", "/api/instances/i-1", heartbeat.dump()).status == 200);
      WatchRequest watch;
      watch.node = "edge-0";
      watch.demand = demand;
      for (std::size_t i = 0; i < virtual_system.controls(); ++i) {
        HandleInternal(*virtual_system.control(i).core, {"POST", kWatchPath, Encode(watch), {}},
                       virtual_system.now(),
                       [&](const http::Response& response) { statuses.insert(response.status); });
      }
      virtual_system.Run(250'000);
    }
  };
  report({{"s", "m/\xf8", 1, 100, 1}, {"\xf8", "m", 1, 100, 1}});
  CHECK(ordered.empty());
  report({{"s", "m/\xf8", 1, 100, 1}, {"s", "m/a", 1, 100, 1}});
  CHECK(ordered == std::set<std::string>{"a"});
  CHECK(statuses.count(400) == 0);
}

// The snapshot of a log with such a name once ended each control process, again after each start.
TEST_CASE("CONFIG: a log with commands of duties whose names are not UTF-8 is applied and saved") {
  System system;
  system.AppendUnchecked(kConfigurationShard,
                         Encode(ConfigurationCommand(duties::RecordUsage{7, {{"t", 1}, {"t\xf8", 2}}})));
  system.AppendUnchecked(kConfigurationShard,
                         Encode(ConfigurationCommand(duties::AcquireLease{"\xf8", "\xf8", 0, 1})));
  // More changes than the log holds before a snapshot replaces it.
  for (std::int64_t version = 1; version < 200; ++version)
    CHECK(system.Change("PATCH", version, PatchDocument(version + 1, 1000)).status == 200);
  system.Restart();
  CHECK(system.ReadVersion() == 200);
  const auto& usage = system.virtual_system().control(0).core->shards().duties().usage();
  REQUIRE(usage.count(7) == 1);
  CHECK(usage.at(7).counts == duties::UsageCounts{{"t", 1}});
}

}  // namespace violetwing
