// Digests of the behavior of control processes and of routing decisions over random schedules. A change that
// is meant to keep the behavior (a rename, a split of a file) leaves every digest below unchanged; a change
// that is meant to alter it states the new digests, and why, in its commit.
#include <xxhash.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/random.hpp"
#include "control/consensus/encoding.hpp"
#include "dataplane/load_balancing/load_balancer.hpp"
#include "testing/cluster.hpp"
#include "testing/configuration_document.hpp"
#include "testing/model_servers.hpp"
#include "testing/virtual_system.hpp"

namespace violetwing {
namespace {

using nlohmann::json;
using testing::VirtualSystem;
using testing::WireMessage;

constexpr std::int64_t kSecond = 1'000'000;
constexpr std::uint64_t kSystemSeeds = 200;
constexpr std::uint64_t kClusterSeeds = 200;
constexpr std::uint64_t kRoutingSeeds = 50;
constexpr std::uint64_t kSystemDigest = 0xeb7e1c15aaccf443U;
constexpr std::uint64_t kClusterDigest = 0xaf68d3eadbe174b2U;
constexpr std::uint64_t kRoutingDigest = 0x8561f8245c6b3449U;

// A running XXH64 over everything that is added, in order.
class Digest {
 public:
  Digest() : state_(XXH64_createState()) { XXH64_reset(state_.get(), 0); }

  void Add(std::string_view bytes) {
    Add(static_cast<std::int64_t>(bytes.size()));
    XXH64_update(state_.get(), bytes.data(), bytes.size());
  }
  void Add(std::int64_t number) { XXH64_update(state_.get(), &number, sizeof(number)); }
  std::uint64_t value() const { return XXH64_digest(state_.get()); }

 private:
  struct Free {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
  };
  std::unique_ptr<XXH64_state_t, Free> state_;
};

void AddWrite(Digest& digest, const ShardWrite& write) {
  digest.Add(write.shard);
  digest.Add(write.hard_state ? static_cast<std::int64_t>(write.hard_state->term) : -1);
  digest.Add(write.hard_state ? write.hard_state->vote : consensus::ReplicaId());
  digest.Add(write.replaces_log ? 1 : 0);
  digest.Add(static_cast<std::int64_t>(write.first_index));
  for (const consensus::Entry& entry : write.entries) digest.Add(consensus::Encode(entry));
  if (write.snapshot) digest.Add(consensus::Encode(*write.snapshot));
}

void AddCall(Digest& digest, const PlacementCall& call) {
  digest.Add(static_cast<std::int64_t>(call.kind));
  digest.Add(call.instance);
  digest.Add(call.address);
  digest.Add(call.model);
  digest.Add(call.adapter);
  digest.Add(call.if_revision.value_or(-1));
}

enum class Fault {
  kNone,
  kLoss,
  kDuplication,
  kDelay,
  kTruncation,
  kKill,
  kPowerOff,
  kFreeze,
  kDiskStall,
  kIsolation,
  kPeerIsolation,
  kCount
};

// One random simulation of a system: an operator changes the configuration, servers load models and leave,
// sidecars report demand, and one kind of fault occurs several times.
class RandomSimulation {
 public:
  RandomSimulation(std::uint64_t seed, Digest& digest)
      : fault_(static_cast<Fault>(seed % static_cast<std::uint64_t>(Fault::kCount))),
        random_(seed, "digest"),
        digest_(digest),
        system_(seed % 3 == 0 ? 5 : 3, 2, seed) {
    for (int i = 0; i < kServers; ++i) servers_["i-" + std::to_string(i)];
    InstallObservers();
  }

  void Run() {
    constexpr int kRounds = 40;
    for (int round = 0; round < kRounds; ++round) {
      if (round % 4 == 0) Change();
      if (round % 8 == 3) InjectFault();
      if (round == kRounds / 2) servers_.begin()->second.draining = true;
      for (auto& [id, server] : servers_) Heartbeat(id, server);
      ReportDemand();
      system_.Run(kSecond / 4);
      if (round % 8 == 6) Recover();
    }
    for (std::size_t i = 0; i < system_.controls(); ++i)
      if (system_.IsRunning(i)) digest_.Add(system_.control(i).core->configuration().document());
    for (std::size_t i = 0; i < system_.sidecars(); ++i) digest_.Add(system_.sidecar(i).view->version());
  }

 private:
  static constexpr int kServers = 4;
  static constexpr int kModels = 5;
  struct Server {
    std::int64_t sequence = 0;
    std::int64_t revision = 0;
    bool draining = false;
    std::vector<HeldModel> models;
  };

  void InstallObservers() {
    system_.on_message = [this](const WireMessage& message) {
      digest_.Add(message.path);
      digest_.Add(message.is_response ? 1 : 0);
      digest_.Add(message.copies);
      digest_.Add(message.body);
    };
    system_.on_write = [this](std::size_t control, const ShardWrite& write) {
      digest_.Add(static_cast<std::int64_t>(control));
      AddWrite(digest_, write);
    };
    system_.on_order = [this](std::size_t control, const PlacementCall& call, consensus::Term token) {
      digest_.Add(static_cast<std::int64_t>(token));
      AddCall(digest_, call);
      ExecuteOrder(control, call);
    };
    system_.on_report_request = [this](std::size_t control, const PlacementCall& call) {
      AddCall(digest_, call);
      const Server& server = servers_[call.instance];
      system_.After(5'000, [this, control, id = call.instance,
                            report = ServerReport{false, server.revision, server.models}] {
        if (system_.IsRunning(control))
          system_.control(control).core->OnServerReport(id, report, system_.now());
      });
    };
    if (fault_ > Fault::kTruncation) return;
    system_.tamper = [this](WireMessage& message) {
      if (fault_ == Fault::kNone || random_.Below(12) != 0) return;
      if (fault_ == Fault::kLoss) message.copies = 0;
      if (fault_ == Fault::kDuplication) message.copies = 2;
      if (fault_ == Fault::kDelay) message.extra_delay = static_cast<std::int64_t>(random_.Below(900'000));
      if (fault_ == Fault::kTruncation) message.body.resize(random_.Below(message.body.size() + 1));
    };
  }

  void ExecuteOrder(std::size_t control, const PlacementCall& call) {
    Server& server = servers_[call.instance];
    ++server.revision;
    std::erase_if(server.models, [&](const HeldModel& held) { return held.name == call.model; });
    if (call.kind == PlacementCall::Kind::kLoad) server.models.push_back({call.model, 1, {}});
    system_.After(30'000, [this, control, call] {
      if (system_.IsRunning(control))
        system_.control(control).core->OnOrderResponse(call, 200, system_.now());
    });
  }

  std::string Document(std::int64_t version) {
    json document = json::parse(testing::Document(version, 1000, 1 + static_cast<int>(random_.Below(4))));
    json models = json::array();
    for (int i = 0; i < kModels; ++i)
      models.push_back({{"name", "m" + std::to_string(i)}, {"weights_mb", 100}, {"load_time_s", 0.3}});
    document["backends"][0]["runtime"] = {
        {"weights_mb", 220}, {"max_adapters", 2}, {"loads_per_s", 2}, {"models", std::move(models)}};
    return document.dump();
  }

  std::size_t RandomControl() { return random_.Below(system_.controls()); }

  void Call(const std::string& method, const std::string& path, const std::string& body, std::int64_t base) {
    system_.CallPublic(RandomControl(), method, path, body, base,
                       [this](int status, const std::string& answer) {
                         digest_.Add(status);
                         digest_.Add(answer);
                       });
  }

  void Change() {
    const std::int64_t base = version_;
    version_ += 1 + static_cast<std::int64_t>(random_.Below(3));
    Call("PUT", "/api/configuration", Document(version_), base);
    Call("GET", "/api/configuration", {}, 0);
  }

  void Heartbeat(const std::string& id, Server& server) {
    const json body{
        {"backend", "s"}, {"address", "10.1.0." + id.substr(2) + ":80"},     {"zone", "zone"},
        {"capacity", 4},  {"phase", server.draining ? "draining" : "ready"}, {"sequence", ++server.sequence}};
    Call("PUT", "/api/instances/" + id, body.dump(), 0);
  }

  void ReportDemand() {
    const std::size_t control = RandomControl();
    if (!system_.IsRunning(control)) return;
    const std::string model = "m" + std::to_string(random_.Below(kModels));
    const ModelDemand demand{"s", model, 1.0 + static_cast<double>(random_.Below(5)), 400.0,
                             static_cast<int>(random_.Below(3))};
    system_.control(control).core->OnDemand({demand}, system_.now());
  }

  void InjectFault() {
    const std::size_t victim = RandomControl();
    const auto span = static_cast<std::int64_t>(random_.Below(2 * kSecond));
    if (fault_ == Fault::kKill && system_.IsRunning(victim)) system_.Kill(victim);
    if (fault_ == Fault::kPowerOff && system_.IsRunning(victim)) system_.PowerOff(victim);
    if (fault_ == Fault::kFreeze) system_.Freeze(victim, span);
    if (fault_ == Fault::kDiskStall) system_.StallDisk(victim, span);
    if (fault_ == Fault::kIsolation) system_.Isolate(victim);
    if (fault_ == Fault::kPeerIsolation) system_.IsolateFromPeers(victim);
  }

  void Recover() {
    system_.Heal();
    for (std::size_t i = 0; i < system_.controls(); ++i)
      if (!system_.IsRunning(i)) system_.Start(i);
  }

  const Fault fault_;
  Random random_;
  Digest& digest_;
  VirtualSystem system_;
  std::map<std::string, Server> servers_;
  std::int64_t version_ = 0;
};

// Replicas without the rest of a control process, with their messages as encoded on the wire and every kind
// of fault that the simulated cluster has.
void AddCluster(std::uint64_t seed, Digest& digest) {
  consensus::Cluster cluster(5, 3, seed);
  cluster.drop_probability = seed % 3 == 0 ? 0.05 : 0;
  cluster.duplicate_probability = seed % 5 == 0 ? 0.1 : 0;
  cluster.mutate = [&](consensus::Message& message) {
    digest.Add(consensus::Encode(message));
    return true;
  };
  Random random(seed, "cluster digest");
  for (int round = 0; round < 12; ++round) {
    const std::size_t victim = random.Below(cluster.size());
    const auto span = static_cast<std::int64_t>(random.Below(kSecond));
    const std::uint64_t fault = random.Below(6);
    if (fault == 0) cluster.PowerOff(victim);
    if (fault == 1) cluster.Freeze(victim, span);
    if (fault == 2) cluster.StallDisk(victim, span);
    if (fault == 3) cluster.Cut(victim, random.Below(cluster.size()));
    for (std::size_t i = 0; i < cluster.size(); ++i)
      if (cluster.IsRunning(i)) cluster.Propose(i, std::to_string(round) + "/" + std::to_string(i));
    cluster.Run(span + kSecond / 2);
    cluster.Heal();
    for (std::size_t i = 0; i < cluster.size(); ++i)
      if (!cluster.IsRunning(i)) cluster.Start(i);
    cluster.Run(kSecond / 2);
  }
  digest.Add(cluster.Describe());
}

// The choice of servers for random requests, with their results, the servers' loads and load reports.
void AddChoices(std::uint64_t seed, Digest& digest) {
  constexpr int kRequests = 400;
  const Directory directory = testing::ModelServers(10, static_cast<int>(seed % 3), 3);
  LoadBalancer load_balancer(seed);
  load_balancer.SetLocality("zone", [](const std::string& id) { return id.back() % 2 == 0; });
  Random random(seed, "choices");
  std::int64_t now = kSecond;
  std::vector<std::pair<std::string, RequestAttributes>> in_flight;
  std::vector<PromptPart> parts{{"p", 300}, {"q", 200}};
  for (int i = 0; i < kRequests; ++i) {
    now += static_cast<std::int64_t>(random.Below(80'000));
    RequestAttributes attributes;
    attributes.model = "m";
    attributes.prompt_parts = &parts;
    attributes.prompt_tokens = 100.0 + static_cast<double>(random.Below(2000));
    const Instance* server = load_balancer.PickServer(directory.Servers("s"), directory, attributes, now);
    digest.Add(server == nullptr ? std::string() : server->id);
    if (server != nullptr) {
      load_balancer.OnSent(server->id, attributes, now);
      in_flight.emplace_back(server->id, attributes);
    }
    if (in_flight.size() < 4) continue;
    const std::size_t at = random.Below(in_flight.size());
    const auto [id, sent] = in_flight[at];
    in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(at));
    const bool answered = random.Below(4) != 0;
    if (answered)
      load_balancer.OnFirstByte(
          id, sent, random.Below(8) != 0 ? FirstByteKind::kExecuting : FirstByteKind::kOther, now);
    if (random.Below(3) == 0)
      load_balancer.OnLoadReported(
          id, {static_cast<int>(random.Below(4)), static_cast<int>(random.Below(3)), 4}, now);
    const auto result = answered ? AttemptResult::kServed : static_cast<AttemptResult>(random.Below(8));
    load_balancer.OnEnd(id, result, sent, answered, now);
    if (i % 16 == 0) digest.Add(Encode(load_balancer.TakeReport()));
  }
}

}  // namespace

TEST_CASE("Digest: control processes, their messages, writes, answers and orders") {
  Digest digest;
  for (std::uint64_t seed = 1; seed <= kSystemSeeds; ++seed) RandomSimulation(seed, digest).Run();
  CHECK(digest.value() == kSystemDigest);
}

TEST_CASE("Digest: replicas of a shard, their messages and logs") {
  Digest digest;
  for (std::uint64_t seed = 1; seed <= kClusterSeeds; ++seed) AddCluster(seed, digest);
  CHECK(digest.value() == kClusterDigest);
}

TEST_CASE("Digest: the choice of servers") {
  Digest digest;
  for (std::uint64_t seed = 1; seed <= kRoutingSeeds; ++seed) AddChoices(seed, digest);
  CHECK(digest.value() == kRoutingDigest);
}

}  // namespace violetwing
