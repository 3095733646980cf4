// The state machines of the shards: the configuration, and the deregistrations of servers.
#ifndef VIOLETWING_CONTROL_REPLICATION_SHARD_STATE_MACHINES_HPP_
#define VIOLETWING_CONTROL_REPLICATION_SHARD_STATE_MACHINES_HPP_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <system_error>

#include "common/result.hpp"
#include "control/configuration/state.hpp"
#include "control/duties/duty_table.hpp"
#include "control/instances/deregistrations.hpp"
#include "control/replication/commands.hpp"
#include "control/replication/state_machine.hpp"

namespace violetwing {

/// Applies ConfigurationCommands: configuration changes by the operator, commands of the duties, and read
/// barriers.
class ConfigurationStateMachine : public StateMachine {
 public:
  /// Both arguments must outlive this object.
  ConfigurationStateMachine(configuration::State& state, duties::DutyTable& duties)
      : state_(state), duties_(duties) {}

  /// Returns the answer to a change in the encoding that DecodeAnswer reads; empty for other commands.
  std::string Apply(const std::string& command) override;
  std::string Save() const override;
  std::error_code Load(const std::string& saved) override;
  std::size_t processed_bytes() const override { return state_.processed_bytes(); }

  /// Decodes the answer that Apply returned for a change. Error: DecodeErrc::kMalformed, for instance for the
  /// empty answer to a command that cannot be decoded.
  static Result<configuration::ChangeOutcome> DecodeAnswer(const std::string& answer);

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

/// Applies DeregistrationCommands: a server starts to drain, or is deregistered. The answers are empty.
class DeregistrationStateMachine : public StateMachine {
 public:
  using OnDeregistered = std::function<void(const std::string& server_id, Phase phase)>;

  /// Both arguments must outlive this object. `on_deregistered` is called for each applied command, and for
  /// each server in a loaded snapshot.
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
