// Which server the load balancer picks for a request.
#include "dataplane/load_balancing/load_balancer.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <set>
#include <string>

#include "testing/model_servers.hpp"

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;

Directory TenServers(int number, int sidecars) { return testing::ModelServers(10, number, sidecars); }

}  // namespace

TEST_CASE("Windows begin at offsets spread evenly over the ring") {
  std::set<std::size_t> offsets;
  for (int number = 0; number < 5; ++number) offsets.insert(WindowOffset(number, 5, 10));
  CHECK(offsets == std::set<std::size_t>{0, 2, 4, 6, 8});
  CHECK(WindowOffset(7, 3, 10) < 10);
  CHECK(WindowOffset(0, 0, 0) == 0);
}

TEST_CASE("The less loaded server is picked, and ejected, attempted and wrong servers are skipped") {
  const Directory directory = TenServers(0, 1);
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

TEST_CASE("An ejected server is picked if there is no other, but not one that lacks the model") {
  Directory directory = TenServers(0, 1);
  const std::vector<const Instance*> candidates = {directory.Servers("s")[0]};
  LoadBalancer load_balancer(1);
  const RequestAttributes attributes{"m", "", nullptr, 0, {}, 0};
  for (int i = 0; i < 5; ++i) load_balancer.OnEnd("i-0", AttemptResult::kReset, attributes, false, kSecond);
  CHECK(load_balancer.PickServer(candidates, directory, attributes, kSecond) != nullptr);
  load_balancer.OnEnd("i-0", AttemptResult::kWrongServer, attributes, true, kSecond);
  CHECK(load_balancer.PickServer(candidates, directory, attributes, kSecond) == nullptr);
}

TEST_CASE("A prompt prefers the server that has its prefix cached, unless that server is much busier") {
  const Directory directory = TenServers(0, 1);
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

TEST_CASE("Among servers of similar load, an open connection decides, then the zone") {
  Directory base = TenServers(0, 1);
  std::map<std::string, Instance> instances;
  for (const Instance* instance : base.Servers("s")) {
    instances[instance->id] = *instance;
    instances[instance->id].zone = instance->id == "i-4" ? "own" : "other";
  }
  const Directory directory(nullptr, instances, 0, 1);
  const std::vector<PromptPart> parts = ParsePromptParts("91:3000");  // a single part: no affinity servers
  std::string connected;
  LoadBalancer load_balancer(1);
  load_balancer.SetLocality("own", [&](const std::string& id) { return id == connected; });
  RequestAttributes attributes{"m", "", &parts, 3000, {}, 0};
  const auto picked = [&] {
    return load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond)->id;
  };
  CHECK(picked() == "i-4");
  connected = "i-6";
  CHECK(picked() == "i-6");
  const std::vector<PromptPart> other_parts = ParsePromptParts("bb:9000");
  RequestAttributes large{"other", "", &other_parts, 9000, {}, 0};
  load_balancer.OnSent("i-6", large, kSecond);
  CHECK(picked() == "i-4");
}

TEST_CASE("Without prompt parts, an open connection decides between equally busy servers") {
  const Directory directory = TenServers(0, 1);
  LoadBalancer load_balancer(1);
  load_balancer.SetLocality("", [](const std::string& id) { return id == "i-3"; });
  std::map<std::string, int> sent;
  for (int i = 0; i < 400; ++i)
    ++sent[load_balancer.PickServer(directory.Servers("s"), directory, {}, kSecond)->id];
  // In about a quarter of the random pairs, and picked in each of them; without the connection, in half.
  CHECK(sent["i-3"] > 75);
  CHECK(sent.size() == 8);
}

TEST_CASE("All sidecars agree on the affinity servers of a shared prefix") {
  const std::vector<PromptPart> parts = ParsePromptParts("5c:6000,91:3000");
  std::set<std::string> picked;
  for (int number = 0; number < 9; ++number) {
    const Directory directory = TenServers(number, 9);
    LoadBalancer load_balancer(static_cast<std::uint64_t>(number));
    picked.insert(
        load_balancer.PickServer(directory.Servers("s"), directory, {"m", "", &parts, 9000, {}, 0}, kSecond)
            ->id);
  }
  CHECK(picked.size() <= 2);
}

TEST_CASE("Prompts queued for prefill count as load of their server") {
  const Directory directory = TenServers(0, 1);
  LoadBalancer load_balancer(1);
  const std::vector<PromptPart> parts = ParsePromptParts("5c:6000,91:3000");
  RequestAttributes attributes{"m", "", &parts, 9000, {}, 0};
  const Instance* first = load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond);
  std::vector<RequestAttributes> sent(4, attributes);
  const std::vector<PromptPart> other_parts = ParsePromptParts("aa:1,bb:9000");
  for (RequestAttributes& queued : sent) {
    queued.prompt_parts = &other_parts;
    queued.model = "other";
    load_balancer.OnSent(first->id, queued, kSecond);
  }
  CHECK(load_balancer.PickServer(directory.Servers("s"), directory, attributes, kSecond) != first);
}

}  // namespace violetwing
