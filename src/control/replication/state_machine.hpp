// The interface between a replicated log and the state that it drives.
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
  /// Applies one committed command and returns the answer for the process that has submitted it. The outcome
  /// depends on the state and the command alone.
  virtual std::string Apply(const std::string& command) = 0;
  /// The whole state, for a snapshot (Raft, section 7).
  virtual std::string Save() const = 0;
  /// Replaces the state by one that Save has returned, on this replica or another. After an error the state
  /// is unspecified.
  [[nodiscard]] virtual std::error_code Load(const std::string& saved) = 0;
  /// Bytes that commands have made it read and write since it was constructed: the cost of applying them
  /// again. It decides when a snapshot is due.
  virtual std::size_t worked() const { return 0; }
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_STATE_MACHINE_HPP_
