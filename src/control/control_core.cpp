#include "control/control_core.hpp"

#include <algorithm>
#include <utility>

namespace violetwing {
namespace {

// Heartbeats that a server may miss before it is taken for lost.
constexpr int kMissedHeartbeats = 3;
// A pull is answered at the latest after so long, whatever the caller asks for.
constexpr int kMostPullWaitMs = 2'000;
// Each wake for a change of servers costs every sidecar that waits a call and a new directory: the more
// sidecars there are, the more changes go into one.
constexpr Micros kWakePerSidecar = 750;
constexpr Micros kWakeLeast = 5'000;
constexpr Micros kWakeMost = 100'000;
// From this time between wakes on, a pull that comes between two of them waits for the second also when there
// is news of servers. Below it the wait for the next tick would take longer than what it spares.
constexpr Micros kHoldFrom = 50'000;
// A document of hundreds of kB costs its sender and its reader milliseconds: of changes that follow each
// other a sidecar is sent the last within so long.
constexpr Micros kDocumentEvery = 250'000;
// Others are told of what this process has heard within so long.
constexpr Micros kLastSeenWindow = 600'000;
// Replicas of a shard that are wanted at least.
constexpr int kLeastReplicas = 3;
// Without contact with a quorum for so long, calls that need one are refused at once: an election, which
// takes less, is waited for.
constexpr Micros kElection = 1'500'000;

// The first disks have names that all can tell from the seeds.
consensus::Members Founders(const NodeSettings& settings, const std::string& disk) {
  consensus::Members founders;
  if (!IsFounder(disk)) return founders;
  for (const std::string& seed : settings.seeds) {
    const std::string address = settings.InternalAddressOf(seed);
    founders.push_back({FounderDisk(address), address});
  }
  return founders;
}

}  // namespace

ControlCore::ControlCore(const NodeSettings& settings, std::string incarnation, const Shards::Stored& stored,
                         Outputs outputs, Micros now)
    : settings_(settings),
      incarnation_(std::move(incarnation)),
      outputs_(std::move(outputs)),
      now_(now),
      table_(incarnation_, kMissedHeartbeats * settings.heartbeat_ms * 1000),
      placer_(settings.lease_ms * 1000, {outputs_.order, outputs_.ask_report}),
      gossip_({settings.node_name, settings.zone, settings.InternalAddress(), settings.control_plane},
              PeerOutputs()),
      shards_(stored, Founders(settings, stored.disk), incarnation_, ShardOutputs(), now),
      member_policy_(consensus::MakeMemberPolicy(
          static_cast<std::size_t>(std::max(kLeastReplicas, 2 * settings.tolerated_nodes + 1)),
          settings.catch_up_ms * 1000)),
      quorum_contact_lost_at_(now) {
  SetSeeds(settings.seeds, now);
}

Gossip::Outputs ControlCore::PeerOutputs() {
  Gossip::Outputs outputs;
  outputs.fill_request = [this](ExchangeRequest& request, const VersionVector* peer_versions) {
    request.incarnation = incarnation_;
    request.disk = shards_.disk();
    request.version_vector = table_.version_vector();
    request.shards_to_join = shards_.Joins(now_);
    if (peer_versions != nullptr) request.changed_instances = table_.ChangedSince(*peer_versions);
  };
  outputs.exchange = outputs_.exchange;
  return outputs;
}

Shards::Outputs ControlCore::ShardOutputs() {
  Shards::Outputs outputs;
  outputs.send = [this](const std::string& address, ShardMessage message) {
    gossip_.SendMessage(address, std::move(message));
  };
  outputs.propose = [this](const std::string& address, ShardProposal proposal) {
    gossip_.SendProposal(address, std::move(proposal));
  };
  outputs.write = outputs_.write;
  outputs.applied = [this](int shard) {
    pulls_due_ = true;
    if (shard == 0) AnswerWatches(/*at_once=*/true);
  };
  outputs.left = [this](const std::string& id, Phase phase) { table_.ApplyDeregistration(id, phase, now_); };
  return outputs;
}

void ControlCore::SetSeeds(const std::vector<std::string>& seeds, Micros now) {
  now_ = now;
  std::vector<ControlNode> nodes;
  nodes.reserve(seeds.size());
  for (const std::string& seed : seeds) nodes.push_back({{}, {}, settings_.InternalAddressOf(seed), seed});
  gossip_.SetSeeds(nodes);
}

bool ControlCore::Isolated() const {
  return !HasQuorumContact() && quorum_contact_lost_at_ > 0 && now_ - quorum_contact_lost_at_ > kElection;
}

void ControlCore::Stop() {
  stopping_ = true;
  for (const PendingWatch& pull : pending_watches_) pull.done(std::nullopt);
  pending_watches_.clear();
  gossip_.AnnounceShutdown(now_);
}

void ControlCore::Tick(Micros now) {
  now_ = now;
  shards_.Tick(now);
  const bool has_quorum_contact = HasQuorumContact();
  if (!has_quorum_contact) quorum_contact_since_ = 0;
  if (has_quorum_contact && quorum_contact_since_ == 0) quorum_contact_since_ = now;
  if (has_quorum_contact) quorum_contact_lost_at_ = 0;
  if (!has_quorum_contact && quorum_contact_lost_at_ == 0) quorum_contact_lost_at_ = now;
  table_.Expire(now, has_quorum_contact);
  std::erase_if(document_sent_at_, [&](const auto& one) { return now - one.second >= kDocumentEvery; });
  wake_every_ = std::clamp(sidecars_.Count(now) * kWakePerSidecar, kWakeLeast, kWakeMost);
  gossip_.SetMembers(shards_.ReviewMembers(member_policy_, now));
  TickPlacer();
  gossip_.Tick(now);
  AnswerWatches(/*at_once=*/false);
  Flush();
}

void ControlCore::Written(std::uint64_t token, Micros now) {
  now_ = now;
  shards_.Written(token);
  Flush();
}

// ---- Servers and the operator ----

void ControlCore::Heartbeat(Instance instance, bool draining, Micros now, const OnTaken& done) {
  now_ = now;
  if (!HasQuorumContact()) return done(Taken::kUnavailable);
  const std::string id = instance.id;
  const std::string service = instance.backend;
  const std::optional<Phase> deregistered = shards_.Deregistered(id);
  instance.phase = deregistered.value_or(Phase::kReady);
  if (deregistered != Phase::kDeregistered && table_.Heartbeat(std::move(instance), now)) pulls_due_ = true;
  if (draining && !deregistered) return Leave(service, id, Phase::kDraining, done);
  done(Taken::kTaken);
}

void ControlCore::Deregister(const std::string& id, Micros now, const OnTaken& done) {
  now_ = now;
  if (shards_.Deregistered(id) == Phase::kDeregistered) return done(Taken::kTaken);
  const InstanceTable::Record* record = table_.Find(id);
  Leave(record == nullptr ? std::string() : record->instance.backend, id, Phase::kDeregistered, done);
}

void ControlCore::Leave(const std::string& service, const std::string& id, Phase phase, const OnTaken& done) {
  if (Isolated()) return done(Taken::kUnavailable);
  shards_.Leave(service, id, phase, now_,
                [done](bool taken) { done(taken ? Taken::kTaken : Taken::kUnavailable); });
  Flush();
}

void ControlCore::Change(const configuration::Change& change, Micros now, const OnChanged& done) {
  now_ = now;
  if (Isolated()) return done(std::nullopt);
  shards_.Change(change, now, done);
  Flush();
}

void ControlCore::ReadConfiguration(Micros now, const OnRead& done) {
  now_ = now;
  if (Isolated()) return done(std::nullopt);
  shards_.Read(now, [this, done](bool current) {
    if (!current) return done(std::nullopt);
    done(ConfigurationRead{configuration().version(), configuration().document()});
  });
  Flush();
}

// ---- The other control processes ----

ExchangeReply ControlCore::OnExchangeRequest(const ExchangeRequest& request, Micros now) {
  now_ = now;
  gossip_.OnPeerSeen(request.sender, now);
  gossip_.OnPeerVersions(request.sender.address, request.incarnation, request.version_vector);
  // What an earlier incarnation of this process knew is not known here: its vector would hide the difference
  // for good.
  if (request.receiver_incarnation.empty() || request.receiver_incarnation == incarnation_)
    MergeInstances(request.changed_instances);
  shards_.Meet(request.disk, request.sender.address);
  shards_.SetLeaving(request.disk, request.sender.leaving);
  for (const int shard : request.shards_to_join)
    shards_.Join(shard, {request.disk, request.sender.address}, now);
  for (const ShardMessage& message : request.messages) shards_.Step(message, now);
  for (const ShardProposal& proposal : request.proposals) shards_.TakeForwarded(proposal);
  CountDemand(request.demand);
  ExchangeReply reply;
  reply.incarnation = incarnation_;
  reply.changed_instances = table_.ChangedSince(request.version_vector);
  reply.version_vector = table_.version_vector();
  if (request.wants_last_seen) {
    reply.last_seen_instances = table_.LastSeenSince(now - kLastSeenWindow, now);
    reply.last_seen_sidecars = sidecars_.LastSeenSince(now - kLastSeenWindow, now);
    reply.control_nodes = gossip_.LiveNodes(now);
  }
  TellNews();
  Flush();
  return reply;
}

void ControlCore::OnExchangeReply(const std::string& address, const std::optional<ExchangeReply>& reply,
                                  Micros now) {
  now_ = now;
  gossip_.OnExchangeEnded(address, reply.has_value(), now);
  if (reply) {
    gossip_.OnPeerVersions(address, reply->incarnation, reply->version_vector);
    Take(*reply);
    TellNews();
  }
  Flush();
}

// Another process may not have applied a departure yet that stands in the log here.
void ControlCore::MergeInstances(const std::vector<Instance>& changed) {
  table_.MergeChanges(changed, now_);
  for (const Instance& instance : changed)
    if (const auto phase = shards_.Deregistered(instance.id))
      table_.ApplyDeregistration(instance.id, *phase, now_);
}

void ControlCore::Take(const ExchangeReply& reply) {
  MergeInstances(reply.changed_instances);
  for (const LastSeen& seen : reply.last_seen_instances) table_.MergeLastSeen(seen, now_);
  for (const SidecarLastSeen& sidecar : reply.last_seen_sidecars) sidecars_.MergeLastSeen(sidecar, now_);
  for (const ControlNode& node : reply.control_nodes) gossip_.OnPeerSeen(node, now_);
}

// ---- Sidecars ----

void ControlCore::Watch(WatchRequest request, Micros now, const OnWatched& done) {
  now_ = now;
  sidecars_.OnWatch(request.node, request.load_report_address, now);
  CountDemand(request.demand);
  const bool hold = wake_every_ >= kHoldFrom && now - woken_at_ < wake_every_;
  if (!AnswerWatch(request, done, hold ? WatchAnswer::kUnlessServersAlone : WatchAnswer::kWithNews)) {
    const Micros until = now + std::clamp(request.wait_ms, 0, kMostPullWaitMs) * Micros{1000};
    pending_watches_.push_back({std::move(request), until, done});
  }
  Flush();
}

bool ControlCore::AnswerWatch(const WatchRequest& request, const OnWatched& done, WatchAnswer when) {
  if (!HasQuorumContact()) {
    done(std::nullopt);
    return true;
  }
  // A list is whole once every server that lives has had the time to say so.
  const bool settled =
      quorum_contact_since_ > 0 && now_ - quorum_contact_since_ > 2 * settings_.heartbeat_ms * 1000;
  const bool whole = settled && request.incarnation != incarnation_;
  const bool behind = configuration().version() > request.configuration_version;
  const bool newer = behind && DocumentDue(request.node, when == WatchAnswer::kAlways);
  document_held_ = document_held_ || (behind && !newer);
  if (when != WatchAnswer::kAlways && !whole && !newer) {
    const bool missing = table_.HasUpdatesFor(request.version_vector);
    const bool held = missing && when == WatchAnswer::kUnlessServersAlone;
    pulls_due_ = pulls_due_ || held;
    if (!missing || held) return false;
  }
  WatchReply reply;
  reply.incarnation = whole || request.incarnation == incarnation_ ? incarnation_ : std::string();
  reply.complete = whole;
  reply.configuration_version = configuration().version();
  if (newer) FillConfiguration(request, reply);
  // Another process's list is in the caller's hands until then: what it has heard says nothing of what it
  // holds.
  reply.changed_instances = table_.ChangedSince(whole ? VersionVector() : request.version_vector);
  reply.version_vector = table_.version_vector();
  reply.control_nodes = gossip_.LiveNodes(now_);
  const SidecarRegistry::WindowPosition position = sidecars_.WindowPositionOf(request.node, now_);
  reply.window_position = position.index;
  reply.sidecar_count = position.count;
  reply.neighbors = sidecars_.NeighborsOf(request.node, now_);
  if (reply.neighbors.hash == request.neighbors_hash) reply.neighbors.addresses.clear();
  done(reply);
  return true;
}

void ControlCore::FillConfiguration(const WatchRequest& request, WatchReply& reply) {
  document_sent_at_[request.node] = now_;
  std::optional<std::vector<std::string>> patches;
  if (request.accepts_patches) patches = configuration().PatchesSince(request.configuration_version);
  if (patches)
    reply.configuration_patches = std::move(*patches);
  else
    reply.configuration_document = configuration().document();
}

bool ControlCore::DocumentDue(const std::string& sidecar, bool at_once) const {
  const auto sent = document_sent_at_.find(sidecar);
  return at_once || sent == document_sent_at_.end() || now_ - sent->second >= kDocumentEvery;
}

void ControlCore::AnswerWatches(bool at_once) {
  const bool due = (pulls_due_ || document_held_) && (at_once || now_ - woken_at_ >= wake_every_);
  if (due) {
    pulls_due_ = document_held_ = false;
    woken_at_ = now_;
  }
  const bool has_quorum_contact = HasQuorumContact();
  for (auto it = pending_watches_.begin(); it != pending_watches_.end();) {
    const bool over = now_ >= it->until || !has_quorum_contact;
    const WatchAnswer when = over ? WatchAnswer::kAlways : WatchAnswer::kWithNews;
    it = (over || due) && AnswerWatch(it->request, it->done, when) ? pending_watches_.erase(it)
                                                                   : std::next(it);
  }
}

// ---- Placement ----

void ControlCore::Demand(const std::vector<ModelDemand>& demand, Micros now) {
  now_ = now;
  CountDemand(demand);
  Flush();
}

// The placer counts it; every other process passes it on. A plan costs more than a report, and hundreds of
// these come each second: what a request waits for is planned at once, the rest with the next tick.
void ControlCore::CountDemand(const std::vector<ModelDemand>& demand) {
  if (demand.empty()) return;
  if (shards_.configuration_replica().leader()) {
    placer_.CountDemand(demand, now_);
    const auto waits = [](const ModelDemand& one) { return one.waiting > 0; };
    if (std::any_of(demand.begin(), demand.end(), waits)) TickPlacer();
    return;
  }
  const std::string leader = shards_.ConfigurationLeader();
  if (!leader.empty()) gossip_.SendDemand(leader, demand);
}

void ControlCore::TickPlacer() {
  if (stopping_) return;
  placer_.Tick(shards_.configuration_replica(), configuration(), table_, now_);
  TellNews();
}

// What has changed in the table goes to the sidecars that wait here, and what was changed here to the other
// control processes as well: they tell it to theirs.
void ControlCore::TellNews() {
  if (!table_.HasUpdatesFor(told_)) return;
  told_ = table_.version_vector();
  pulls_due_ = true;
  AnswerWatches(/*at_once=*/false);
  if (told_[incarnation_] <= spread_) return;
  spread_ = told_[incarnation_];
  gossip_.ScheduleBroadcast(now_);
}

void ControlCore::OrdersDue(Micros now) {
  now_ = now;
  TickPlacer();
  Flush();
}

void ControlCore::OrderAnswered(const PlacementCall& order, int status, Micros now) {
  now_ = now;
  placer_.OnOrderAnswered(order, status, now);
  TickPlacer();
  Flush();
}

void ControlCore::Reported(const std::string& instance, const std::optional<ServerReport>& report,
                           Micros now) {
  now_ = now;
  placer_.OnReport(instance, report, now);
  Flush();
}

}  // namespace violetwing
