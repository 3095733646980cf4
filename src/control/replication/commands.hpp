// The commands in the shards' logs, and the envelope that carries the id of the request a command belongs to.
// They are encoded as protocol buffers (messages/internal.proto). Logs of earlier versions contain JSON,
// which is still decoded (see control/storage/json_encoding.hpp).
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
  std::string
      request_id;  ///< unique across all incarnations of all processes, or derived from an idempotent command
  std::string command;  ///< encoded, for the shard's state machine
};

/// A read barrier, without effect on the state: once it is applied, every command committed before it is
/// applied too.
struct ReadCommand {};
/// A command of the configuration shard.
using ConfigurationCommand = std::variant<ReadCommand, configuration::Change, duties::AcquireLease,
                                          duties::RecordUsage, duties::UsageDelivered>;

/// A command of a service shard: a server starts to drain, or is deregistered.
struct DeregistrationCommand {
  std::string server_id;
  Phase phase = Phase::kDraining;  ///< kDraining or kDeregistered
};

/// Encode for storage in the log.
std::string Encode(const Envelope& envelope);
std::string Encode(const ConfigurationCommand& command);
std::string Encode(const DeregistrationCommand& command);

/// Decode protocol buffers and the older JSON encoding. Errors: DecodeErrc::kMalformed; for a configuration
/// command also kUnknownKind.
Result<Envelope> DecodeEnvelope(const std::string& bytes);
Result<ConfigurationCommand> DecodeConfigurationCommand(const std::string& bytes);
Result<DeregistrationCommand> DecodeDeregistrationCommand(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_COMMANDS_HPP_
