// One shard in a control process: its consensus replica, the state machine that the committed log drives, and
// the submitters of pending commands. Free of I/O: it has no clock, socket, file or thread.
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

/// Runs a consensus replica and its state machine. Not thread-safe: all calls come from one event loop, and
/// callbacks and outputs are invoked synchronously. Times are readings of the process's steady clock.
class ReplicatedStateMachine {
 public:
  /// Called once, with the state machine's answer or ControlErrc::kCommitStatusUnknown.
  using SubmitCallback = std::function<void(const Result<std::string>& answer)>;

  /// Operations that the host performs for this shard.
  struct Outputs {
    /// Sends a consensus message to the replica `Message::to`.
    std::function<void(int shard, const consensus::Message&)> send;
    /// Forwards an encoded Envelope to the shard's leader, which handles it with OnForwardedProposal.
    std::function<void(int shard, const consensus::Member& leader, const std::string& command)> forward;
    /// Makes the write durable, then calls OnWriteDurable with the token.
    std::function<void(ShardWrite, std::uint64_t token)> write;
    /// Whether any shard has writes that are not durable yet.
    std::function<bool()> has_pending_writes;
    /// Returns a token that is unique within the process.
    std::function<std::uint64_t()> next_write_token;
    /// Called after the state machine has applied commands or loaded a snapshot.
    std::function<void(int shard)> applied;
    /// Called when a snapshot cannot be loaded: the process must exit. This shard has written and sent
    /// nothing that depends on the snapshot, and stays inactive from now on.
    std::function<void(int shard, std::error_code)> failed;
  };

  /// How long a submitter waits for the answer.
  struct SubmitTimeouts {
    Micros minimum = 0;              ///< while this replica has no contact with a quorum
    Micros with_quorum_contact = 0;  ///< while it has contact; at least `minimum`
  };

  /// `incarnation` identifies this run of the process and is unique across all runs of all processes. It
  /// distinguishes requests of this run from those that an earlier run left in the log. `machine` must
  /// outlive this object.
  ReplicatedStateMachine(int shard, std::string incarnation, consensus::Replica replica,
                         StateMachine& machine, Outputs outputs);

  /// Loads the state that the replica has read from disk. Must be called once, before any other function.
  void Start() { Flush(); }
  /// Handles a consensus message from a peer.
  void OnMessage(const consensus::Message& message, Micros now);
  /// Advances the timers of elections and heartbeats, and of retries and timeouts of pending commands.
  void Tick(Micros now);
  /// Steps down as leader, see Replica::Resign.
  void Resign(Micros now);
  /// Proposes an encoded Envelope that another process has forwarded. Ignored unless this replica is the
  /// leader; the other process forwards it again.
  void OnForwardedProposal(const std::string& command);
  /// Reports that the write with this token is durable. Ignored if the token is unknown.
  void OnWriteDurable(std::uint64_t token);

  /// Submits a command; `done` is called with the answer once the command is committed and applied here.
  /// Retries may apply it more than once.
  void Submit(const std::string& command, Micros now, Micros timeout, SubmitCallback done);
  /// Submits an idempotent command, whose answer does not depend on the submitter. `request_id` is derived
  /// from the command: concurrent requests with the same id, at any process, share one log entry and its
  /// answer.
  void SubmitIdempotent(const std::string& request_id, const std::string& command, Micros now,
                        SubmitTimeouts timeouts, SubmitCallback done);

  /// Number of the shard.
  int shard() const { return shard_; }
  /// The consensus replica, for membership changes and to query the leadership.
  const consensus::Replica& replica() const { return replica_; }
  consensus::Replica& replica() { return replica_; }

 private:
  struct Submitter {
    Micros minimum_deadline = 0;
    Micros quorum_contact_deadline = 0;
    SubmitCallback done;
  };
  // A submitted command that has not been applied here yet.
  struct PendingCommand {
    std::string command;            // encoded Envelope
    Micros sent_at = 0;             // 0: not proposed or forwarded yet
    consensus::Term sent_term = 0;  // this replica's term at `sent_at`
    std::vector<Submitter> submitters;
  };
  // Actions to take once a write is durable.
  struct PendingWrite {
    consensus::Index last_index = 0;  // of the written entries; 0: none
    consensus::Term last_term = 0;
    std::vector<consensus::Message> messages;  // responses that depend on the written state
  };

  // Processes the replica's effects until there are none left.
  void Flush();
  bool LoadSnapshot(const consensus::Snapshot& snapshot);
  void Persist(consensus::Effects& effects);
  void Send(const std::vector<consensus::Message>& messages);
  void Apply(const consensus::Entry& entry);
  void CompactIfDue();
  bool IsCompactionDue() const;
  void LogLeadershipChange();
  // Appends the command to the log if this replica is the leader, unless the log has an entry of the same
  // request that is not applied yet.
  void Propose(const std::string& request_id, const std::string& command);
  // Proposes the command if this replica is the leader, else forwards it to the leader. Does so again after
  // an interval or a change of term.
  void SendToLeader(const std::string& request_id, PendingCommand& pending, Micros now);
  // Moves the callbacks whose deadline has passed from `pending` to `expired`.
  void TakeExpired(PendingCommand& pending, Micros now, std::vector<SubmitCallback>& expired) const;

  const int shard_;
  const std::string incarnation_;
  consensus::Replica replica_;
  StateMachine& machine_;
  Outputs outputs_;
  std::map<std::string, PendingCommand> pending_commands_;  // by request id
  std::set<std::string> proposed_requests_;  // ids of requests in this leader's log, not applied yet
  consensus::Term proposed_term_ = 0;        // term in which proposed_requests_ were proposed
  std::map<std::uint64_t, PendingWrite> pending_writes_;  // by token
  std::uint64_t submit_count_ = 0;
  std::size_t processed_bytes_at_snapshot_ = 0;  // machine_.processed_bytes() at the last snapshot
  std::size_t log_bytes_since_snapshot_ = 0;     // size of the commands applied since then
  bool flushing_ = false;
  bool failed_ = false;            // never reset
  bool logged_as_leader_ = false;  // leadership as last logged
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_REPLICATED_STATE_MACHINE_HPP_
