#include "control/replication/shard_state_machines.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <variant>

#include "control/replication/commands.hpp"

namespace violetwing {

using nlohmann::json;

std::string ConfigurationStateMachine::Apply(const std::string& command) {
  const std::optional<ConfigurationCommand> decoded = DecodeConfigurationCommand(command);
  const auto* change = decoded ? std::get_if<configuration::Change>(&*decoded) : nullptr;
  if (change == nullptr) return {};
  const configuration::ChangeOutcome outcome = state_.Apply(*change);
  return json{{"outcome", outcome.status}, {"version", outcome.version}, {"problem", outcome.message}}.dump();
}

configuration::ChangeOutcome ConfigurationStateMachine::DecodeAnswer(const std::string& answer) {
  const json decoded = json::parse(answer);
  return {decoded.at("outcome").get<configuration::ChangeStatus>(), decoded.at("version").get<std::int64_t>(),
          decoded.at("problem").get<std::string>()};
}

std::string DeregistrationStateMachine::Apply(const std::string& command) {
  const std::optional<DeregistrationCommand> decoded = DecodeDeregistrationCommand(command);
  if (!decoded) return {};
  state_.Apply(decoded->server_id, decoded->phase);
  on_deregistered_(decoded->server_id, decoded->phase);
  return {};
}

void DeregistrationStateMachine::Load(const std::string& saved) {
  state_.Load(saved);
  for (const auto& [server_id, phase] : state_.all()) on_deregistered_(server_id, phase);
}

}  // namespace violetwing
