#include "control/replication/shard_state_machines.hpp"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <variant>

#include "common/json_text.hpp"
#include "control/configuration/ignored_members.hpp"
#include "control/control_error.hpp"
#include "control/replication/commands.hpp"
#include "messages/decode_error.hpp"
#include "messages/phase_name.hpp"

namespace violetwing {

using nlohmann::json;

namespace {

constexpr const char* kDutiesMember = "duties";

// Logs a committed command that cannot be decoded. It is skipped, with the same outcome on every replica of
// this version. Exiting instead would stop all control processes, and again at each restart.
void LogUndecodableCommand(std::error_code error) {
  spdlog::error("command without effect error={}", error.message());
}

// Warns the operator about members of the configuration that have no effect.
void LogIgnoredMembers(const configuration::State& state) {
  std::string names;
  for (const std::string& name : configuration::IgnoredMembers(state.document_object()))
    names += (names.empty() ? "" : ",") + name;
  if (!names.empty())
    spdlog::warn("configuration members ignored version={} members={}", state.version(), names);
}

}  // namespace

std::string ConfigurationStateMachine::Apply(const std::string& command) {
  const Result<ConfigurationCommand> decoded = DecodeConfigurationCommand(command);
  if (!decoded) {
    LogUndecodableCommand(decoded.error());
    return {};
  }
  return std::visit([this](const auto& alternative) { return ApplyDecoded(alternative); }, decoded.value());
}

std::string ConfigurationStateMachine::ApplyDecoded(const configuration::Change& change) {
  const std::int64_t version_before = state_.version();
  const configuration::ChangeOutcome outcome = state_.Apply(change);
  if (!change.patch && state_.version() != version_before) LogIgnoredMembers(state_);
  return ToJsonText(
      {{"outcome", outcome.status}, {"version", outcome.version}, {"problem", outcome.message}});
}

std::string ConfigurationStateMachine::Save() const {
  json saved = state_.SaveObject();
  saved[kDutiesMember] = duties_.Save();
  return saved.dump();
}

std::error_code ConfigurationStateMachine::Load(const std::string& saved) {
  try {
    if (LoadDecoded(json::parse(saved))) return {};
  } catch (const json::exception&) {  // reported as kUnreadableState, like any other malformed state
  }
  return ControlErrc::kUnreadableState;
}

bool ConfigurationStateMachine::LoadDecoded(const json& saved) {
  if (!state_.LoadObject(saved)) return false;
  duties_ = {};
  // Snapshots of earlier versions have no such member.
  if (saved.contains(kDutiesMember)) duties_.Load(saved.at(kDutiesMember));
  return true;
}

Result<configuration::ChangeOutcome> ConfigurationStateMachine::DecodeAnswer(const std::string& answer) {
  try {
    const json decoded = json::parse(answer);
    return configuration::ChangeOutcome{decoded.at("outcome").get<configuration::ChangeStatus>(),
                                        decoded.at("version").get<std::int64_t>(),
                                        decoded.at("problem").get<std::string>()};
  } catch (const json::exception&) {
    return DecodeErrc::kMalformed;
  }
}

std::string DeregistrationStateMachine::Apply(const std::string& command) {
  const Result<DeregistrationCommand> decoded = DecodeDeregistrationCommand(command);
  if (!decoded) {
    LogUndecodableCommand(decoded.error());
    return {};
  }
  const DeregistrationCommand& deregistration = decoded.value();
  state_.Apply(deregistration.server_id, deregistration.phase);
  spdlog::info("departure applied instance={} phase={}", deregistration.server_id,
               Name(deregistration.phase));
  on_deregistered_(deregistration.server_id, deregistration.phase);
  return {};
}

std::error_code DeregistrationStateMachine::Load(const std::string& saved) {
  if (!state_.Load(saved)) return ControlErrc::kUnreadableState;
  for (const auto& [server_id, phase] : state_.all()) on_deregistered_(server_id, phase);
  return {};
}

}  // namespace violetwing
