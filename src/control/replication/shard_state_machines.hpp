// The state machines behind the shards' logs: the configuration, and the deregistrations of servers.
#ifndef VIOLETWING_CONTROL_REPLICATION_SHARD_STATE_MACHINES_HPP_
#define VIOLETWING_CONTROL_REPLICATION_SHARD_STATE_MACHINES_HPP_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <system_error>

#include "control/configuration/state.hpp"
#include "control/duties/duty_table.hpp"
#include "control/instances/deregistrations.hpp"
#include "control/replication/commands.hpp"
#include "control/replication/state_machine.hpp"

namespace violetwing {

/// Applies ConfigurationCommand: a change by the operator, a command of the duties, or a read, which changes
/// nothing.
class ConfigurationStateMachine : public StateMachine {
 public:
  /// Both outlive this object.
  ConfigurationStateMachine(configuration::State& state, duties::DutyTable& duties)
      : state_(state), duties_(duties) {}

  /// The answer to a change is for DecodeAnswer; that to any other command is empty.
  std::string Apply(const std::string& command) override;
  std::string Save() const override;
  std::error_code Load(const std::string& saved) override;
  std::size_t worked() const override { return state_.processed_bytes(); }

  /// Reads what Apply has answered to a change.
  static configuration::ChangeOutcome DecodeAnswer(const std::string& answer);

 private:
  std::string ApplyDecoded(const ReadCommand&) { return {}; }
  std::string ApplyDecoded(const configuration::Change& change);
  template <class DutyCommand>
  std::string ApplyDecoded(const DutyCommand& command) {
    duties_.Apply(command);
    return {};
  }
  bool LoadDecoded(const nlohmann::json& saved);

  configuration::State& state_;
  duties::DutyTable& duties_;
};

/// Applies DeregistrationCommand: a server drains or is deregistered. Its answers are empty.
class DeregistrationStateMachine : public StateMachine {
 public:
  using OnDeregistered = std::function<void(const std::string& server_id, Phase phase)>;

  /// Both outlive this object. `on_deregistered` is called for each command, and for each server of a
  /// snapshot that is loaded.
  DeregistrationStateMachine(Deregistrations& state, const OnDeregistered& on_deregistered)
      : state_(state), on_deregistered_(on_deregistered) {}

  /// See StateMachine.
  std::string Apply(const std::string& command) override;
  std::string Save() const override { return state_.Save(); }
  std::error_code Load(const std::string& saved) override;

 private:
  Deregistrations& state_;
  const OnDeregistered& on_deregistered_;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_SHARD_STATE_MACHINES_HPP_
