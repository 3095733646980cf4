// One shard in a control process: its replica, the state machine that the committed log drives, and the
// callers whose commands are pending. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_REPLICATION_REPLICATED_STATE_MACHINE_HPP_
#define VIOLETWING_CONTROL_REPLICATION_REPLICATED_STATE_MACHINE_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "common/time.hpp"
#include "control/consensus/replica.hpp"
#include "control/replication/state_machine.hpp"
#include "control/storage/shard_write.hpp"

namespace violetwing {

/// Host of a consensus replica and its state machine. Not thread-safe: all calls come from one event loop,
/// and callbacks and outputs are invoked from within them. Times are of the process's steady clock.
class ReplicatedStateMachine {
 public:
  /// Receives the state machine's answer, or ControlErrc::kCommitStatusUnknown. Called once.
  using SubmitCallback = std::function<void(const Result<std::string>& answer)>;

  /// What the host carries out for this shard.
  struct Outputs {
    /// Sends a consensus message to the replica that it names.
    std::function<void(int shard, const consensus::Message&)> send;
    /// Sends a command in its envelope to the shard's leader, for OnForwardedProposal there.
    std::function<void(int shard, const consensus::Member& leader, const std::string& command)> forward;
    /// Makes the write durable and then calls OnWriteDurable with the token.
    std::function<void(ShardWrite, std::uint64_t token)> write;
    /// Whether writes of any shard are not durable yet.
    std::function<bool()> has_pending_writes;
    /// A token that is unique within the process.
    std::function<std::uint64_t()> next_write_token;
    /// Called after the state machine has applied commands or loaded a snapshot.
    std::function<void(int shard)> applied;
    /// A snapshot cannot be loaded, for the reason given: the process must end. This shard has written and
    /// sent nothing that depends on the snapshot and does nothing from now on.
    std::function<void(int shard, std::error_code)> failed;
  };

  /// How long a submitter waits for its answer.
  struct SubmitTimeouts {
    Micros minimum = 0;              ///< while this replica has no contact with a quorum
    Micros with_quorum_contact = 0;  ///< while it has; not below `minimum`
  };

  /// `incarnation` identifies one run of this process among all runs of all processes: it tells the requests
  /// of this run from those that an earlier one has left in the log. `machine` outlives this object.
  ReplicatedStateMachine(int shard, std::string incarnation, consensus::Replica replica,
                         StateMachine& machine, Outputs outputs);

  /// Loads what the replica has read from disk. To be called once, before all others.
  void Start() { Flush(); }
  /// Handles a consensus message of a peer.
  void OnMessage(const consensus::Message& message, Micros now);
  /// Advances timers: elections, heartbeats, retries and timeouts of pending commands.
  void Tick(Micros now);
  /// Gives up leadership, see Replica::Resign.
  void Resign(Micros now);
  /// Proposes a command, in its envelope, that another process has forwarded. Ignored unless this replica
  /// leads: the other process forwards it again.
  void OnForwardedProposal(const std::string& command);
  /// The write of this token is durable. Ignored if the token is unknown.
  void OnWriteDurable(std::uint64_t token);

  /// Submits a command; `done` gets the answer once it is committed and applied here. Retries may apply it
  /// more than once.
  void Submit(const std::string& command, Micros now, Micros timeout, SubmitCallback done);
  /// The same for an idempotent command, whose answer does not depend on the submitter. `request_id` is
  /// derived from the command: concurrent requests of one id, at any process, share one log entry and its
  /// answer.
  void SubmitIdempotent(const std::string& request_id, const std::string& command, Micros now,
                        SubmitTimeouts timeouts, SubmitCallback done);

  /// The shard's number.
  int shard() const { return shard_; }
  /// The consensus replica, for membership changes and for questions about leadership.
  const consensus::Replica& replica() const { return replica_; }
  consensus::Replica& replica() { return replica_; }

 private:
  struct Submitter {
    Micros minimum_deadline = 0;
    Micros quorum_contact_deadline = 0;
    SubmitCallback done;
  };
  // A command that is not applied here yet.
  struct PendingCommand {
    std::string command;            // in its envelope
    Micros sent_at = 0;             // 0: neither proposed nor forwarded yet
    consensus::Term sent_term = 0;  // the term of this replica at that time
    std::vector<Submitter> submitters;
  };
  // What is due once a write is durable.
  struct PendingWrite {
    consensus::Index last_index = 0;  // of the entries; 0: none
    consensus::Term last_term = 0;
    std::vector<consensus::Message> messages;  // they acknowledge or promise what is written
  };

  // Carries out the replica's effects until there are none.
  void Flush();
  bool LoadSnapshot(const consensus::Snapshot& snapshot);
  void Persist(consensus::Effects& effects);
  void Send(const std::vector<consensus::Message>& messages);
  void Apply(const consensus::Entry& entry);
  void CompactIfDue();
  bool IsCompactionDue() const;
  void LogLeadershipChange();
  // Appends to the log as the leader, unless an entry of the same request is in it and not applied yet.
  void Propose(const std::string& request_id, const std::string& command);
  // Proposes the command here or forwards it to the leader; again after an interval or a change of term.
  void ForwardToLeader(const std::string& request_id, PendingCommand& pending, Micros now);
  // Moves the callbacks whose deadline has passed out of `pending`.
  void TakeExpired(PendingCommand& pending, Micros now, std::vector<SubmitCallback>& expired) const;

  const int shard_;
  const std::string incarnation_;
  consensus::Replica replica_;
  StateMachine& machine_;
  Outputs outputs_;
  std::map<std::string, PendingCommand> pending_commands_;  // by request id
  std::set<std::string> proposed_requests_;               // ids in this leader's log that are not applied yet
  consensus::Term proposed_term_ = 0;                     // the term that proposed_requests_ belongs to
  std::map<std::uint64_t, PendingWrite> pending_writes_;  // by token
  std::uint64_t submit_count_ = 0;
  std::size_t worked_at_snapshot_ = 0;        // machine_.worked() then
  std::size_t log_bytes_since_snapshot_ = 0;  // of the commands that were applied since
  bool flushing_ = false;
  bool failed_ = false;  // for good
  bool logged_as_leader_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_REPLICATED_STATE_MACHINE_HPP_
