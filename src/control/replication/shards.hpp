// The shards of a control process: their replicas, and the state that their logs drive. The first holds the
// configuration; the others hold the servers that have left, by a hash of the service's name. A core: it
// holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_REPLICATION_SHARDS_HPP_
#define VIOLETWING_CONTROL_REPLICATION_SHARDS_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/state.hpp"
#include "control/consensus/membership.hpp"
#include "control/gossip/exchange_message.hpp"
#include "control/instances/deregistrations.hpp"
#include "control/replication/replicated_state_machine.hpp"

namespace violetwing {

// The name of the first disk of the process at this internal address. Every later disk draws its own.
std::string FounderDisk(const std::string& address);
bool IsFounder(const std::string& disk);

class Shards {
 public:
  struct Outputs {
    std::function<void(const std::string& address, ShardMessage)> send;
    std::function<void(const std::string& address, ShardProposal)> propose;
    std::function<void(ShardWrite, std::uint64_t token)> write;
    std::function<void(int shard)> applied;
    std::function<void(const std::string& id, Phase phase)> left;  // a server has said that it leaves
  };
  // What a disk held as the process started.
  struct Stored {
    std::string disk;  // its id
    std::map<int, consensus::StoredState> shards;
  };

  // `incarnation` differs between the incarnations of all processes; it seeds what is drawn.
  Shards(Stored stored, const consensus::Members& founders, const std::string& incarnation, Outputs outputs,
         Micros now);

  void Tick(Micros now);
  void Written(std::uint64_t token);
  void Step(const ShardMessage& message, Micros now);
  void TakeForwarded(const ShardProposal& proposal);
  // A disk that has no vote in the shard asks for one.
  void Join(int shard, const consensus::Member& learner, Micros now);
  // Where the process with this disk takes internal calls, by its own word.
  void Meet(const std::string& disk, const std::string& address) { addresses_[disk] = address; }
  // Changes the groups that this process leads where that is due; returns the addresses of all members.
  std::vector<std::string> ReviewMembers(const consensus::MemberPolicy& policy, Micros now);
  // The process with this disk is about to end, by its own word, or is not any more.
  void SetLeaving(const std::string& disk, bool leaving);
  // Shards in which this disk has no vote, or does not hear whether it has one.
  std::vector<int> Joins(Micros now) const;

  // Each is called with nothing if no quorum has answered in time; what was asked may yet be done.
  void Change(const configuration::Change& change, Micros now,
              std::function<void(const std::optional<configuration::Answer>&)> done);
  // Waits until all changes that were acknowledged before are applied here.
  void Read(Micros now, std::function<void(bool current)> done);
  void Leave(const std::string& service, const std::string& id, Phase phase, Micros now,
             std::function<void(bool taken)> done);

  std::optional<Phase> Deregistered(const std::string& id) const;
  const configuration::State& configuration() const { return configuration_; }
  // The replica whose leader places models.
  const consensus::Replica& configuration_replica() const { return groups_.front()->replica(); }
  // Internal address of the process that leads the configuration's shard; empty if that is not known.
  std::string ConfigurationLeader() const;
  const std::string& disk() const { return disk_; }

 private:
  class ConfigurationMachine;
  class DeregistrationsMachine;

  void MakeReplica(int shard, const std::string& incarnation, StateMachine& machine,
                   consensus::Replica replica);
  ReplicatedStateMachine* Find(int shard) const;  // null if there is none
  ReplicatedStateMachine& OfService(const std::string& service) const;
  std::string AddressOf(int shard, const consensus::ReplicaId& id) const;

  const std::string disk_;
  const Outputs outputs_;
  configuration::State configuration_;
  std::vector<Deregistrations> deregistrations_;  // by shard, the first unused
  std::vector<std::unique_ptr<StateMachine>> machines_;
  std::vector<std::unique_ptr<ReplicatedStateMachine>> groups_;
  std::map<consensus::ReplicaId, std::string> addresses_;
  std::uint64_t token_ = 0;                                  // of the last write
  std::map<std::uint64_t, ReplicatedStateMachine*> writes_;  // that the disk owes
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_SHARDS_HPP_
