// The placer: what it orders, and what it never orders.
#include <catch2/catch.hpp>
#include <ctime>

#include "control/placement/placer.hpp"

namespace violetwing {
namespace {

using configuration::Backend;
using configuration::Configuration;
using configuration::Runtime;

constexpr std::int64_t kSecond = 1'000'000;

// A service of servers with room for two models, and model servers that obey the orders on a virtual clock.
class World {
 public:
  explicit World(int servers) : table_("control", 3 * kSecond) {
    auto runtime = std::make_shared<Runtime>();
    runtime->weights_mb = 220;
    runtime->max_adapters = 2;
    runtime->loads_per_s = 2;
    for (int i = 0; i < 6; ++i) runtime->models.push_back({"m" + std::to_string(i), 100, 1.0, 3, 5});
    configuration_.version = 1;
    configuration_.backends.push_back(Backend{"llm", "/healthz", 100, runtime});
    for (int i = 0; i < servers; ++i) Add("s" + std::to_string(i));
    placer_.Begin(now_);
  }

  void Add(const std::string& id) {
    Model& model = models_[id];
    model.instance.id = id;
    model.instance.backend = "llm";
    model.instance.address = "10.0.0." + std::to_string(models_.size()) + ":80";
  }
  std::vector<HeldModel>& Held(const std::string& id) { return models_[id].instance.models; }
  bool Holds(const std::string& id, const std::string& model) {
    for (const HeldModel& held : Held(id))
      if (held.name == model) return true;
    return false;
  }
  int Copies(const std::string& model) {
    int copies = 0;
    for (auto& [id, server] : models_) copies += Holds(id, model);
    return copies;
  }
  void Ask(const std::string& model, double requests, double tokens, int waiting) {
    placer_.CountDemand({"llm", model, requests, tokens, waiting}, now_);
  }
  std::optional<std::int64_t> NextDueAt() const { return placer_.NextDueAt(); }
  // Another placer's order, of which this one hears nothing.
  void OrderBehindItsBack(const std::string& id, const std::string& model) {
    ++models_[id].revision;
    Held(id).push_back({model, 1, {}});
  }
  void Run(std::int64_t span) {
    for (const std::int64_t until = now_ + span; now_ < until; now_ += 10'000) Step();
  }
  void HandOver() { placer_.Begin(now_); }
  std::int64_t now() const { return now_; }
  const std::vector<std::int64_t>& loads() const { return loads_; }
  int overfilled() const { return overfilled_; }
  bool lose_answers = false;

 private:
  struct Model {
    Instance instance;
    std::int64_t revision = 0;
    std::int64_t busy_until = 0;
    PlacementCall order;
  };

  void Step() {
    for (auto& [id, server] : models_) {
      if (server.busy_until > 0 && now_ >= server.busy_until) Finish(server);
      if (now_ % kSecond == 0) {
        ++server.instance.sequence;
        table_.Heartbeat(server.instance, now_);
      }
    }
    for (const PlacementCall& call : placer_.Plan(configuration_, table_, now_)) {
      Model& server = models_[call.instance];
      if (call.kind == PlacementCall::Kind::kReport) {
        placer_.OnReport(call.instance,
                         ServerReport{server.busy_until > 0, server.revision, server.instance.models}, now_);
        continue;
      }
      const int status = Take(server, call);
      placer_.OnAnswer(call, lose_answers ? 0 : status, now_);
    }
  }

  int Take(Model& server, const PlacementCall& call) {
    const bool load = call.kind == PlacementCall::Kind::kLoad;
    if (server.busy_until == 0 && HoldsExactly(server, call) == load) return 200;
    if (server.busy_until > 0) return 409;
    if (call.if_revision && *call.if_revision != server.revision) return 409;
    ++server.revision;
    server.order = call;
    server.busy_until = now_ + (load ? (call.adapter.empty() ? kSecond : 10'000) : 20'000);
    if (load && call.adapter.empty()) loads_.push_back(now_);
    return 202;
  }
  static bool HoldsExactly(const Model& server, const PlacementCall& call) {
    for (const HeldModel& held : server.instance.models) {
      if (held.name != call.model) continue;
      if (call.adapter.empty()) return true;
      for (const std::string& adapter : held.adapters)
        if (adapter == call.adapter) return true;
    }
    return false;
  }
  void Finish(Model& server) {
    server.busy_until = 0;
    auto& models = server.instance.models;
    const PlacementCall& order = server.order;
    const bool load = order.kind == PlacementCall::Kind::kLoad;
    if (order.adapter.empty()) {
      std::erase_if(models, [&](const HeldModel& held) { return held.name == order.model; });
      if (load) models.push_back({order.model, 1, {}});
    } else {
      for (HeldModel& held : models) {
        if (held.name != order.model) continue;
        std::erase(held.adapters, order.adapter);
        if (load) held.adapters.push_back(order.adapter);
      }
    }
    std::size_t adapters = 0;
    for (const HeldModel& held : models) adapters += held.adapters.size();
    overfilled_ += models.size() > 2 || adapters > 2;
  }

  std::int64_t now_ = 10 * kSecond;
  InstanceTable table_;
  Configuration configuration_;
  Placer placer_;
  std::map<std::string, Model> models_;
  std::vector<std::int64_t> loads_;
  int overfilled_ = 0;
};

// Processor time of some plans before so many servers that are full with as many models, all of them in
// demand.
double PlanSeconds(int size) {
  auto runtime = std::make_shared<Runtime>();
  runtime->weights_mb = 220;
  runtime->loads_per_s = 1;
  InstanceTable table("control", 3 * kSecond);
  const auto name = [size](int i) { return "model-" + std::to_string(i % size); };
  for (int i = 0; i < size; ++i) runtime->models.push_back({name(i), 100, 1.0, 3, 5});
  Configuration configuration;
  configuration.backends.push_back(Backend{"llm", "/healthz", 100, runtime});
  Placer placer;
  placer.Begin(kSecond);
  for (int i = 0; i < size; ++i) {
    Instance instance;
    instance.id = "server-" + std::to_string(i);
    instance.backend = "llm";
    instance.models = {{name(i), 1, {}}, {name(i + 1), 1, {}}};
    table.Heartbeat(instance, kSecond);
    placer.CountDemand({"llm", name(i * i), 1.0 + i % 7, 1000, i % 5 == 0 ? 1 : 0}, kSecond);
  }
  for (const PlacementCall& call : placer.Plan(configuration, table, kSecond))
    placer.OnReport(call.instance, ServerReport{false, 0, table.Find(call.instance)->instance.models},
                    kSecond);
  const std::clock_t begin = std::clock();
  // A second each: the rate of the weight store lets a model be placed in each plan.
  for (int plan = 1; plan <= 10; ++plan) placer.Plan(configuration, table, (1 + plan) * kSecond);
  return static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
}

}  // namespace

// Ten times the models and servers take some ten times as long. By their product it would be a hundred times,
// and a placer that plans for so long loses its lease as soon as it begins.
TEST_CASE("A plan costs models plus servers, not their product") {
  CHECK(PlanSeconds(600) < 40 * PlanSeconds(60));
}

TEST_CASE("A model that a request waits for is loaded where there is room") {
  World world(2);
  world.Run(2 * kSecond);
  world.Ask("m0", 1, 1000, 1);
  world.Run(2 * kSecond);
  CHECK(world.Copies("m0") == 1);
  CHECK(world.loads().size() == 1);
}

TEST_CASE("Room is made by unloading what nobody asks for, and nothing is overfilled") {
  World world(1);
  world.Held("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  world.Run(2 * kSecond);
  world.Ask("m1", 5, 5000, 0);
  world.Ask("m2", 1, 1000, 1);
  world.Run(2 * kSecond);
  CHECK(world.Holds("s0", "m1"));
  CHECK(world.Holds("s0", "m2"));
  CHECK_FALSE(world.Holds("s0", "m0"));
  CHECK(world.overfilled() == 0);
}

TEST_CASE("An order behind the placer's back is found out before it orders too much") {
  World world(1);
  world.Held("s0") = {{"m0", 1, {}}};
  world.Run(2 * kSecond);
  world.OrderBehindItsBack("s0", "m1");  // no heartbeat since
  world.Ask("m2", 1, 1000, 1);
  world.Run(400'000);
  world.Ask("m2", 0, 0, 1);
  world.Run(3 * kSecond);
  CHECK(world.overfilled() == 0);
  CHECK(world.Holds("s0", "m2"));
}

TEST_CASE("Orders without an answer are not given again blindly") {
  World world(1);
  world.Held("s0") = {{"m0", 1, {}}};
  world.Run(2 * kSecond);
  world.lose_answers = true;
  for (int i = 0; i < 12; ++i) {
    world.Ask("m1", 1, 1000, 1);
    world.Ask("m2", 1, 1000, 1);
    world.Run(kSecond / 2);
  }
  CHECK(world.overfilled() == 0);
  CHECK(world.loads().size() <= 4);
}

TEST_CASE("A busy model gets copies by its work, and a rare one keeps its last") {
  World world(4);
  world.Held("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  world.Held("s1") = {{"m2", 1, {}}};
  world.Run(2 * kSecond);
  for (int i = 0; i < 40; ++i) {
    world.Ask("m0", 5, 8000, 0);
    if (i % 10 == 0) world.Ask("m1", 1, 1000, 0);
    if (i % 10 == 0) world.Ask("m2", 1, 1000, 0);
    world.Run(kSecond / 4);
  }
  CHECK(world.Copies("m0") >= 2);
  CHECK(world.Copies("m1") == 1);
  CHECK(world.Copies("m2") == 1);
}

TEST_CASE("What is due next is told, so that orders need not wait for a tick") {
  World world(1);
  world.Held("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  world.Run(2 * kSecond);
  CHECK_FALSE(world.NextDueAt());
  world.Ask("m2", 1, 10, 1);
  world.Run(10'000);  // room is made, once sidecars have heard of it
  REQUIRE(world.NextDueAt());
  CHECK(*world.NextDueAt() > world.now());
  CHECK(*world.NextDueAt() <= world.now() + 150'000);
}

TEST_CASE("A model whose one copy is overloaded gets a second one before single requests get theirs") {
  World world(4);
  world.Held("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  for (const char* id : {"s1", "s2", "s3"}) world.Held(id) = {{"m1", 1, {}}};
  world.Run(2 * kSecond);
  // Rare models are waited for all the time, more of them than the weight store can bring at once.
  for (int i = 0; i < 24; ++i) {
    world.Ask("m0", 1, 1000, 0);
    world.Ask("m1", 1, 1000, 0);
    for (const char* rare : {"m2", "m3", "m4", "m5"}) world.Ask(rare, 0.1, 10, 1);
    world.Run(kSecond / 10);
  }
  CHECK(world.Copies("m0") >= 2);
}

TEST_CASE("A model just loaded is not unloaded for the next one before those who waited are served") {
  World world(2);
  world.Held("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  world.Held("s1") = {{"m0", 1, {}}, {"m4", 1, {}}};
  world.Run(2 * kSecond);
  const auto others = [&] {  // all that the servers hold beside it is asked for all the time
    for (const char* held : {"m0", "m1"}) world.Ask(held, 1, 1000, 0);
  };
  world.Ask("m2", 0.1, 10, 1);
  for (int i = 0; i < 50 && world.Copies("m2") == 0; ++i) {
    others();
    world.Run(kSecond / 10);
  }
  REQUIRE(world.Copies("m2") == 1);
  world.Ask("m3", 0.1, 10, 1);
  for (int i = 0; i < 15; ++i) {
    others();
    world.Run(kSecond / 10);
    CHECK(world.Copies("m2") == 1);
  }
}

// An unload waits for the model's runs, for seconds on a busy server: a model that many ask for goes where
// none runs.
TEST_CASE("A rising model takes the place of an idle one before that of a spare copy on which requests run") {
  World world(3);
  for (int i = 0; i < 3; ++i)
    world.Held("s" + std::to_string(i)) = {{"m0", 1, {}}, {"m" + std::to_string(1 + i), 1, {}}};
  for (int i = 1; i <= 3; ++i) world.Ask("m" + std::to_string(i), 1, 100, 0);
  world.Run(20 * kSecond);
  for (int i = 0; i < 10; ++i) {
    world.Ask("m0", 0.1, 1, 0);
    world.Run(kSecond / 10);
  }
  world.Ask("m5", 1, 1000, 1);
  for (int i = 0; i < 30 && world.Copies("m5") == 0; ++i) {
    world.Ask("m0", 0.1, 1, 0);
    world.Run(kSecond / 10);
  }
  CHECK(world.Copies("m5") == 1);
  CHECK(world.Copies("m0") == 3);
}

TEST_CASE("Of the models that are waited for, one that many ask for goes before single requests") {
  World world(2);
  world.Run(kSecond);
  world.HandOver();  // no loads are left for a moment
  for (const char* rare : {"m0", "m1", "m2", "m3"}) world.Ask(rare, 1, 10, 1);
  world.Run(kSecond / 10);
  world.Ask("m5", 4, 40, 1);
  for (int i = 0; i < 15; ++i) {
    for (const char* model : {"m0", "m1", "m2", "m3", "m5"}) world.Ask(model, 0, 0, 1);
    world.Run(kSecond / 10);
  }
  CHECK(world.Copies("m5") == 1);
}

TEST_CASE("Loads keep the rate of the weight store, also over a change of the placer") {
  World world(12);
  world.Run(2 * kSecond);
  for (int i = 0; i < 100; ++i) {
    for (int m = 0; m < 6; ++m) world.Ask("m" + std::to_string(m), 20, 60000, 1);
    if (i == 40) world.HandOver();
    world.Run(kSecond / 10);
  }
  const std::vector<std::int64_t>& loads = world.loads();
  REQUIRE(loads.size() > 8);
  for (std::size_t first = 0; first < loads.size(); ++first) {
    std::size_t within = 0;
    for (std::size_t i = first; i < loads.size() && loads[i] < loads[first] + 5 * kSecond; ++i) ++within;
    CHECK(static_cast<double>(within) <= 2 * 5 * 1.1 + 3);
  }
}

TEST_CASE("Adapters take the place of those asked for longest ago") {
  World world(1);
  world.Held("s0") = {{"m0", 1, {}}};
  world.Run(2 * kSecond);
  for (const char* adapter : {"m0/a1", "m0/a2", "m0/a3"}) {
    world.Ask(adapter, 1, 1000, 1);
    world.Run(kSecond);
  }
  REQUIRE(world.Held("s0").size() == 1);
  CHECK(world.Held("s0")[0].adapters == std::vector<std::string>{"a2", "a3"});
  CHECK(world.overfilled() == 0);
}

}  // namespace violetwing
