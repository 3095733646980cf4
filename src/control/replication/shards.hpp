// The shards of a control process: their replicas and state machines. The first shard holds the configuration
// and the state of the duties; the others hold deregistrations of servers, partitioned by a hash of the
// service name. Free of I/O: it has no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_REPLICATION_SHARDS_HPP_
#define VIOLETWING_CONTROL_REPLICATION_SHARDS_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "common/result.hpp"
#include "common/time.hpp"
#include "control/configuration/state.hpp"
#include "control/consensus/membership.hpp"
#include "control/duties/duty_table.hpp"
#include "control/gossip/exchange_message.hpp"
#include "control/instances/deregistrations.hpp"
#include "control/replication/commands.hpp"
#include "control/replication/replicated_state_machine.hpp"
#include "control/replication/state_machine.hpp"
#include "control/storage/shard_write.hpp"

namespace violetwing {

/// All shards of one process. Not thread-safe: all calls come from one event loop. Not copyable or movable,
/// since its members refer to each other.
class Shards {
 public:
  /// Operations that the host performs. `address` is the internal address (host:port) of a control process.
  struct Outputs {
    std::function<void(const std::string& address, ShardMessage)> send;
    std::function<void(const std::string& address, ShardProposal)> propose;
    /// Makes the write durable, then calls OnWriteDurable with the token.
    std::function<void(ShardWrite, std::uint64_t token)> write;
    /// Called when the state of the shard may have changed.
    std::function<void(int shard)> applied;
    /// Called when a committed command has set a server draining or deregistered it.
    std::function<void(const std::string& server_id, Phase phase)> deregistered;
    /// Called when a snapshot of the shard cannot be loaded: the process must exit (see
    /// ReplicatedStateMachine::Outputs).
    std::function<void(int shard, std::error_code)> failed;
  };

  /// Contents of the store when the process started.
  struct Stored {
    consensus::ReplicaId replica_id;
    std::map<int, consensus::StoredState> shards;
  };

  using ChangeCallback = std::function<void(const Result<configuration::ChangeOutcome>&)>;
  using DoneCallback = std::function<void(const Result<void>&)>;

  /// `bootstrap_voters` form the first membership of each shard; empty if this disk is not one of them.
  /// `incarnation` identifies this run of the process, is unique across all runs of all processes, and seeds
  /// the random election timeouts.
  Shards(Stored stored, const consensus::Members& bootstrap_voters, const std::string& incarnation,
         Outputs outputs, Micros now);
  Shards(const Shards&) = delete;
  Shards& operator=(const Shards&) = delete;

  /// Advances the timers of all shards.
  void Tick(Micros now);
  /// Reports that the write with this token is durable.
  void OnWriteDurable(std::uint64_t token);
  /// Handles a consensus message from a peer. Ignored if the shard is unknown.
  void OnMessage(const ShardMessage& message, Micros now);
  /// Handles a command that a peer has forwarded to this process as the shard's leader.
  void OnForwardedProposal(const ShardProposal& proposal);

  /// Records the internal address that the process of this replica id has reported. It takes precedence over
  /// the address in the membership.
  void OnPeerAddress(const consensus::ReplicaId& id, const std::string& address) { addresses_[id] = address; }
  /// Adds a non-voting replica, which may become a voter once it has caught up.
  void AddLearner(int shard, const consensus::Member& learner, Micros now);
  /// Records whether the process of this replica id has announced its shutdown.
  void SetLeaving(const consensus::ReplicaId& id, bool leaving);
  /// Latest time for the next call of Tick, so that no shard's election is late; empty if none is scheduled.
  std::optional<Micros> NextElectionAt() const;
  /// Steps down as leader of all shards, as this process is about to exit.
  void Resign(Micros now);
  /// Proposes the membership changes that `policy` requires in the shards that this process leads. Returns
  /// the addresses of all members of all shards, possibly with duplicates.
  std::vector<std::string> ReviewMembers(const consensus::MembershipPolicy& policy, Micros now);
  /// Shards in which this replica is not a voter, or cannot determine whether it is.
  std::vector<int> ShardsToJoin(Micros now) const;

  /// Commits a configuration change (PROTOCOL.md, the operator's API). Equal changes share one command while
  /// they are pending. Error: kCommitStatusUnknown.
  void SubmitChange(const configuration::Change& change, Micros now, const ChangeCallback& done);
  /// Linearizable read barrier: succeeds once every change acknowledged before the call is applied here. It
  /// is confirmed by a log entry or by heartbeats, whichever comes first: a log entry is faster, heartbeats
  /// need no disk. Error: kCommitStatusUnknown.
  void AwaitReadBarrier(Micros now, const DoneCallback& done);
  /// Commits that a server starts to drain or is deregistered. Error: kCommitStatusUnknown.
  void Deregister(const std::string& service, const std::string& server_id, Phase phase, Micros now,
                  const DoneCallback& done);

  /// kDraining or kDeregistered as applied here; empty if the server is neither.
  std::optional<Phase> Deregistered(const std::string& server_id) const;
  const configuration::State& configuration() const { return configuration_; }
  /// State of the duties as applied here: leases, and usage windows recorded and delivered.
  const duties::DutyTable& duties() const { return duties_; }
  /// Submits a command of the duties to the configuration shard. It may be lost or applied twice.
  void SubmitDutyCommand(const ConfigurationCommand& command, Micros now);
  /// The replica of the configuration shard, whose leader is also the placer.
  const consensus::Replica& configuration_replica() const { return shards_.front()->replica(); }
  /// Internal address of the configuration shard's leader; empty if unknown.
  std::string ConfigurationLeader() const;
  /// This process's replica id, the same in all shards.
  const consensus::ReplicaId& replica_id() const { return replica_id_; }

 private:
  // A pending read barrier. `done` is empty once it has been called.
  struct PendingRead {
    Micros requested_at = 0;
    DoneCallback done;
  };
  using PendingReadPtr = std::shared_ptr<PendingRead>;

  static void Complete(PendingRead& read, const Result<void>& result);
  // Completes the read barriers that heartbeats have confirmed.
  void CompleteConfirmedReads();
  void AddShard(int shard, const std::string& incarnation, StateMachine& machine, consensus::Replica replica);
  ReplicatedStateMachine::Outputs ShardOutputs();
  ReplicatedStateMachine* Find(int shard) const;  // null if there is none
  ReplicatedStateMachine& ShardOfService(const std::string& service) const;
  std::string AddressOf(int shard, const consensus::ReplicaId& id) const;

  const consensus::ReplicaId replica_id_;
  const Outputs outputs_;
  configuration::State configuration_;
  duties::DutyTable duties_;
  std::vector<Deregistrations>
      deregistrations_;  // by shard; the element of the configuration shard is unused
  std::vector<std::unique_ptr<StateMachine>> machines_;
  std::vector<std::unique_ptr<ReplicatedStateMachine>> shards_;
  std::map<consensus::ReplicaId, std::string> addresses_;
  std::uint64_t last_write_token_ = 0;
  std::map<std::uint64_t, ReplicatedStateMachine*> pending_writes_;  // by token
  std::vector<PendingReadPtr> pending_reads_;                        // in order of request
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_SHARDS_HPP_
