// Routes, windows, choices, budgets and guesses of what servers keep.
#include <catch2/catch.hpp>
#include <set>

#include "common/node_settings.hpp"
#include "dataplane/control_client/control_process_selector.hpp"
#include "dataplane/directory/directory.hpp"
#include "dataplane/directory/route_table.hpp"
#include "dataplane/http/http_text.hpp"
#include "dataplane/load_balancing/load_balancer.hpp"
#include "dataplane/routing/retry_backoff.hpp"
#include "dataplane/routing/retry_budget.hpp"
#include "testing/model_servers.hpp"

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;

Directory Ten(int number, int sidecars) { return testing::ModelServers(10, number, sidecars); }

}  // namespace

TEST_CASE("A sidecar that began at a seed of another zone asks its own zone's control process") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "near", "near:1", ""}};
  ControlProcessSelector choice("near", "edge-1");
  choice.SetSeeds({"far:1"});
  REQUIRE(choice.Current({}) == "far:1");
  choice.OnAnswered(known, kSecond);
  CHECK(choice.Current(known) == "near:1");
}

TEST_CASE("After a failure in its own zone a sidecar asks elsewhere, and comes back some time later") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "near", "near:1", ""}};
  ControlProcessSelector choice("near", "edge-1");
  REQUIRE(choice.Current(known) == "near:1");
  choice.OnFailed(known, kSecond);
  CHECK(choice.Current(known) == "far:1");
  choice.OnAnswered(known, 2 * kSecond);
  CHECK(choice.Current(known) == "far:1");
  choice.OnAnswered(known, 10 * kSecond);
  CHECK(choice.Current(known) == "near:1");
}

TEST_CASE("Where the own zone has no control process, one that answers is kept") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "further", "further:1", ""}};
  ControlProcessSelector choice("near", "edge-1");
  choice.SetSeeds({"far:1"});
  REQUIRE(choice.Current({}) == "far:1");
  for (Micros now = kSecond; now < 20 * kSecond; now += kSecond) {
    choice.OnAnswered(known, now);
    CHECK(choice.Current(known) == "far:1");
  }
}

TEST_CASE("The control processes of a zone share its sidecars, also those of one that has failed") {
  constexpr int kSidecars = 90;
  const std::vector<ControlNode> known{{"c0", "far", "far:1", ""},
                                       {"c1", "near", "near:1", ""},
                                       {"c2", "near", "near:2", ""},
                                       {"c3", "near", "near:3", ""}};
  std::map<std::string, int> asked;
  std::map<std::string, int> asked_after;
  for (int i = 0; i < kSidecars; ++i) {
    ControlProcessSelector choice("near", "edge-" + std::to_string(i));
    choice.SetSeeds({"far:1", "near:1"});
    choice.Current({});
    choice.OnAnswered(known, kSecond);
    ++asked[choice.Current(known)];
    if (choice.Current(known) != "near:1") continue;
    choice.OnFailed(known, 2 * kSecond);
    ++asked_after[choice.Current(known)];
  }
  CHECK(asked.size() == 3);
  for (const auto& [address, count] : asked) CHECK((count > kSidecars / 5 && count < kSidecars / 2));
  CHECK(asked_after.size() == 2);
  CHECK(asked_after.count("far:1") == 0);
}

TEST_CASE("A directory made of another one with other servers finds the same routes") {
  const auto read = configuration::Read(R"({"version": 1, "backends": [{"name": "s"}], "routes": [
    {"name": "r", "hostname": "a.example", "path_prefix": "/", "type": "idempotent", "timeout_ms": 1, "backend": "s"}]})");
  Instance server;
  server.id = "i";
  server.backend = "s";
  server.phase = Phase::kReady;
  auto before =
      std::make_unique<const Directory>(read.configuration, std::map<std::string, Instance>{}, 0, 1);
  const configuration::Route* const route = before->routes().Match("a.example", "/x");
  REQUIRE(route != nullptr);
  const Directory after(*before, {{"i", server}}, 1, 2);
  before.reset();
  CHECK(after.routes().Match("a.example", "/x") == route);
  CHECK(after.version() == 1);
  CHECK(after.Servers("s").size() == 1);
  CHECK(after.number() == 1);
}

TEST_CASE("The route of the host with the longest prefix is taken") {
  const auto read = configuration::Read(R"({"version": 1, "backends": [{"name": "s"}], "routes": [
    {"name": "short", "hostname": "A.example", "path_prefix": "/x/", "type": "idempotent", "timeout_ms": 1, "backend": "s"},
    {"name": "long", "hostname": "a.example", "path_prefix": "/x/y/", "type": "idempotent", "timeout_ms": 1, "backend": "s"},
    {"name": "other", "hostname": "b.example", "path_prefix": "/", "type": "idempotent", "timeout_ms": 1, "backend": "s"}]})");
  REQUIRE(read.configuration != nullptr);
  const RouteTable routes(*read.configuration);
  CHECK(routes.Match("a.example", "/x/z")->name == "short");
  CHECK(routes.Match("a.example:8080", "/x/y/z?q=/x/")->name == "long");
  CHECK(routes.Match("a.example", "/x/y")->name == "short");
  CHECK(routes.Match("a.example", "/xy/") == nullptr);
  CHECK(routes.Match("a.example", "/?/x/y/") == nullptr);
  CHECK(routes.Match("b.example", "/x/y/z")->name == "other");
  CHECK(routes.Match("c.example", "/x/") == nullptr);
}

TEST_CASE("Windows begin at offsets that spread over the ring") {
  std::set<std::size_t> offsets;
  for (int number = 0; number < 5; ++number) offsets.insert(WindowOffset(number, 5, 10));
  CHECK(offsets == std::set<std::size_t>{0, 2, 4, 6, 8});
  CHECK(WindowOffset(7, 3, 10) < 10);
  CHECK(WindowOffset(0, 0, 0) == 0);
}

TEST_CASE("Servers are found by the model, and by the adapter, that they have loaded") {
  const Directory directory = Ten(0, 1);
  CHECK(directory.ServersWithModel("s", "m", "").size() == 10);
  CHECK(directory.ServersWithModel("s", "m", "a1").size() == 3);
  CHECK(directory.ServersWithModel("s", "n", "").empty());
}

TEST_CASE("The less busy of the window is taken, and the refused, tried and ejected are passed over") {
  const Directory directory = Ten(0, 1);
  LoadBalancer load_balancer(1);
  RequestAttributes attributes;
  std::map<std::string, int> sent;
  for (int i = 0; i < 80; ++i) {
    const Instance* instance =
        load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond);
    REQUIRE(instance != nullptr);
    ++sent[instance->id];
    load_balancer.OnSent(instance->id, attributes, kSecond);
  }
  CHECK(sent.size() == 8);  // the window
  for (const auto& [id, count] : sent) CHECK(std::abs(count - 10) <= 4);
  load_balancer.OnEnd("i-0", AttemptResult::kWrongServer, attributes, true, kSecond);
  for (int i = 0; i < 3; ++i) load_balancer.OnEnd("i-1", AttemptResult::kReset, attributes, false, kSecond);
  attributes.attempted_servers = {"i-2"};
  for (int i = 0; i < 200; ++i) {
    const Instance* instance =
        load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond);
    REQUIRE(instance != nullptr);
    CHECK(instance->id != "i-0");
    CHECK(instance->id != "i-1");
    CHECK(instance->id != "i-2");
  }
}

TEST_CASE("An ejected server is taken rather than none, and one that lacks the model is not") {
  Directory directory = Ten(0, 1);
  const std::vector<const Instance*> one = {directory.Servers("s")[0]};
  LoadBalancer load_balancer(1);
  const RequestAttributes attributes{"m", "", nullptr, 0, {}, 0};
  for (int i = 0; i < 5; ++i) load_balancer.OnEnd("i-0", AttemptResult::kReset, attributes, false, kSecond);
  CHECK(load_balancer.PickServer(one, directory, attributes, kSecond) != nullptr);
  load_balancer.OnEnd("i-0", AttemptResult::kWrongServer, attributes, true, kSecond);
  CHECK(load_balancer.PickServer(one, directory, attributes, kSecond) == nullptr);
}

TEST_CASE("A prompt goes where its first parts are kept, unless that server is much busier") {
  const Directory directory = Ten(0, 1);
  LoadBalancer load_balancer(1);
  const std::vector<PromptPart> parts = ParsePromptParts("5c:6000,91:3000");
  RequestAttributes attributes{"m", "", &parts, 9000, {}, 0};
  const Instance* first = load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond);
  load_balancer.OnSent(first->id, attributes, kSecond);
  load_balancer.OnFirstByte(first->id, attributes, FirstByteKind::kExecuting, kSecond);
  for (int i = 0; i < 2; ++i) {
    CHECK(load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond) == first);
    load_balancer.OnSent(first->id, attributes, kSecond);
    load_balancer.OnFirstByte(first->id, attributes, FirstByteKind::kExecuting, kSecond);
  }
  for (int i = 0; i < 40; ++i) load_balancer.OnSent(first->id, attributes, kSecond);
  CHECK(load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond) != first);
}

TEST_CASE("Among servers about as busy, a kept connection decides, then the zone; a busy one is left") {
  Directory near = Ten(0, 1);
  std::map<std::string, Instance> instances;
  for (const Instance* instance : near.Servers("s")) {
    instances[instance->id] = *instance;
    instances[instance->id].zone = instance->id == "i-4" ? "own" : "other";
  }
  const Directory directory(nullptr, instances, 0, 1);
  const std::vector<PromptPart> parts = ParsePromptParts("91:3000");  // of its own alone: no homes
  std::string connected;
  LoadBalancer load_balancer(1);
  load_balancer.SetLocality("own", [&](const std::string& id) { return id == connected; });
  RequestAttributes attributes{"m", "", &parts, 3000, {}, 0};
  const auto chosen = [&] {
    return load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond)->id;
  };
  CHECK(chosen() == "i-4");
  connected = "i-6";
  CHECK(chosen() == "i-6");
  const std::vector<PromptPart> others = ParsePromptParts("bb:9000");
  RequestAttributes large{"other", "", &others, 9000, {}, 0};
  load_balancer.OnSent("i-6", large, kSecond);
  CHECK(chosen() == "i-4");
}

TEST_CASE("Where no prompts are told, a kept connection decides between servers as busy") {
  const Directory directory = Ten(0, 1);
  LoadBalancer load_balancer(1);
  load_balancer.SetLocality("", [](const std::string& id) { return id == "i-3"; });
  std::map<std::string, int> sent;
  for (int i = 0; i < 400; ++i)
    ++sent[load_balancer.PickServer(directory.Servers("s"), directory, {}, kSecond)->id];
  // Drawn in about a quarter of the pairs, and taken in each of them; half of these without it.
  CHECK(sent["i-3"] > 75);
  CHECK(sent.size() == 8);
}

TEST_CASE("All sidecars prefer the same servers for the shared parts of a prompt") {
  const std::vector<PromptPart> parts = ParsePromptParts("5c:6000,91:3000");
  std::set<std::string> chosen;
  for (int number = 0; number < 9; ++number) {
    const Directory directory = Ten(number, 9);
    LoadBalancer load_balancer(static_cast<std::uint64_t>(number));
    chosen.insert(
        load_balancer.PickServer(directory.Servers("s"), directory, {"m", "", &parts, 9000, {}, 0}, kSecond)
            ->id);
  }
  CHECK(chosen.size() <= 2);
}

TEST_CASE("Prompts that a server has yet to read count as its work") {
  const Directory directory = Ten(0, 1);
  LoadBalancer load_balancer(1);
  const std::vector<PromptPart> parts = ParsePromptParts("5c:6000,91:3000");
  RequestAttributes attributes{"m", "", &parts, 9000, {}, 0};
  const Instance* first = load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond);
  std::vector<RequestAttributes> sent(4, attributes);
  const std::vector<PromptPart> others = ParsePromptParts("aa:1,bb:9000");
  for (RequestAttributes& one : sent) {
    one.prompt_parts = &others;
    one.model = "other";
    load_balancer.OnSent(first->id, one, kSecond);
  }
  CHECK(load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond) != first);
}

TEST_CASE("A part counts as kept only after the same parts, and memory is bounded") {
  PrefixCache cache;
  const auto parts = ParsePromptParts("a:100,b:200,c:300");
  cache.Insert("m", parts, 1000);
  CHECK(cache.CachedTokens("m", parts) == 600);
  CHECK(cache.CachedTokens("m/a1", parts) == 0);
  CHECK(cache.CachedTokens("m", ParsePromptParts("b:200,a:100")) == 0);
  CHECK(cache.CachedTokens("m", ParsePromptParts("a:100,x:5,c:300")) == 100);
  cache.Insert("m", ParsePromptParts("z:900"), 1000);
  CHECK(cache.CachedTokens("m", parts) <= 100);
  CHECK(ParsePromptParts("a:1,b,c:3").size() == 1);
  CHECK(ParsePromptParts("a:-1").empty());
}

TEST_CASE("The sum of all sidecars' repeats keeps the budget of the service") {
  constexpr int kSidecars = 9;
  std::vector<RetryBudget> budgets(kSidecars, RetryBudget(0.2, 58, 10, 0));
  int spent = 0;
  for (Micros now = 20 * kSecond; now < 30 * kSecond; now += kSecond / 10)
    for (RetryBudget& budget : budgets) {
      budget.OnRequest("s", now);
      for (int i = 0; i < 5; ++i) spent += budget.TrySpend("s", kSidecars, now);
    }
  CHECK(spent <= 0.2 * 900 + 58);
  CHECK(spent >= 0.5 * (0.2 * 900 + 58));
}

TEST_CASE("A sidecar that has just started spends nothing of the slack") {
  RetryBudget budget(0.2, 58, 10, 0);
  CHECK_FALSE(budget.TrySpend("s", 1, kSecond));
  CHECK(budget.TrySpend("s", 1, 11 * kSecond));
}

TEST_CASE("Waits are jittered fully under a bound that doubles up to a cap") {
  Random random(1);
  Micros longest = 0;
  for (int i = 0; i < 1000; ++i) {
    const Micros wait = RetryBackoff(0, random);
    CHECK(wait >= 0);
    longest = std::max(longest, wait);
  }
  CHECK(longest <= 60'000);
  CHECK(longest > 50'000);
  longest = 0;
  for (int i = 0; i < 1000; ++i) longest = std::max(longest, RetryBackoff(3, random));
  CHECK(longest > 400'000);
  CHECK(longest <= 480'000);
  for (int i = 0; i < 100; ++i) CHECK(RetryBackoff(30, random) <= 2 * kSecond);
}

TEST_CASE("Settings are checked, each finding with its place, unknown fields are passed over") {
  std::string problem;
  const auto good = ParseSettings(R"({"node_name": "n", "ip": "10.0.0.1", "seed_nodes": ["10.0.0.2:80"],
    "ephemeral_ports": [7660, 7675], "new": {}, "data_dir": null, "timeouts": {"grace_s": 8}})",
                                  problem);
  REQUIRE(good.has_value());
  CHECK(good->InternalAddress() == "10.0.0.1:7660");
  CHECK(good->InternalAddressOf("10.0.0.2:80") == "10.0.0.2:7660");
  CHECK(good->grace_ms == 8000);
  CHECK_FALSE(
      ParseSettings(R"({"node_name": 7, "ephemeral_ports": [5], "timeouts": {"grace_s": 0}})", problem));
  for (const char* place : {"node_name:", "ip:", "seed_nodes:", "ephemeral_ports:", "timeouts.grace_s:"})
    CHECK(problem.find(place) != std::string::npos);
  CHECK(problem.find('\n') == std::string::npos);
  CHECK_FALSE(ParseSettings("{", problem));
}

}  // namespace violetwing
