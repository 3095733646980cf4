#include "control/core/control_core.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "common/random.hpp"
#include "control/control_error.hpp"
#include "control/replication/bootstrap.hpp"
#include "messages/phase_name.hpp"

namespace violetwing {
namespace {

constexpr Micros kMicrosPerMs = 1000;
// The shard whose state is the configuration.
constexpr int kConfigurationShard = 0;
// Heartbeats that a server may miss before it counts as lost.
constexpr int kMissedHeartbeats = 3;
// Heartbeat intervals of quorum contact after which every live instance has sent a heartbeat, so that the
// instance table is complete.
constexpr int kHeartbeatsUntilComplete = 2;
// Exchange replies list the servers and sidecars that this process has seen within this time.
constexpr Micros kLastSeenWindow = 600'000;
// The minimum replication factor of a shard.
constexpr int kMinReplicas = 3;
// The maximum time from the decision on an order or a platform call until it can no longer arrive: the time
// limits for connection and response, and slack because timers fire late while the event loop is busy.
constexpr Micros kBusyLoopSlack = 500'000;
constexpr Micros kCallTimeLimit = 2 * duties::kCallTimeout + kBusyLoopSlack;
// After this time without contact with a quorum, calls that need one are rejected at once. An election takes
// less time, and calls wait for its end.
constexpr Micros kElectionGrace = 1'500'000;

// The initial voters of a bootstrap replica, empty for any other replica. Their ids are derived from the
// seeds.
consensus::Members BootstrapVoters(const NodeSettings& settings, const consensus::ReplicaId& id) {
  consensus::Members voters;
  if (!IsBootstrapReplica(id)) return voters;
  for (const std::string& seed : settings.seeds) {
    const std::string address = settings.InternalAddressOf(seed);
    voters.push_back({BootstrapReplicaId(address), address});
  }
  return voters;
}

}  // namespace

ControlCore::ControlCore(const NodeSettings& settings, std::string incarnation, const Shards::Stored& stored,
                         Outputs outputs, Micros now)
    : settings_(settings),
      incarnation_(std::move(incarnation)),
      outputs_(std::move(outputs)),
      now_(now),
      table_(incarnation_, kMissedHeartbeats * settings.heartbeat_ms * kMicrosPerMs),
      placer_({[this](const PlacementCall& order, duties::FencingToken token) {
                 leases_.OnCallSent(duties::Duty::kPlacement, now_);
                 outputs_.send_order(order, token);
               },
               outputs_.request_report}),
      gossip_({settings.node_name, settings.zone, settings.InternalAddress(), settings.control_plane},
              GossipOutputs()),
      shards_(stored, BootstrapVoters(settings, stored.replica_id), incarnation_, ShardOutputs(), now),
      membership_policy_(consensus::MakeMembershipPolicy(
          static_cast<std::size_t>(std::max(kMinReplicas, 2 * settings.tolerated_nodes + 1)),
          settings.catch_up_ms * kMicrosPerMs)),
      quorum_contact_(now),
      leases_({settings.node_name, settings.lease_ms * kMicrosPerMs, kCallTimeLimit}, now,
              [this](const duties::AcquireLease& command) { SubmitDutyCommand(command); }),
      usage_reporter_({settings.report_window_ms * kMicrosPerMs, settings.usage_delay_ms * kMicrosPerMs},
                      Hash(0, incarnation_), UsageOutputs()),
      watches_(incarnation_, {shards_.configuration(), table_, sidecars_, gossip_, true_time_}) {
  SetSeeds(settings.seeds, now);
}

Gossip::Outputs ControlCore::GossipOutputs() {
  Gossip::Outputs outputs;
  outputs.fill_request = [this](ExchangeRequest& request, const VersionVector* peer_versions) {
    request.incarnation = incarnation_;
    request.disk = shards_.replica_id();
    request.version_vector = table_.version_vector();
    request.shards_to_join = shards_.ShardsToJoin(now_);
    if (peer_versions != nullptr) request.changed_instances = table_.ChangedSince(*peer_versions);
  };
  outputs.exchange = [this](const std::string& address, ExchangeRequest request) {
    request.wants_usage = usage_synced_peers_.count(address) == 0;
    outputs_.exchange(address, std::move(request));
  };
  return outputs;
}

duties::UsageReporter::Outputs ControlCore::UsageOutputs() {
  duties::UsageReporter::Outputs outputs;
  outputs.record = [this](const duties::RecordUsage& command) { SubmitDutyCommand(command); };
  outputs.delivered = [this](const duties::UsageDelivered& command) { SubmitDutyCommand(command); };
  outputs.call = [this](const duties::PlatformCall& call) {
    leases_.OnCallSent(call.duty, now_);
    outputs_.call_platform(call);
  };
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
    watches_.OnUpdate();
    if (shard == kConfigurationShard) AnswerWatches(WatchRegistry::Urgency::kImmediate);
  };
  outputs.failed = outputs_.failed;
  outputs.deregistered = [this](const std::string& id, Phase phase) {
    table_.ApplyDeregistration(id, phase, now_);
  };
  return outputs;
}

void ControlCore::SetSeeds(const std::vector<std::string>& seeds, Micros now) {
  now_ = now;
  std::vector<ControlNode> nodes;
  nodes.reserve(seeds.size());
  for (const std::string& seed : seeds) nodes.push_back({{}, {}, settings_.InternalAddressOf(seed), seed});
  gossip_.SetSeeds(nodes);
}

bool ControlCore::IsIsolated() const {
  return !HasQuorumContact() && quorum_contact_.HasBeenLost(kElectionGrace, now_);
}

void ControlCore::Stop() {
  stopping_ = true;
  watches_.Cancel();
  shards_.Resign(now_);
  gossip_.AnnounceShutdown(now_);
}

void ControlCore::Tick(Micros now) {
  now_ = now;
  shards_.Tick(now);
  const bool has_quorum_contact = HasQuorumContact();
  quorum_contact_.Update(has_quorum_contact, now);
  table_.Expire(now, has_quorum_contact);
  watches_.Tick(now);
  gossip_.SetMembers(shards_.ReviewMembers(membership_policy_, now));
  PerformDuties();
  gossip_.Tick(now);
  AnswerWatches(WatchRegistry::Urgency::kRateLimited);
  Flush();
}

void ControlCore::OnElectionDue(Micros now) {
  now_ = now;
  shards_.Tick(now);
  Flush();
}

void ControlCore::OnWriteDurable(std::uint64_t token, Micros now) {
  now_ = now;
  shards_.OnWriteDurable(token);
  Flush();
}

// ---- Calls of servers and of the operator ----

void ControlCore::Heartbeat(Instance instance, bool draining, Micros now, const AcceptanceCallback& done) {
  now_ = now;
  if (!HasQuorumContact()) return done(Acceptance::kUnavailable);
  const std::string id = instance.id;
  const std::string service = instance.backend;
  const std::optional<Phase> deregistered = shards_.Deregistered(id);
  instance.phase = deregistered.value_or(Phase::kReady);
  if (deregistered != Phase::kDeregistered && table_.Heartbeat(std::move(instance), now)) watches_.OnUpdate();
  if (draining && !deregistered) return SubmitDeregistration(service, id, Phase::kDraining, done);
  done(Acceptance::kAccepted);
}

void ControlCore::Deregister(const std::string& id, Micros now, const AcceptanceCallback& done) {
  now_ = now;
  if (shards_.Deregistered(id) == Phase::kDeregistered) return done(DepartureAcceptance());
  const InstanceTable::Record* record = table_.Find(id);
  SubmitDeregistration(record == nullptr ? std::string() : record->instance.backend, id, Phase::kDeregistered,
                       done);
}

void ControlCore::SubmitDeregistration(const std::string& service, const std::string& id, Phase phase,
                                       const AcceptanceCallback& done) {
  if (IsIsolated()) return done(Acceptance::kUnavailable);
  const Micros announced_at = now_;
  shards_.Deregister(service, id, phase, now_, [=, this](const Result<void>& committed) {
    const Acceptance acceptance = committed ? DepartureAcceptance() : Acceptance::kUnavailable;
    LogDeparture(id, phase, announced_at, acceptance);
    done(acceptance);
  });
  Flush();
}

// An acknowledgment starts the drain period, after which no request may reach the server. Without quorum
// contact this process cannot notify its sidecars, so it does not acknowledge the departure, and the server
// repeats its announcement.
ControlCore::Acceptance ControlCore::DepartureAcceptance() const {
  return HasQuorumContact() ? Acceptance::kAccepted : Acceptance::kUnavailable;
}

void ControlCore::LogDeparture(const std::string& id, Phase phase, Micros announced_at,
                               Acceptance acceptance) const {
  const char* const outcome = acceptance == Acceptance::kAccepted ? "acknowledged" : "not acknowledged";
  spdlog::info("departure {} instance={} phase={} waited_ms={}", outcome, id, Name(phase),
               (now_ - announced_at) / kMicrosPerMs);
}

void ControlCore::Change(const configuration::Change& change, Micros now, const ChangeCallback& done) {
  now_ = now;
  // Checked before it is submitted, so that the log holds valid JSON only.
  const std::optional<configuration::FormProblem> problem =
      configuration::CheckForm(change, MaxParsedBytes());
  if (problem == configuration::FormProblem::kNotJson) return done(InvalidChange(*problem));
  if (IsIsolated()) return done(ControlErrc::kNoQuorum);
  if (problem)
    RejectChange(change, *problem, done);
  else
    shards_.SubmitChange(change, now, done);
  Flush();
}

std::size_t ControlCore::MaxParsedBytes() const {
  constexpr std::size_t kBytesPerMb = 1'000'000;
  constexpr std::size_t kShare = 4;  // of the memory, for one change at a time
  return static_cast<std::size_t>(settings_.memory_mb) * kBytesPerMb / kShare;
}

configuration::ChangeOutcome ControlCore::InvalidChange(configuration::FormProblem problem) const {
  return {configuration::ChangeStatus::kInvalid, configuration().version(), ToText(problem)};
}

// A change that an earlier version of this program has accepted is never rejected when it is sent again. The
// state of this process may be older than that acceptance, hence the barrier.
void ControlCore::RejectChange(const configuration::Change& change, configuration::FormProblem problem,
                               const ChangeCallback& done) {
  shards_.AwaitReadBarrier(now_, [=, this](const Result<void>& current) {
    if (!current) return done(current.error());
    if (configuration().MayHaveAccepted(change)) return shards_.SubmitChange(change, now_, done);
    spdlog::info("configuration change rejected base={} reason={}", change.base_version, ToText(problem));
    done(InvalidChange(problem));
  });
}

void ControlCore::ReadConfiguration(Micros now, const ReadCallback& done) {
  now_ = now;
  if (IsIsolated()) return done(ControlErrc::kNoQuorum);
  shards_.AwaitReadBarrier(now, [this, done](const Result<void>& current) {
    if (!current) return done(current.error());
    done(ConfigurationRead{configuration().version(), configuration().document()});
  });
  Flush();
}

// ---- Exchanges with other control processes ----

ExchangeReply ControlCore::OnExchangeRequest(const ExchangeRequest& request, Micros now) {
  now_ = now;
  gossip_.OnPeerSeen(request.sender, now);
  gossip_.OnPeerVersions(request.sender.address, request.incarnation, request.version_vector);
  // Changes relative to the version vector of an earlier incarnation of this process omit those that only
  // that incarnation knew. Merging them would advance this table's version vector past the missing changes,
  // which would then never arrive.
  if (request.receiver_incarnation.empty() || request.receiver_incarnation == incarnation_)
    MergeInstances(request.changed_instances);
  shards_.OnPeerAddress(request.disk, request.sender.address);
  shards_.SetLeaving(request.disk, request.sender.leaving);
  for (const int shard : request.shards_to_join)
    shards_.AddLearner(shard, {request.disk, request.sender.address}, now);
  for (const UsageReport& report : request.usage) usage_counts_.Merge(report);
  for (const ShardMessage& message : request.messages) shards_.OnMessage(message, now);
  for (const ShardProposal& proposal : request.proposals) shards_.OnForwardedProposal(proposal);
  RouteDemand(request.demand);
  ExchangeReply reply;
  reply.incarnation = incarnation_;
  reply.changed_instances = table_.ChangedSince(request.version_vector);
  reply.version_vector = table_.version_vector();
  reply.time_of_day = true_time_.OwnClockAt(now_);
  if (request.wants_usage) reply.usage = usage_counts_.Reports();
  if (request.wants_last_seen) {
    reply.last_seen_instances = table_.LastSeenSince(now - kLastSeenWindow, now);
    reply.last_seen_sidecars = sidecars_.LastSeenSince(now - kLastSeenWindow, now);
    reply.control_nodes = gossip_.LiveNodes(now);
  }
  PublishInstanceChanges();
  Flush();
  return reply;
}

void ControlCore::OnExchangeReply(const std::string& address, const std::optional<ExchangeReply>& reply,
                                  Micros now) {
  now_ = now;
  gossip_.OnExchangeEnded(address, reply.has_value(), now);
  if (!reply) usage_synced_peers_.erase(address);  // usage that the peer forwarded meanwhile may be lost
  if (reply) {
    usage_synced_peers_.insert(address);
    gossip_.OnPeerVersions(address, reply->incarnation, reply->version_vector);
    if (reply->time_of_day)
      true_time_.OnPeerClock(address, *reply->time_of_day, gossip_.LastExchangeAt(address), now);
    MergeReply(*reply);
    PublishInstanceChanges();
  }
  Flush();
}

// The peer may not have applied a deregistration yet that this process has already applied from the log.
void ControlCore::MergeInstances(const std::vector<Instance>& changed) {
  table_.MergeChanges(changed, now_);
  for (const Instance& instance : changed)
    if (const auto phase = shards_.Deregistered(instance.id))
      table_.ApplyDeregistration(instance.id, *phase, now_);
}

void ControlCore::MergeReply(const ExchangeReply& reply) {
  MergeInstances(reply.changed_instances);
  for (const UsageReport& report : reply.usage) usage_counts_.Merge(report);
  for (const LastSeen& seen : reply.last_seen_instances) table_.MergeLastSeen(seen, now_);
  for (const SidecarLastSeen& sidecar : reply.last_seen_sidecars) sidecars_.MergeLastSeen(sidecar, now_);
  for (const ControlNode& node : reply.control_nodes) gossip_.OnPeerSeen(node, now_);
}

// ---- Sidecars ----

void ControlCore::Watch(WatchRequest request, Micros now, const WatchRegistry::Callback& done) {
  now_ = now;
  sidecars_.OnWatch(request.node, request.load_report_address, now);
  RouteDemand(request.demand);
  if (!request.usage.reporter.empty()) MergeUsage(request.usage);
  watches_.Add(std::move(request), done, WatchReadiness(), now);
  Flush();
}

WatchRegistry::Readiness ControlCore::WatchReadiness() const {
  const Micros heartbeats_received = kHeartbeatsUntilComplete * settings_.heartbeat_ms * kMicrosPerMs;
  return {HasQuorumContact(), quorum_contact_.HasLasted(heartbeats_received, now_)};
}

void ControlCore::AnswerWatches(WatchRegistry::Urgency urgency) {
  watches_.AnswerPending(urgency, WatchReadiness(), now_);
}

// Forwards the report to all peers, because any of them may be the next one to report usage to the platform.
void ControlCore::MergeUsage(const UsageReport& report) {
  if (!HasQuorumContact()) return;  // the watch fails, and the sidecar reports to another process
  usage_counts_.Merge(report);
  gossip_.BroadcastUsage(report);
}

// ---- Duties ----

std::optional<duties::FencingToken> ControlCore::Grant(duties::Duty duty, Micros now) const {
  if (stopping_) return std::nullopt;
  return leases_.Grant(duty, shards_.configuration_replica(), shards_.duties(), now);
}

void ControlCore::PerformDuties() {
  if (stopping_) return;
  leases_.Tick(shards_.configuration_replica(), shards_.duties(), now_);
  PlanPlacements();
  const std::optional<Micros> true_time = true_time_.At(now_);
  if (true_time) usage_reporter_.PruneCounts(shards_.duties(), usage_counts_, *true_time);
  const auto usage_token = Grant(duties::Duty::kUsage, now_);
  if (settings_.reports_usage && usage_token && true_time)
    usage_reporter_.Tick(*usage_token, shards_.duties(), usage_counts_, *true_time, now_);
}

void ControlCore::OnPlatformResponse(const duties::PlatformCall& call, int status, Micros now) {
  now_ = now;
  const duties::PlatformAnswer answer = duties::PlatformAnswerOf(status);
  usage_reporter_.OnAnswered(std::stoll(call.subject), answer, now);
  Flush();
}

// ---- Placement ----

void ControlCore::OnDemand(const std::vector<ModelDemand>& demand, Micros now) {
  now_ = now;
  RouteDemand(demand);
  Flush();
}

// The leader records demand; other processes forward it to the leader. Reports arrive hundreds of times a
// second, and a plan costs more than a report: placements are planned at once only if requests wait for a
// model, otherwise with the next tick.
void ControlCore::RouteDemand(const std::vector<ModelDemand>& demand) {
  if (demand.empty()) return;
  if (shards_.configuration_replica().leader()) {
    placer_.RecordDemand(demand, now_);
    const auto has_waiting_requests = [](const ModelDemand& model) { return model.waiting > 0; };
    if (std::any_of(demand.begin(), demand.end(), has_waiting_requests)) PlanPlacements();
    return;
  }
  const std::string leader = shards_.ConfigurationLeader();
  if (!leader.empty()) gossip_.SendDemand(leader, demand);
}

void ControlCore::PlanPlacements() {
  const auto token = Grant(duties::Duty::kPlacement, now_);
  if (!token) return;
  placer_.Tick(*token, configuration(), table_, now_);
  PublishInstanceChanges();
}

// Sends changes of the table to the sidecars that watch this process. Changes that this process made are also
// broadcast to the other control processes, for the sidecars that watch those.
void ControlCore::PublishInstanceChanges() {
  if (!table_.HasUpdatesFor(notified_versions_)) return;
  notified_versions_ = table_.version_vector();
  watches_.OnUpdate();
  AnswerWatches(WatchRegistry::Urgency::kRateLimited);
  if (notified_versions_[incarnation_] <= broadcast_counter_) return;
  broadcast_counter_ = notified_versions_[incarnation_];
  gossip_.ScheduleBroadcast(now_);
}

void ControlCore::OnOrdersDue(Micros now) {
  now_ = now;
  PlanPlacements();
  Flush();
}

void ControlCore::OnOrderResponse(const PlacementCall& order, int status, Micros now) {
  now_ = now;
  placer_.OnOrderAnswered(order, status, now);
  PlanPlacements();
  Flush();
}

void ControlCore::OnServerReport(const std::string& instance, const std::optional<ServerReport>& report,
                                 Micros now) {
  now_ = now;
  placer_.OnReport(instance, report, now);
  Flush();
}

}  // namespace violetwing
