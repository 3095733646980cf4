#include "control/replication/shards.hpp"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <utility>

#include "control/replication/commands.hpp"
#include "control/replication/shard_state_machines.hpp"

namespace violetwing {
namespace {

constexpr int kConfigurationShard = 0;
// The service shards are numbered 1 to kServiceShards. Stored data depends on their number.
constexpr int kServiceShards = 2;
// 900 ms: clients try another control process after 1 s without an answer.
constexpr Micros kSubmitTimeout = 900'000;
// 2.5 s: clients wait longer for large bodies, and with contact to a quorum a large change is in progress. A
// client that tries another process sooner shares the same pending change there.
constexpr Micros kChangeTimeout = 2'500'000;

Result<void> DiscardValue(const Result<std::string>& answer) {
  if (!answer) return answer.error();
  return Ok();
}

}  // namespace

Shards::Shards(Stored stored, const consensus::Members& bootstrap_voters, const std::string& incarnation,
               Outputs outputs, Micros now)
    : replica_id_(std::move(stored.replica_id)),
      outputs_(std::move(outputs)),
      deregistrations_(kServiceShards + 1) {
  for (int shard = 0; shard <= kServiceShards; ++shard) {
    const auto number = static_cast<std::size_t>(shard);
    if (shard == kConfigurationShard) {
      machines_.push_back(std::make_unique<ConfigurationStateMachine>(configuration_, duties_));
    } else {
      machines_.push_back(
          std::make_unique<DeregistrationStateMachine>(deregistrations_[number], outputs_.deregistered));
    }
    const std::uint64_t seed =
        XXH64(incarnation.data(), incarnation.size(), static_cast<std::uint64_t>(shard));
    consensus::Timing timing;
    timing.startup_first_candidate = number;  // distributes the first leaders over the processes
    AddShard(shard, incarnation, *machines_.back(),
             consensus::Replica(replica_id_, bootstrap_voters, std::move(stored.shards[shard]), timing, seed,
                                now));
  }
}

void Shards::AddShard(int shard, const std::string& incarnation, StateMachine& machine,
                      consensus::Replica replica) {
  shards_.push_back(std::make_unique<ReplicatedStateMachine>(shard, incarnation, std::move(replica), machine,
                                                             ShardOutputs()));
}

ReplicatedStateMachine::Outputs Shards::ShardOutputs() {
  ReplicatedStateMachine::Outputs outputs;
  outputs.send = [this](int shard, const consensus::Message& message) {
    const std::string address = AddressOf(shard, message.to);
    if (!address.empty()) outputs_.send(address, {shard, message});
  };
  outputs.forward = [this](int shard, const consensus::Member& leader, const std::string& command) {
    const std::string address = AddressOf(shard, leader.id);
    if (!address.empty()) outputs_.propose(address, {shard, command});
  };
  outputs.write = [this](ShardWrite write, std::uint64_t token) {
    pending_writes_[token] = Find(write.shard);
    outputs_.write(std::move(write), token);
  };
  outputs.has_pending_writes = [this] { return !pending_writes_.empty(); };
  outputs.next_write_token = [this] { return ++last_write_token_; };
  outputs.applied = [this](int shard) { outputs_.applied(shard); };
  outputs.failed = [this](int shard, std::error_code error) { outputs_.failed(shard, error); };
  return outputs;
}

ReplicatedStateMachine* Shards::Find(int shard) const {
  const auto number = static_cast<std::size_t>(shard);
  return shard >= 0 && number < shards_.size() ? shards_[number].get() : nullptr;
}

ReplicatedStateMachine& Shards::ShardOfService(const std::string& service) const {
  return *shards_[1 + XXH64(service.data(), service.size(), 0) % kServiceShards];
}

std::string Shards::AddressOf(int shard, const consensus::ReplicaId& id) const {
  const auto reported = addresses_.find(id);
  if (reported != addresses_.end()) return reported->second;
  const ReplicatedStateMachine* group = Find(shard);
  if (group == nullptr) return {};  // the shard's replica is still under construction
  for (const consensus::Member& member : group->replica().members())
    if (member.id == id) return member.address;
  return {};
}

std::string Shards::ConfigurationLeader() const {
  const auto& leader = configuration_replica().known_leader();
  return leader ? AddressOf(kConfigurationShard, leader->id) : std::string();
}

// ---- Events ----

void Shards::Tick(Micros now) {
  for (const auto& shard : shards_) shard->Tick(now);
  CompleteConfirmedReads();
}

void Shards::OnWriteDurable(std::uint64_t token) {
  const auto pending = pending_writes_.find(token);
  if (pending == pending_writes_.end()) return;
  ReplicatedStateMachine* const shard = pending->second;
  pending_writes_.erase(pending);
  shard->OnWriteDurable(token);
}

void Shards::OnMessage(const ShardMessage& message, Micros now) {
  if (ReplicatedStateMachine* shard = Find(message.shard)) shard->OnMessage(message.message, now);
  if (message.shard == kConfigurationShard) CompleteConfirmedReads();
}

void Shards::OnForwardedProposal(const ShardProposal& proposal) {
  if (ReplicatedStateMachine* shard = Find(proposal.shard)) shard->OnForwardedProposal(proposal.command);
}

// ---- Membership ----

void Shards::AddLearner(int shard, const consensus::Member& learner, Micros now) {
  if (ReplicatedStateMachine* group = Find(shard)) group->replica().AddLearner(learner, now);
}

std::vector<int> Shards::ShardsToJoin(Micros now) const {
  std::vector<int> out;
  for (const auto& shard : shards_)
    if (shard->replica().NeedsToJoin(now)) out.push_back(shard->shard());
  return out;
}

void Shards::SetLeaving(const consensus::ReplicaId& id, bool leaving) {
  for (const auto& shard : shards_) shard->replica().SetDraining(id, leaving);
}

std::optional<Micros> Shards::NextElectionAt() const {
  std::optional<Micros> next;
  for (const auto& shard : shards_) {
    const std::optional<Micros> at = shard->replica().NextElectionAt();
    if (at && (!next || *at < *next)) next = at;
  }
  return next;
}

void Shards::Resign(Micros now) {
  for (const auto& shard : shards_) shard->Resign(now);
}

std::vector<std::string> Shards::ReviewMembers(const consensus::MembershipPolicy& policy, Micros now) {
  std::vector<std::string> addresses;
  for (const auto& shard : shards_) {
    for (const consensus::Member& member : shard->replica().members()) addresses.push_back(member.address);
    const auto next = consensus::NextMembership(shard->replica(), policy, now);
    if (!next || !consensus::IsAppended(shard->replica().ProposeMembers(*next))) continue;
    spdlog::info("membership change proposed shard={} replicas={}", shard->shard(), next->size());
    shard->Tick(now);
  }
  return addresses;
}

// ---- Commands ----

void Shards::SubmitChange(const configuration::Change& change, Micros now, const ChangeCallback& done) {
  shards_.front()->SubmitIdempotent(
      "change/" + configuration::DigestOf(change), Encode(ConfigurationCommand(change)), now,
      {kSubmitTimeout, kChangeTimeout}, [done](const Result<std::string>& answer) {
        if (!answer) return done(answer.error());
        done(ConfigurationStateMachine::DecodeAnswer(answer.value()));
      });
}

void Shards::SubmitDutyCommand(const ConfigurationCommand& command, Micros now) {
  const std::string encoded = Encode(command);
  shards_.front()->SubmitIdempotent("duty/" + encoded, encoded, now, {kSubmitTimeout, kSubmitTimeout},
                                    [](const Result<std::string>&) {});
}

void Shards::AwaitReadBarrier(Micros now, const DoneCallback& done) {
  const auto read = std::make_shared<PendingRead>(PendingRead{now, done});
  pending_reads_.push_back(read);
  shards_.front()->Submit(
      Encode(ConfigurationCommand(ReadCommand{})), now, kSubmitTimeout,
      [read](const Result<std::string>& answer) { Complete(*read, DiscardValue(answer)); });
}

void Shards::Complete(PendingRead& read, const Result<void>& result) {
  if (const DoneCallback done = std::exchange(read.done, nullptr)) done(result);
}

void Shards::CompleteConfirmedReads() {
  const Micros confirmed_at = configuration_replica().StateConfirmedAt();
  std::vector<PendingReadPtr> confirmed;
  std::erase_if(pending_reads_, [&](const PendingReadPtr& read) {
    const bool is_confirmed = read->requested_at < confirmed_at;
    if (is_confirmed) confirmed.push_back(read);
    return is_confirmed || read->done == nullptr;
  });
  for (const PendingReadPtr& read : confirmed) Complete(*read, Ok());
}

void Shards::Deregister(const std::string& service, const std::string& server_id, Phase phase, Micros now,
                        const DoneCallback& done) {
  ShardOfService(service).Submit(Encode(DeregistrationCommand{server_id, phase}), now, kSubmitTimeout,
                                 [done](const Result<std::string>& answer) { done(DiscardValue(answer)); });
}

std::optional<Phase> Shards::Deregistered(const std::string& server_id) const {
  for (const Deregistrations& shard : deregistrations_)
    if (const auto phase = shard.Find(server_id)) return phase;
  return std::nullopt;
}

}  // namespace violetwing
