// One shard in a control process: its replica, the state machine that the log drives, and the callers that
// wait for their commands to be applied here.
#ifndef VIOLETWING_CONTROL_REPLICATION_REPLICATED_STATE_MACHINE_HPP_
#define VIOLETWING_CONTROL_REPLICATION_REPLICATED_STATE_MACHINE_HPP_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/consensus/replica.hpp"
#include "control/storage/store.hpp"

namespace violetwing {

// What the entries of a shard's log are applied to, in their order and on every replica alike.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual std::string Apply(const std::string& command) = 0;  // the answer to the caller
  virtual std::string Save() const = 0;
  virtual void Load(const std::string& saved) = 0;
  // Bytes that commands have made it read and write since it was made: what it costs to apply them again.
  virtual std::size_t worked() const { return 0; }
};

class ReplicatedStateMachine {
 public:
  // Empty: nothing is known of the command by then, and it may yet be applied.
  using Done = std::function<void(const std::optional<std::string>& result)>;
  struct Outputs {
    std::function<void(int shard, const consensus::Message&)> send;
    std::function<void(int shard, const consensus::Member& leader, const std::string& command)> forward;
    std::function<void(ShardWrite, std::uint64_t token)> write;
    std::function<bool()> writes_wait;  // whether the disk still owes earlier writes
    std::function<std::uint64_t()> next_token;
    std::function<void(int shard)> applied;
  };

  // `incarnation` names one incarnation of this process, unlike any other's: it tells this one's commands
  // from those that an earlier one left in the log.
  ReplicatedStateMachine(int shard, std::string incarnation, consensus::Replica replica,
                         StateMachine& machine, Outputs outputs);

  // Loads what was stored.
  void Start() { Flush(); }
  void Step(const consensus::Message& message, Micros now);
  void Tick(Micros now);
  // A command that another process sent here as the leader.
  void TakeForwarded(const std::string& command);
  // The command's answer once it is committed and applied here. It may be applied more than once.
  void Call(const std::string& command, Micros now, Micros within, Done done);
  // How long a caller waits: in any case, and as long as this replica is in touch with a quorum.
  struct SubmitTimeouts {
    Micros least = 0;
    Micros has_quorum_contact = 0;
  };
  // The same for a command whose answer does not depend on who calls: `name` is the command's own. Calls of
  // the same name that are under way at any process are one command in the log, and share its answer.
  void SubmitIdempotent(const std::string& name, const std::string& command, Micros now,
                        SubmitTimeouts timeouts, Done done);
  // The write of this token is on disk. False if it is not this group's.
  bool Written(std::uint64_t token);

  int shard() const { return shard_; }
  const consensus::Replica& replica() const { return replica_; }
  consensus::Replica& replica() { return replica_; }

 private:
  struct Caller {
    Micros least_until = 0;
    Micros until = 0;
    Done done;
  };
  // A command that is not applied yet, and who waits for it.
  struct Waiting {
    std::string command;  // in its envelope
    Micros sent_at = 0;   // 0: not yet
    consensus::Term sent_in = 0;
    std::vector<Caller> callers;
  };
  // What waits for the disk.
  struct Unwritten {
    consensus::Index last = 0;
    consensus::Term term = 0;
    std::vector<consensus::Message> messages;
  };

  void Flush();
  void LogLeadership();
  bool CompactionDue() const;
  void Send(const std::vector<consensus::Message>& messages);
  void Apply(const consensus::Entry& entry);
  // As the leader; nothing if the same call's command is in the log already, not yet applied.
  void Propose(const std::string& request, const std::string& command);
  void Offer(const std::string& request, Waiting& waiting, Micros now);
  void TakeLate(Waiting& waiting, Micros now, std::vector<Done>& late) const;

  const int shard_;
  const std::string incarnation_;
  consensus::Replica replica_;
  StateMachine& machine_;
  Outputs outputs_;
  std::map<std::string, Waiting> waiting_;  // by the name of the call
  std::set<std::string> proposed_;  // calls whose commands this leader has in its log, not yet applied
  consensus::Term proposed_in_ = 0;
  std::map<std::uint64_t, Unwritten> unwritten_;
  std::uint64_t calls_ = 0;
  std::size_t worked_at_snapshot_ = 0;
  std::size_t logged_since_snapshot_ = 0;  // bytes of commands that were applied since
  bool flushing_ = false;
  bool led_ = false;  // as last logged
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_REPLICATED_STATE_MACHINE_HPP_
