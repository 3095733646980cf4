// Which orders the placer sends to model servers, and which it must never send.
#include "control/placement/placer.hpp"

#include <catch2/catch.hpp>
#include <ctime>

namespace violetwing {
namespace {

using configuration::Backend;
using configuration::Configuration;
using configuration::Runtime;

constexpr std::int64_t kSecond = 1'000'000;

// A placer and the servers of one service, which execute its orders on a virtual clock. Each server has
// memory for two models and two adapters.
class ServerSimulation {
 public:
  explicit ServerSimulation(int servers) : table_("control", 3 * kSecond) {
    auto runtime = std::make_shared<Runtime>();
    runtime->weights_mb = 220;
    runtime->max_adapters = 2;
    runtime->loads_per_s = 2;
    for (int i = 0; i < 6; ++i) runtime->models.push_back({"m" + std::to_string(i), 100, 1.0, 3, 5});
    configuration_.version = 1;
    configuration_.backends.push_back(Backend{"llm", "/healthz", 100, runtime});
    for (int i = 0; i < servers; ++i) AddServer("s" + std::to_string(i));
    placer_.BeginTerm(now_);
  }

  void AddServer(const std::string& id) {
    Server& server = servers_[id];
    server.instance.id = id;
    server.instance.backend = "llm";
    server.instance.address = "10.0.0." + std::to_string(servers_.size()) + ":80";
  }
  std::vector<HeldModel>& ModelsAt(const std::string& id) { return servers_[id].instance.models; }
  bool Holds(const std::string& id, const std::string& model) {
    for (const HeldModel& held : ModelsAt(id))
      if (held.name == model) return true;
    return false;
  }
  int Replicas(const std::string& model) {
    int replicas = 0;
    for (auto& [id, server] : servers_) replicas += Holds(id, model);
    return replicas;
  }
  void ReportDemand(const std::string& model, double requests, double tokens, int waiting) {
    placer_.RecordDemand({"llm", model, requests, tokens, waiting}, now_);
  }
  std::optional<std::int64_t> NextDueAt() const { return placer_.NextDueAt(); }
  // The server accepts an order of another placer, without the knowledge of the placer under test.
  void AcceptForeignOrder(const std::string& id, const std::string& model) {
    ++servers_[id].revision;
    ModelsAt(id).push_back({model, 1, {}});
  }
  void Run(std::int64_t span) {
    for (const std::int64_t until = now_ + span; now_ < until; now_ += 10'000) Step();
  }
  void RestartTerm() { placer_.BeginTerm(now_); }
  std::int64_t now() const { return now_; }
  const std::vector<std::int64_t>& loads() const { return loads_; }
  int servers_over_capacity() const { return servers_over_capacity_; }
  bool drop_answers = false;

 private:
  struct Server {
    Instance instance;
    std::int64_t revision = 0;
    std::int64_t busy_until = 0;
    PlacementCall order;  // the latest accepted order
  };

  void Step() {
    for (auto& [id, server] : servers_) {
      if (server.busy_until > 0 && now_ >= server.busy_until) FinishOrder(server);
      if (now_ % kSecond == 0) {
        ++server.instance.sequence;
        table_.Heartbeat(server.instance, now_);
      }
    }
    for (const PlacementCall& call : placer_.Plan(configuration_, table_, now_)) {
      Server& server = servers_[call.instance];
      if (call.kind == PlacementCall::Kind::kReport) {
        placer_.OnReport(call.instance,
                         ServerReport{server.busy_until > 0, server.revision, server.instance.models}, now_);
        continue;
      }
      const int status = AcceptOrder(server, call);
      placer_.OnOrderAnswered(call, OrderStatusOf(drop_answers ? 0 : status), now_);
    }
  }

  int AcceptOrder(Server& server, const PlacementCall& call) {
    const bool load = call.kind == PlacementCall::Kind::kLoad;
    if (server.busy_until == 0 && HasWeights(server, call) == load) return 200;
    if (server.busy_until > 0) return 409;
    if (call.if_revision && *call.if_revision != server.revision) return 409;
    ++server.revision;
    server.order = call;
    server.busy_until = now_ + (load ? (call.adapter.empty() ? kSecond : 10'000) : 20'000);
    if (load && call.adapter.empty()) loads_.push_back(now_);
    return 202;
  }
  static bool HasWeights(const Server& server, const PlacementCall& call) {
    for (const HeldModel& held : server.instance.models) {
      if (held.name != call.model) continue;
      if (call.adapter.empty()) return true;
      for (const std::string& adapter : held.adapters)
        if (adapter == call.adapter) return true;
    }
    return false;
  }
  void FinishOrder(Server& server) {
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
    servers_over_capacity_ += models.size() > 2 || adapters > 2;
  }

  std::int64_t now_ = 10 * kSecond;
  InstanceTable table_;
  Configuration configuration_;
  Placer placer_;
  std::map<std::string, Server> servers_;
  std::vector<std::int64_t> loads_;
  int servers_over_capacity_ = 0;
};

// Returns the CPU time, in seconds, of ten plans for `size` full servers and `size` models that are all in
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
  placer.BeginTerm(kSecond);
  for (int i = 0; i < size; ++i) {
    Instance instance;
    instance.id = "server-" + std::to_string(i);
    instance.backend = "llm";
    instance.models = {{name(i), 1, {}}, {name(i + 1), 1, {}}};
    table.Heartbeat(instance, kSecond);
    placer.RecordDemand({"llm", name(i * i), 1.0 + i % 7, 1000, i % 5 == 0 ? 1 : 0}, kSecond);
  }
  for (const PlacementCall& call : placer.Plan(configuration, table, kSecond))
    placer.OnReport(call.instance, ServerReport{false, 0, table.Find(call.instance)->instance.models},
                    kSecond);
  const std::clock_t start = std::clock();
  // The plans are one second apart, so that the rate limit of the weight store allows each to load a model.
  for (int plan = 1; plan <= 10; ++plan) placer.Plan(configuration, table, (1 + plan) * kSecond);
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

}  // namespace

// With ten times the models and servers, a plan takes about ten times as long. If the cost grew with their
// product, a plan would take a hundred times as long, and the placer would lose its lease while planning.
TEST_CASE("The cost of a plan grows with the sum of models and servers, not with their product") {
  CHECK(PlanSeconds(600) < 40 * PlanSeconds(60));
}

TEST_CASE("A model that a request is waiting for is loaded on a server with free memory") {
  ServerSimulation simulation(2);
  simulation.Run(2 * kSecond);
  simulation.ReportDemand("m0", 1, 1000, 1);
  simulation.Run(2 * kSecond);
  CHECK(simulation.Replicas("m0") == 1);
  CHECK(simulation.loads().size() == 1);
}

TEST_CASE(
    "A model without demand is evicted for one that requests are waiting for, within the server's capacity") {
  ServerSimulation simulation(1);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  simulation.Run(2 * kSecond);
  simulation.ReportDemand("m1", 5, 5000, 0);
  simulation.ReportDemand("m2", 1, 1000, 1);
  simulation.Run(2 * kSecond);
  CHECK(simulation.Holds("s0", "m1"));
  CHECK(simulation.Holds("s0", "m2"));
  CHECK_FALSE(simulation.Holds("s0", "m0"));
  CHECK(simulation.servers_over_capacity() == 0);
}

TEST_CASE("An order of another placer is detected by the revision before a server exceeds its capacity") {
  ServerSimulation simulation(1);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}};
  simulation.Run(2 * kSecond);
  simulation.AcceptForeignOrder("s0", "m1");  // without a heartbeat since
  simulation.ReportDemand("m2", 1, 1000, 1);
  simulation.Run(400'000);
  simulation.ReportDemand("m2", 0, 0, 1);
  simulation.Run(3 * kSecond);
  CHECK(simulation.servers_over_capacity() == 0);
  CHECK(simulation.Holds("s0", "m2"));
}

TEST_CASE("Unanswered orders are not repeated before the server has sent a report") {
  ServerSimulation simulation(1);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}};
  simulation.Run(2 * kSecond);
  simulation.drop_answers = true;
  for (int i = 0; i < 12; ++i) {
    simulation.ReportDemand("m1", 1, 1000, 1);
    simulation.ReportDemand("m2", 1, 1000, 1);
    simulation.Run(kSecond / 2);
  }
  CHECK(simulation.servers_over_capacity() == 0);
  CHECK(simulation.loads().size() <= 4);
}

TEST_CASE(
    "A model in high demand gets replicas according to its load, and a rarely requested one keeps its last "
    "replica") {
  ServerSimulation simulation(4);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  simulation.ModelsAt("s1") = {{"m2", 1, {}}};
  simulation.Run(2 * kSecond);
  for (int i = 0; i < 40; ++i) {
    simulation.ReportDemand("m0", 5, 8000, 0);
    if (i % 10 == 0) simulation.ReportDemand("m1", 1, 1000, 0);
    if (i % 10 == 0) simulation.ReportDemand("m2", 1, 1000, 0);
    simulation.Run(kSecond / 4);
  }
  CHECK(simulation.Replicas("m0") >= 2);
  CHECK(simulation.Replicas("m1") == 1);
  CHECK(simulation.Replicas("m2") == 1);
}

TEST_CASE(
    "NextDueAt returns when the next order is due, so that the order does not have to wait for a tick") {
  ServerSimulation simulation(1);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  simulation.Run(2 * kSecond);
  CHECK_FALSE(simulation.NextDueAt());
  simulation.ReportDemand("m2", 1, 10, 1);
  simulation.Run(10'000);  // an unload is due once sidecars have been notified
  REQUIRE(simulation.NextDueAt());
  CHECK(*simulation.NextDueAt() > simulation.now());
  CHECK(*simulation.NextDueAt() <= simulation.now() + 150'000);
}

TEST_CASE(
    "A model whose only replica is overloaded gets a second one before models that single requests are "
    "waiting "
    "for") {
  ServerSimulation simulation(4);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  for (const char* id : {"s1", "s2", "s3"}) simulation.ModelsAt(id) = {{"m1", 1, {}}};
  simulation.Run(2 * kSecond);
  // Requests are always waiting for more rarely requested models than the weight store can load at once.
  for (int i = 0; i < 24; ++i) {
    simulation.ReportDemand("m0", 1, 1000, 0);
    simulation.ReportDemand("m1", 1, 1000, 0);
    for (const char* rare : {"m2", "m3", "m4", "m5"}) simulation.ReportDemand(rare, 0.1, 10, 1);
    simulation.Run(kSecond / 10);
  }
  CHECK(simulation.Replicas("m0") >= 2);
}

TEST_CASE("A model that was just loaded is not evicted before the requests waiting for it are served") {
  ServerSimulation simulation(2);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}, {"m1", 1, {}}};
  simulation.ModelsAt("s1") = {{"m0", 1, {}}, {"m4", 1, {}}};
  simulation.Run(2 * kSecond);
  // The other models of the servers are in constant demand.
  const auto report_other_demand = [&] {
    for (const char* held : {"m0", "m1"}) simulation.ReportDemand(held, 1, 1000, 0);
  };
  simulation.ReportDemand("m2", 0.1, 10, 1);
  for (int i = 0; i < 50 && simulation.Replicas("m2") == 0; ++i) {
    report_other_demand();
    simulation.Run(kSecond / 10);
  }
  REQUIRE(simulation.Replicas("m2") == 1);
  simulation.ReportDemand("m3", 0.1, 10, 1);
  for (int i = 0; i < 15; ++i) {
    report_other_demand();
    simulation.Run(kSecond / 10);
    CHECK(simulation.Replicas("m2") == 1);
  }
}

// An unload waits for the model's running requests, which takes seconds on a busy server. A model in high
// demand must therefore replace a model without running requests.
TEST_CASE(
    "A model with rising demand evicts an idle model rather than a spare replica with running requests") {
  ServerSimulation simulation(3);
  for (int i = 0; i < 3; ++i)
    simulation.ModelsAt("s" + std::to_string(i)) = {{"m0", 1, {}}, {"m" + std::to_string(1 + i), 1, {}}};
  for (int i = 1; i <= 3; ++i) simulation.ReportDemand("m" + std::to_string(i), 1, 100, 0);
  simulation.Run(20 * kSecond);
  for (int i = 0; i < 10; ++i) {
    simulation.ReportDemand("m0", 0.1, 1, 0);
    simulation.Run(kSecond / 10);
  }
  simulation.ReportDemand("m5", 1, 1000, 1);
  for (int i = 0; i < 30 && simulation.Replicas("m5") == 0; ++i) {
    simulation.ReportDemand("m0", 0.1, 1, 0);
    simulation.Run(kSecond / 10);
  }
  CHECK(simulation.Replicas("m5") == 1);
  CHECK(simulation.Replicas("m0") == 3);
}

TEST_CASE("Of the models that requests are waiting for, one in high demand is loaded first") {
  ServerSimulation simulation(2);
  simulation.Run(kSecond);
  simulation.RestartTerm();  // which empties the token bucket for loads
  for (const char* rare : {"m0", "m1", "m2", "m3"}) simulation.ReportDemand(rare, 1, 10, 1);
  simulation.Run(kSecond / 10);
  simulation.ReportDemand("m5", 4, 40, 1);
  for (int i = 0; i < 15; ++i) {
    for (const char* model : {"m0", "m1", "m2", "m3", "m5"}) simulation.ReportDemand(model, 0, 0, 1);
    simulation.Run(kSecond / 10);
  }
  CHECK(simulation.Replicas("m5") == 1);
}

TEST_CASE("Loads stay within the rate limit of the weight store, also across a change of the placer") {
  ServerSimulation simulation(12);
  simulation.Run(2 * kSecond);
  for (int i = 0; i < 100; ++i) {
    for (int m = 0; m < 6; ++m) simulation.ReportDemand("m" + std::to_string(m), 20, 60000, 1);
    if (i == 40) simulation.RestartTerm();
    simulation.Run(kSecond / 10);
  }
  const std::vector<std::int64_t>& loads = simulation.loads();
  REQUIRE(loads.size() > 8);
  for (std::size_t first = 0; first < loads.size(); ++first) {
    std::size_t loads_in_window = 0;
    for (std::size_t i = first; i < loads.size() && loads[i] < loads[first] + 5 * kSecond; ++i)
      ++loads_in_window;
    CHECK(static_cast<double>(loads_in_window) <= 2 * 5 * 1.1 + 3);
  }
}

TEST_CASE("The least recently requested adapter is evicted") {
  ServerSimulation simulation(1);
  simulation.ModelsAt("s0") = {{"m0", 1, {}}};
  simulation.Run(2 * kSecond);
  for (const char* adapter : {"m0/a1", "m0/a2", "m0/a3"}) {
    simulation.ReportDemand(adapter, 1, 1000, 1);
    simulation.Run(kSecond);
  }
  REQUIRE(simulation.ModelsAt("s0").size() == 1);
  CHECK(simulation.ModelsAt("s0")[0].adapters == std::vector<std::string>{"a2", "a3"});
  CHECK(simulation.servers_over_capacity() == 0);
}

}  // namespace violetwing
