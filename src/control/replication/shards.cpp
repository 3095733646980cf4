#include "control/replication/shards.hpp"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "control/replication/commands.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

// One shard for the configuration, and some for the services.
constexpr int kServiceShards = 2;
// Callers go elsewhere after a second without an answer.
constexpr Micros kCallWithin = 900'000;
// For large bodies they wait longer: while a quorum is there, a large change is on its way. One that goes
// elsewhere sooner joins the same change there.
constexpr Micros kChangeWithin = 2'500'000;
constexpr const char* kFounderPrefix = "founder/";

}  // namespace

std::string FounderDisk(const std::string& address) { return kFounderPrefix + address; }

bool IsFounder(const std::string& disk) { return disk.rfind(kFounderPrefix, 0) == 0; }

// Commands of the configuration's shard: a change of the operator, or a read, which changes nothing.
class Shards::ConfigurationMachine : public StateMachine {
 public:
  explicit ConfigurationMachine(configuration::State& state) : state_(state) {}

  std::string Apply(const std::string& command) override {
    const std::optional<ConfigurationCommand> in = DecodeConfigurationCommand(command);
    const auto* change = in ? std::get_if<configuration::Change>(&*in) : nullptr;
    if (change == nullptr) return {};
    const configuration::Answer answer = state_.Apply(*change);
    return json{{"outcome", answer.outcome}, {"version", answer.version}, {"problem", answer.problem}}.dump();
  }
  std::string Save() const override { return state_.Save(); }
  void Load(const std::string& saved) override { state_.Load(saved); }
  std::size_t worked() const override { return state_.worked(); }

 private:
  configuration::State& state_;
};

// Commands of a shard of services: a server leaves.
class Shards::DeregistrationsMachine : public StateMachine {
 public:
  DeregistrationsMachine(Deregistrations& state, const Outputs& outputs) : state_(state), outputs_(outputs) {}

  std::string Apply(const std::string& command) override {
    const std::optional<DeregistrationCommand> in = DecodeDepartureCommand(command);
    if (!in) return {};
    state_.Apply(in->id, in->phase);
    outputs_.left(in->id, in->phase);
    return {};
  }
  std::string Save() const override { return state_.Save(); }
  void Load(const std::string& saved) override {
    state_.Load(saved);
    for (const auto& [id, phase] : state_.all()) outputs_.left(id, phase);
  }

 private:
  Deregistrations& state_;
  const Outputs& outputs_;
};

Shards::Shards(Stored stored, const consensus::Members& founders, const std::string& incarnation,
               Outputs outputs, Micros now)
    : disk_(std::move(stored.disk)), outputs_(std::move(outputs)), deregistrations_(kServiceShards + 1) {
  for (int shard = 0; shard <= kServiceShards; ++shard) {
    if (shard == 0)
      machines_.push_back(std::make_unique<ConfigurationMachine>(configuration_));
    else
      machines_.push_back(std::make_unique<DeregistrationsMachine>(
          deregistrations_[static_cast<std::size_t>(shard)], outputs_));
    const std::uint64_t seed =
        XXH64(incarnation.data(), incarnation.size(), static_cast<std::uint64_t>(shard));
    consensus::Timing timing;
    timing.startup_first_candidate = static_cast<std::size_t>(shard);
    MakeReplica(shard, incarnation, *machines_.back(),
                consensus::Replica(disk_, founders, std::move(stored.shards[shard]), timing, seed, now));
  }
}

void Shards::MakeReplica(int shard, const std::string& incarnation, StateMachine& machine,
                         consensus::Replica replica) {
  ReplicatedStateMachine::Outputs outputs;
  outputs.send = [this](int at, const consensus::Message& message) {
    const std::string address = AddressOf(at, message.to);
    if (!address.empty()) outputs_.send(address, {at, message});
  };
  outputs.forward = [this](int at, const consensus::Member& leader, const std::string& command) {
    const std::string address = AddressOf(at, leader.id);
    if (!address.empty()) outputs_.propose(address, {at, command});
  };
  outputs.write = [this](ShardWrite write, std::uint64_t token) {
    writes_[token] = Find(write.shard);
    outputs_.write(std::move(write), token);
  };
  outputs.writes_wait = [this] { return !writes_.empty(); };
  outputs.next_token = [this] { return ++token_; };
  outputs.applied = [this](int at) { outputs_.applied(at); };
  groups_.push_back(std::make_unique<ReplicatedStateMachine>(shard, incarnation, std::move(replica), machine,
                                                             std::move(outputs)));
}

ReplicatedStateMachine* Shards::Find(int shard) const {
  const auto at = static_cast<std::size_t>(shard);
  return shard >= 0 && at < groups_.size() ? groups_[at].get() : nullptr;
}

ReplicatedStateMachine& Shards::OfService(const std::string& service) const {
  return *groups_[1 + XXH64(service.data(), service.size(), 0) % kServiceShards];
}

std::string Shards::AddressOf(int shard, const consensus::ReplicaId& id) const {
  const auto met = addresses_.find(id);
  if (met != addresses_.end()) return met->second;
  const ReplicatedStateMachine* group = Find(shard);
  if (group == nullptr) return {};  // its replica is only being made
  for (const consensus::Member& member : group->replica().members())
    if (member.id == id) return member.address;
  return {};
}

std::string Shards::ConfigurationLeader() const {
  const auto& leader = configuration_replica().known_leader();
  return leader ? AddressOf(0, leader->id) : std::string();
}

// ---- The log ----

void Shards::Tick(Micros now) {
  for (const auto& group : groups_) group->Tick(now);
}

void Shards::Written(std::uint64_t token) {
  const auto write = writes_.find(token);
  if (write == writes_.end()) return;
  ReplicatedStateMachine* const group = write->second;
  writes_.erase(write);
  group->Written(token);
}

void Shards::Step(const ShardMessage& message, Micros now) {
  if (ReplicatedStateMachine* group = Find(message.shard)) group->Step(message.message, now);
}

void Shards::TakeForwarded(const ShardProposal& proposal) {
  if (ReplicatedStateMachine* group = Find(proposal.shard)) group->TakeForwarded(proposal.command);
}

void Shards::Join(int shard, const consensus::Member& learner, Micros now) {
  if (ReplicatedStateMachine* group = Find(shard)) group->replica().AddLearner(learner, now);
}

std::vector<int> Shards::Joins(Micros now) const {
  std::vector<int> out;
  for (const auto& group : groups_)
    if (group->replica().NeedsToJoin(now)) out.push_back(group->shard());
  return out;
}

void Shards::SetLeaving(const std::string& disk, bool leaving) {
  for (const auto& group : groups_) group->replica().SetDraining(disk, leaving);
}

std::vector<std::string> Shards::ReviewMembers(const consensus::MembershipPolicy& policy, Micros now) {
  std::vector<std::string> addresses;
  for (const auto& group : groups_) {
    for (const consensus::Member& member : group->replica().members()) addresses.push_back(member.address);
    const auto next = consensus::NextMembership(group->replica(), policy, now);
    if (!next || !consensus::IsAppended(group->replica().ProposeMembers(*next))) continue;
    spdlog::info("shard {}: the group changes to {} replicas", group->shard(), next->size());
    group->Tick(now);
  }
  return addresses;
}

// ---- Commands ----

void Shards::Change(const configuration::Change& change, Micros now,
                    std::function<void(const std::optional<configuration::Answer>&)> done) {
  groups_.front()->SubmitIdempotent(
      "change/" + configuration::DigestOf(change), Encode(ConfigurationCommand(change)), now,
      {kCallWithin, kChangeWithin}, [done = std::move(done)](const std::optional<std::string>& result) {
        if (!result) return done(std::nullopt);
        const json out = json::parse(*result);
        done(configuration::Answer{out.at("outcome").get<configuration::Outcome>(),
                                   out.at("version").get<std::int64_t>(),
                                   out.at("problem").get<std::string>()});
      });
}

void Shards::Read(Micros now, std::function<void(bool current)> done) {
  groups_.front()->Call(
      Encode(ConfigurationCommand(ReadCommand{})), now, kCallWithin,
      [done = std::move(done)](const std::optional<std::string>& result) { done(result.has_value()); });
}

void Shards::Leave(const std::string& service, const std::string& id, Phase phase, Micros now,
                   std::function<void(bool taken)> done) {
  OfService(service).Call(
      Encode(DeregistrationCommand{id, phase}), now, kCallWithin,
      [done = std::move(done)](const std::optional<std::string>& result) { done(result.has_value()); });
}

std::optional<Phase> Shards::Deregistered(const std::string& id) const {
  for (const Deregistrations& shard : deregistrations_)
    if (const auto phase = shard.Find(id)) return phase;
  return std::nullopt;
}

}  // namespace violetwing
