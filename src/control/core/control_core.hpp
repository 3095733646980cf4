// The decision logic of a control process: it handles the heartbeats and deregistrations of servers and the
// configuration changes of the operator, exchanges state with the other control processes, answers the
// watches of sidecars and places models. A core: it holds no clock, socket, file or thread. Its actions leave
// through `Outputs`, and their results come back as calls.
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
#include "control/configuration/change_form.hpp"
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
  /// Actions for the owner to carry out, called from within the functions below.
  struct Outputs {
    /// Writes to disk, in the order of the calls. The owner then calls `OnWriteDurable` with the token.
    std::function<void(ShardWrite, std::uint64_t token)> write;
    /// Begins an exchange with another control process. The owner then calls `OnExchangeReply`.
    std::function<void(const std::string& address, ExchangeRequest)> exchange;
    /// Sends a server an order to load or unload a model. The owner then calls `OnOrderResponse`.
    std::function<void(const PlacementCall&, duties::FencingToken)> send_order;
    /// Requests a server's report. The owner then calls `OnServerReport`.
    std::function<void(const PlacementCall&)> request_report;
    /// Calls the platform. The owner then calls `OnPlatformResponse`.
    std::function<void(const duties::PlatformCall&)> call_platform;
    /// The state of a shard cannot be read. The process must end without answering any further call. May be
    /// called from within the constructor.
    std::function<void(int shard, std::error_code)> failed;
  };
  /// The outcome of a call that a quorum has to confirm.
  enum class Acceptance {
    kAccepted,     ///< it has taken effect
    kUnavailable,  ///< no quorum confirmed it in time; it may still take effect
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

  /// `incarnation`: unique to this run of the process. `stored`: the state that the disk held at the start of
  /// the process.
  ControlCore(const NodeSettings& settings, std::string incarnation, const Shards::Stored& stored,
              Outputs outputs, Micros now);

  /// Replaces the public addresses of the control processes in the settings.
  void SetSeeds(const std::vector<std::string>& seeds, Micros now);
  /// Reports the time of day of the machine's clock, in microseconds since the start of 1970. To be called at
  /// short intervals, before Tick.
  void OnClock(Micros time_of_day, Micros now) { true_time_.OnOwnClock(time_of_day, now); }
  /// To be called at short intervals.
  void Tick(Micros now);
  /// The time at which `OnElectionDue` has to be called; empty if no election is due.
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
  /// A server has deregistered. Idempotent.
  void Deregister(const std::string& id, Micros now, const AcceptanceCallback& done);
  /// Replaces or patches the configuration. A change whose form is invalid never reaches the log.
  void Change(const configuration::Change& change, Micros now, const ChangeCallback& done);
  /// A linearizable read of the configuration.
  void ReadConfiguration(Micros now, const ReadCallback& done);

  /// A long poll of a sidecar for changes; see WatchRegistry.
  void Watch(WatchRequest request, Micros now, const WatchRegistry::Callback& done);
  /// Demand for models that a sidecar reports outside of its watches.
  void OnDemand(const std::vector<ModelDemand>& demand, Micros now);

  /// An exchange that another control process has begun.
  ExchangeReply OnExchangeRequest(const ExchangeRequest& request, Micros now);
  /// An exchange that this process began has ended. `reply` is empty if it failed or its reply could not be
  /// decoded.
  void OnExchangeReply(const std::string& address, const std::optional<ExchangeReply>& reply, Micros now);

  /// The time at which `OnOrdersDue` has to be called to send the next order; empty if no order is due, or if
  /// this process does not hold the placement lease.
  std::optional<Micros> NextOrderAt() const {
    return Grant(duties::Duty::kPlacement, now_) ? placer_.NextDueAt() : std::nullopt;
  }
  void OnOrdersDue(Micros now);
  /// An order has ended. `status`: the HTTP status, 0 without a response.
  void OnOrderResponse(const PlacementCall& order, int status, Micros now);
  /// A request for a server's report has ended. `report` is empty if the request failed or the report could
  /// not be parsed.
  void OnServerReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now);

  /// The fencing token for a call of this duty that is sent now; empty if this process must not send it. To
  /// be called right before each call is sent, because the lease may have changed since the call was decided.
  std::optional<duties::FencingToken> Grant(duties::Duty duty, Micros now) const;
  /// A call to the platform has ended. `status`: the HTTP status, 0 without a response.
  void OnPlatformResponse(const duties::PlatformCall& call, int status, Micros now);

  /// State that other parts of the process and tests may read.
  const configuration::State& configuration() const { return shards_.configuration(); }
  const InstanceTable& table() const { return table_; }
  const Shards& shards() const { return shards_; }

 private:
  Shards::Outputs ShardOutputs();
  Gossip::Outputs GossipOutputs();
  duties::UsageReporter::Outputs UsageOutputs();
  void SubmitDutyCommand(const ConfigurationCommand& command) { shards_.SubmitDutyCommand(command, now_); }
  void PerformDuties();
  void MergeUsage(const UsageReport& report);
  bool HasQuorumContact() const { return shards_.configuration_replica().HasQuorumContact(now_); }
  // Whether this process has been without quorum contact for longer than an election takes. Calls that need a
  // quorum are then rejected at once.
  bool IsIsolated() const;
  void SubmitDeregistration(const std::string& service, const std::string& id, Phase phase,
                            const AcceptanceCallback& done);
  void LogDeparture(const std::string& id, Phase phase, Micros announced_at, Acceptance acceptance) const;
  // The outcome of a departure whose command is committed.
  Acceptance DepartureAcceptance() const;
  // The memory that reading a change may take.
  std::size_t MaxParsedBytes() const;
  configuration::ChangeOutcome InvalidChange(configuration::FormProblem problem) const;
  void RejectChange(const configuration::Change& change, configuration::FormProblem problem,
                    const ChangeCallback& done);
  WatchRegistry::Readiness WatchReadiness() const;
  void AnswerWatches(WatchRegistry::Urgency urgency);
  void RouteDemand(const std::vector<ModelDemand>& demand);
  void PlanPlacements();
  void PublishInstanceChanges();
  void MergeReply(const ExchangeReply& reply);
  void MergeInstances(const std::vector<Instance>& changed);
  // Sends the messages to peers that were queued during the current call.
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
  VersionVector notified_versions_;      // of the changes that sidecars were notified of
  std::uint64_t broadcast_counter_ = 0;  // number of this process's last change that was broadcast
  const consensus::MembershipPolicy membership_policy_;
  QuorumContact quorum_contact_;
  duties::LeaseKeeper leases_;
  duties::TrueTime true_time_;
  duties::UsageTable usage_counts_;
  duties::UsageReporter usage_reporter_;
  // Addresses of the peers that have sent their complete usage counts since the last failed exchange with
  // them.
  std::set<std::string> usage_synced_peers_;
  WatchRegistry watches_;
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CORE_CONTROL_CORE_HPP_
