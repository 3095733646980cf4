// Interface of the state machines that replicated logs drive.
#ifndef VIOLETWING_CONTROL_REPLICATION_STATE_MACHINE_HPP_
#define VIOLETWING_CONTROL_REPLICATION_STATE_MACHINE_HPP_

#include <cstddef>
#include <string>
#include <system_error>

namespace violetwing {

/// Deterministic state that every replica of a shard derives from the same log (Raft, section 2).
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  /// Applies one committed command and returns the answer for its submitter. State and answer must depend
  /// only on the previous state and the command.
  virtual std::string Apply(const std::string& command) = 0;
  /// Serializes the complete state for a snapshot (Raft, section 7).
  virtual std::string Save() const = 0;
  /// Restores a state that Save returned on this replica or on another one. The state is unspecified after an
  /// error.
  [[nodiscard]] virtual std::error_code Load(const std::string& saved) = 0;
  /// Bytes read and written by Apply since construction, a measure of the cost of replaying the commands.
  /// A snapshot is taken when it has grown beyond a limit.
  virtual std::size_t processed_bytes() const { return 0; }
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_STATE_MACHINE_HPP_
