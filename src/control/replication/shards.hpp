// The shards of a control process: their replicas, and the state that their logs drive. The first shard holds
// the configuration; the others hold deregistrations of servers, by a hash of the service's name. A core: it
// holds no clock, socket, file or thread.
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

/// All shards of one process. Not thread-safe: one event loop drives it. Neither copied nor moved, as its
/// parts refer to each other.
class Shards {
 public:
  /// What the host carries out. `address` is the internal address (host:port) of a control process.
  struct Outputs {
    std::function<void(const std::string& address, ShardMessage)> send;
    std::function<void(const std::string& address, ShardProposal)> propose;
    /// Makes the write durable and then calls OnWriteDurable with the token.
    std::function<void(ShardWrite, std::uint64_t token)> write;
    /// The state of the shard has changed.
    std::function<void(int shard)> applied;
    /// A server drains or is deregistered, by a committed command.
    std::function<void(const std::string& server_id, Phase phase)> deregistered;
    /// A snapshot of the shard cannot be loaded: the process must end (see ReplicatedStateMachine::Outputs).
    std::function<void(int shard, std::error_code)> failed;
  };

  /// What the store held when the process started.
  struct Stored {
    consensus::ReplicaId replica_id;
    std::map<int, consensus::StoredState> shards;
  };

  using ChangeCallback = std::function<void(const Result<configuration::ChangeOutcome>&)>;
  using DoneCallback = std::function<void(const Result<void>&)>;

  /// `bootstrap_voters` form the first membership of each shard; empty where the disk is not one of them.
  /// `incarnation` identifies this run of the process among all runs of all processes, and seeds the random
  /// election timeouts.
  Shards(Stored stored, const consensus::Members& bootstrap_voters, const std::string& incarnation,
         Outputs outputs, Micros now);
  Shards(const Shards&) = delete;
  Shards& operator=(const Shards&) = delete;

  /// Advances the timers of all shards.
  void Tick(Micros now);
  /// The write of this token is durable.
  void OnWriteDurable(std::uint64_t token);
  /// Handles a consensus message of a peer; ignored for an unknown shard.
  void OnMessage(const ShardMessage& message, Micros now);
  /// Handles a command that a peer has forwarded to this process as the leader.
  void OnForwardedProposal(const ShardProposal& proposal);

  /// The process of this replica id reports its internal address. It goes before the address in the
  /// membership.
  void OnPeerAddress(const consensus::ReplicaId& id, const std::string& address) { addresses_[id] = address; }
  /// Adds a replica without a vote; once it has caught up it may become a voter.
  void AddLearner(int shard, const consensus::Member& learner, Micros now);
  /// Whether the process of this replica id has announced its shutdown.
  void SetLeaving(const consensus::ReplicaId& id, bool leaving);
  /// When Tick has to be called at the latest, for an election in one of the shards; empty if none is due.
  std::optional<Micros> NextElectionAt() const;
  /// Gives up leadership of all shards that this process leads: it is about to end.
  void Resign(Micros now);
  /// Proposes membership changes that are due in the shards that this process leads. Returns the addresses of
  /// all members of all shards; some may occur more than once.
  std::vector<std::string> ReviewMembers(const consensus::MembershipPolicy& policy, Micros now);
  /// Shards in which this replica is not a voter, or cannot learn whether it is.
  std::vector<int> ShardsToJoin(Micros now) const;

  /// Commits a configuration change (PROTOCOL.md, the operator's API). Changes that are equal are one command
  /// while they are pending. Error: kCommitStatusUnknown.
  void SubmitChange(const configuration::Change& change, Micros now, const ChangeCallback& done);
  /// Linearizable read barrier: succeeds once every change acknowledged before is applied here, by an entry
  /// of the log or by heartbeats, whichever comes first: an entry is quicker, heartbeats need no disk. Error:
  /// kCommitStatusUnknown.
  void AwaitReadBarrier(Micros now, const DoneCallback& done);
  /// Commits that a server drains or is deregistered. Error: kCommitStatusUnknown.
  void Deregister(const std::string& service, const std::string& server_id, Phase phase, Micros now,
                  const DoneCallback& done);

  /// kDraining or kDeregistered as applied here; empty if the server has done neither.
  std::optional<Phase> Deregistered(const std::string& server_id) const;
  const configuration::State& configuration() const { return configuration_; }
  /// Leases and decisions of the duties, as applied here.
  const duties::DutyTable& duties() const { return duties_; }
  /// Submits a command of the duties to the configuration's shard. It may be lost, or be applied twice.
  void SubmitDutyCommand(const ConfigurationCommand& command, Micros now);
  /// The replica of the configuration's shard; its leader is also the placer.
  const consensus::Replica& configuration_replica() const { return shards_.front()->replica(); }
  /// Internal address of the configuration shard's leader; empty if unknown.
  std::string ConfigurationLeader() const;
  /// This process's replica id, the same in all shards.
  const consensus::ReplicaId& replica_id() const { return replica_id_; }

 private:
  // A read barrier that waits; `done` is empty once it was called.
  struct PendingRead {
    Micros requested_at = 0;
    DoneCallback done;
  };
  using PendingReadPtr = std::shared_ptr<PendingRead>;

  static void Complete(PendingRead& read, const Result<void>& result);
  // Completes the reads that heartbeats have confirmed.
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
  std::vector<Deregistrations> deregistrations_;  // by shard; the first is unused
  std::vector<std::unique_ptr<StateMachine>> machines_;
  std::vector<std::unique_ptr<ReplicatedStateMachine>> shards_;
  std::map<consensus::ReplicaId, std::string> addresses_;
  std::uint64_t last_write_token_ = 0;
  std::map<std::uint64_t, ReplicatedStateMachine*> pending_writes_;  // by token
  std::vector<PendingReadPtr> pending_reads_;                        // in the order of their requests
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_SHARDS_HPP_
