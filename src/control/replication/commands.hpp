// What the logs of the shards hold: the envelope that names the call that a command answers, and the commands
// of the shards' state machines. Written as protocol buffers (messages/internal.proto). Logs of earlier
// versions held JSON, which is still read: an object's brace begins no envelope.
#ifndef VIOLETWING_CONTROL_REPLICATION_COMMANDS_HPP_
#define VIOLETWING_CONTROL_REPLICATION_COMMANDS_HPP_

#include <optional>
#include <string>
#include <variant>

#include "control/configuration/change.hpp"
#include "messages/instances.hpp"

namespace violetwing {

struct Envelope {
  std::string request;  // names the call, over all processes and their lives
  std::string command;  // of the state machine
};

// Changes nothing: it shows that all before it has been applied.
struct ReadCommand {};
using ConfigurationCommand = std::variant<ReadCommand, configuration::Change>;

struct DeregistrationCommand {
  std::string id;  // of the server
  Phase phase = Phase::kDraining;
};

std::string Encode(const Envelope& envelope);
std::string Encode(const ConfigurationCommand& command);
std::string Encode(const DeregistrationCommand& command);
// Empty where the bytes are no such command.
std::optional<Envelope> DecodeEnvelope(const std::string& bytes);
std::optional<ConfigurationCommand> DecodeConfigurationCommand(const std::string& bytes);
std::optional<DeregistrationCommand> DecodeDepartureCommand(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_COMMANDS_HPP_
