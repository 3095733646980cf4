// The commands in the shards' logs, and the envelope that tells which request a command belongs to. They are
// encoded as protocol buffers (messages/internal.proto). Logs of earlier versions hold JSON, which is still
// decoded (see control/storage/json_form.hpp).
#ifndef VIOLETWING_CONTROL_REPLICATION_COMMANDS_HPP_
#define VIOLETWING_CONTROL_REPLICATION_COMMANDS_HPP_

#include <string>
#include <variant>

#include "common/result.hpp"
#include "control/configuration/change.hpp"
#include "control/duties/duty_table.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// A command as it is stored in a log entry.
struct Envelope {
  std::string request_id;  ///< unique over all runs of all processes, or derived from an idempotent command
  std::string command;     ///< encoded, for the shard's state machine
};

/// Changes nothing: once it is applied, so is every command that was committed before it (a read barrier).
struct ReadCommand {};
/// A command of the configuration's shard.
using ConfigurationCommand = std::variant<ReadCommand, configuration::Change, duties::AcquireLease,
                                          duties::RecordUsage, duties::UsageDelivered>;

/// A command of a service shard: the server drains, or is deregistered.
struct DeregistrationCommand {
  std::string server_id;
  Phase phase = Phase::kDraining;  ///< kDraining or kDeregistered
};

/// The stored form.
std::string Encode(const Envelope& envelope);
std::string Encode(const ConfigurationCommand& command);
std::string Encode(const DeregistrationCommand& command);

/// The decoders accept both stored forms. Errors: DecodeErrc::kMalformed, and kUnknownKind of a configuration
/// command.
Result<Envelope> DecodeEnvelope(const std::string& bytes);
Result<ConfigurationCommand> DecodeConfigurationCommand(const std::string& bytes);
Result<DeregistrationCommand> DecodeDeregistrationCommand(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_COMMANDS_HPP_
