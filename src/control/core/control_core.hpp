// The decisions of a control process: it takes the servers' heartbeats and deregistrations and the operator's
// changes, exchanges state with the other control processes, answers the sidecars' watches and places models.
// A core: it holds no clock, socket, file or thread; what has to go out leaves through `Outputs`, and the
// results return by calls.
#ifndef VIOLETWING_CONTROL_CORE_CONTROL_CORE_HPP_
#define VIOLETWING_CONTROL_CORE_CONTROL_CORE_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "common/node_settings.hpp"
#include "common/result.hpp"
#include "common/time.hpp"
#include "control/core/quorum_contact.hpp"
#include "control/core/watch_registry.hpp"
#include "control/duties/lease_keeper.hpp"
#include "control/duties/platform_call.hpp"
#include "control/duties/true_time.hpp"
#include "control/duties/usage_reporter.hpp"
#include "control/duties/usage_table.hpp"
#include "control/gossip/gossip.hpp"
#include "control/gossip/sidecar_registry.hpp"
#include "control/instances/instance_table.hpp"
#include "control/placement/placer_role.hpp"
#include "control/replication/shards.hpp"
#include "messages/watch.hpp"

namespace violetwing {

/// Called on one thread. Times are in microseconds of one steady clock, greater than 0, and never go back.
class ControlCore {
 public:
  /// Calls to the owner, made from within the calls below.
  struct Outputs {
    /// Writes to disk, in this order. `OnWriteDurable` has to follow with the token.
    std::function<void(ShardWrite, std::uint64_t token)> write;
    /// Begins an exchange with another control process. `OnExchangeReply` has to follow.
    std::function<void(const std::string& address, ExchangeRequest)> exchange;
    /// Sends a server an order to load or unload. `OnOrderResponse` has to follow.
    std::function<void(const PlacementCall&, duties::FencingToken)> order;
    /// Asks a server for its report. `OnServerReport` has to follow.
    std::function<void(const PlacementCall&)> ask_report;
    /// Calls the platform. `OnPlatformAnswered` has to follow.
    std::function<void(const duties::PlatformCall&)> call_platform;
    /// The state of a shard cannot be read: the process must end without answering anything more. May be
    /// called by the constructor.
    std::function<void(int shard, std::error_code)> failed;
  };
  /// The outcome of a call that a quorum has to confirm.
  enum class Acceptance {
    kAccepted,     ///< in force
    kUnavailable,  ///< no quorum has confirmed it in time; it may still take effect
  };
  /// The configuration in force. Version 0 and an empty document before the first one.
  struct ConfigurationRead {
    std::int64_t version = 0;
    std::string document;
  };
  using AcceptanceCallback = std::function<void(Acceptance)>;
  /// Errors: kNoQuorum; kCommitStatusUnknown, after which the change may still take effect.
  using ChangeCallback = std::function<void(const Result<configuration::ChangeOutcome>&)>;
  /// Errors: kNoQuorum and kCommitStatusUnknown.
  using ReadCallback = std::function<void(const Result<ConfigurationRead>&)>;

  /// `incarnation`: unique to this run of the process. `stored`: what the disk held at the start.
  ControlCore(const NodeSettings& settings, std::string incarnation, const Shards::Stored& stored,
              Outputs outputs, Micros now);

  /// Replaces the public addresses of the control processes in the settings.
  void SetSeeds(const std::vector<std::string>& seeds, Micros now);
  /// The machine's clock shows `time_of_day`, in microseconds since the start of 1970. To be called at short
  /// intervals, before Tick.
  void OnClock(Micros time_of_day, Micros now) { true_time_.OnOwnClock(time_of_day, now); }
  /// To be called at short intervals.
  void Tick(Micros now);
  /// When an election is due, for a call of `OnElectionDue` then; empty if none is.
  std::optional<Micros> NextElectionAt() const { return shards_.NextElectionAt(); }
  void OnElectionDue(Micros now);
  /// The write with this token is on stable storage.
  void OnWriteDurable(std::uint64_t token, Micros now);
  /// The process is about to end: cancels the pending watches, gives up leadership and announces the shutdown
  /// to the peers.
  void Stop();

  // Calls of servers and of the operator. `done` is called once, possibly before the call returns.

  /// A heartbeat of a server; `draining`: the server has announced its shutdown.
  void Heartbeat(Instance instance, bool draining, Micros now, const AcceptanceCallback& done);
  /// A server has left. Idempotent.
  void Deregister(const std::string& id, Micros now, const AcceptanceCallback& done);
  /// Replaces or patches the configuration.
  void Change(const configuration::Change& change, Micros now, const ChangeCallback& done);
  /// A linearizable read of the configuration.
  void ReadConfiguration(Micros now, const ReadCallback& done);

  /// A long poll of a sidecar, see WatchRegistry.
  void Watch(WatchRequest request, Micros now, const WatchRegistry::Callback& done);
  /// Demand for models that a sidecar reports apart from its watches.
  void OnDemand(const std::vector<ModelDemand>& demand, Micros now);

  /// An exchange that another control process has begun.
  ExchangeReply OnExchangeRequest(const ExchangeRequest& request, Micros now);
  /// The end of an exchange of this process. `reply` is empty without one that could be decoded.
  void OnExchangeReply(const std::string& address, const std::optional<ExchangeReply>& reply, Micros now);

  /// When the next order to a server is due, for a call of `OnOrdersDue` then; empty if none is, or if
  /// another process has to make it.
  std::optional<Micros> NextOrderAt() const {
    return Grant(duties::Duty::kPlacement, now_) ? placer_.NextDueAt() : std::nullopt;
  }
  void OnOrdersDue(Micros now);
  /// The end of an order. `status`: the HTTP status, 0 without a response.
  void OnOrderResponse(const PlacementCall& order, int status, Micros now);
  /// The end of a request for a report. Empty without a report that could be read.
  void OnServerReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now);

  /// The token for a call of this duty that leaves now; empty if this process must not make it. To be asked
  /// right before each call: the decision on it may be older than the lease.
  std::optional<duties::FencingToken> Grant(duties::Duty duty, Micros now) const;
  /// The end of a call to the platform. `status`: the HTTP status, 0 without a response.
  void OnPlatformAnswered(const duties::PlatformCall& call, int status, Micros now);

  /// The state that the other parts of the process and its tests may read.
  const configuration::State& configuration() const { return shards_.configuration(); }
  const InstanceTable& table() const { return table_; }
  const Shards& shards() const { return shards_; }

 private:
  Shards::Outputs ShardOutputs();
  Gossip::Outputs GossipOutputs();
  duties::UsageReporter::Outputs UsageOutputs();
  void SubmitDutyCommand(const ConfigurationCommand& command) { shards_.SubmitDutyCommand(command, now_); }
  void PerformDuties();
  void TakeUsage(const UsageReport& report);
  bool HasQuorumContact() const { return shards_.configuration_replica().HasQuorumContact(now_); }
  // Without contact for longer than an election takes: calls that need a quorum are rejected at once.
  bool IsIsolated() const;
  void SubmitDeregistration(const std::string& service, const std::string& id, Phase phase,
                            const AcceptanceCallback& done);
  void LogDeparture(const std::string& id, Phase phase, Micros announced_at, Acceptance acceptance) const;
  // Of a departure that is in the log.
  Acceptance AcceptanceOfDeparture() const;
  WatchRegistry::Readiness WatchReadiness() const;
  void AnswerWatches(WatchRegistry::Urgency urgency);
  void RouteDemand(const std::vector<ModelDemand>& demand);
  void PlanPlacements();
  void PublishInstanceChanges();
  void MergeReply(const ExchangeReply& reply);
  void MergeInstances(const std::vector<Instance>& changed);
  // Sends what was queued for peers during the current call.
  void Flush() { gossip_.Flush(now_); }

  const NodeSettings settings_;
  const std::string incarnation_;
  const Outputs outputs_;
  Micros now_;  // of the current call
  InstanceTable table_;
  SidecarRegistry sidecars_;
  PlacerRole placer_;
  Gossip gossip_;
  Shards shards_;
  VersionVector notified_versions_;      // changes that sidecars were notified of
  std::uint64_t broadcast_counter_ = 0;  // last change of this process that was broadcast
  const consensus::MembershipPolicy membership_policy_;
  QuorumContact quorum_contact_;
  duties::LeaseKeeper leases_;
  duties::TrueTime true_time_;
  duties::UsageTable usage_counts_;
  duties::UsageReporter usage_reporter_;
  // Addresses of peers that have sent all the usage that they knew, since the last exchange with them that
  // failed.
  std::set<std::string> usage_sources_;
  WatchRegistry watches_;
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CORE_CONTROL_CORE_HPP_
