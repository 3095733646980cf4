#include "control/replication/commands.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "control/storage/json_encoding.hpp"
#include "messages/decode_error.hpp"
#include "messages/generated/internal.pb.h"
#include "messages/parse.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

// Decodes a JSON command with `read`, which throws json::exception if the command is malformed.
template <class Read>
auto FromJson(const std::string& text, Read read) -> Result<decltype(read(json()))> {
  const json object = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) return DecodeErrc::kMalformed;
  try {
    return read(object);
  } catch (const json::exception&) {
    return DecodeErrc::kMalformed;
  }
}

Envelope EnvelopeFromJson(const json& object) {
  return {object.at("request").get<std::string>(), object.at("command").get<std::string>()};
}

ConfigurationCommand ConfigurationFromJson(const json& object) {
  if (object.value("read", false)) return ReadCommand{};
  return configuration::Change{object.value("patch", false), object.value("base", std::int64_t{0}),
                               object.value("body", std::string())};
}

DeregistrationCommand DeregistrationFromJson(const json& object) {
  return {object.value("id", std::string()), object.value("phase", Phase::kDraining)};
}

// Each overload sets the field of the `command` oneof that corresponds to its first argument.
void SetCommand(const ReadCommand&, wire::ConfigurationCommand& out) { out.set_read(true); }

void SetCommand(const configuration::Change& change, wire::ConfigurationCommand& out) {
  out.mutable_change()->set_patch(change.patch);
  out.mutable_change()->set_base(change.base_version);
  out.mutable_change()->set_body(change.body);
}

void SetCommand(const duties::AcquireLease& command, wire::ConfigurationCommand& out) {
  out.mutable_acquire_lease()->set_duty(command.duty);
  out.mutable_acquire_lease()->set_holder(command.holder);
  out.mutable_acquire_lease()->set_expected_token(command.expected_token);
  out.mutable_acquire_lease()->set_minimum_token(command.minimum_token);
}

void SetCommand(const duties::RecordUsage& command, wire::ConfigurationCommand& out) {
  out.mutable_record_usage()->set_window(command.window);
  for (const auto& [tenant, count] : command.counts) {
    wire::TenantCount& tenant_count = *out.mutable_record_usage()->add_counts();
    tenant_count.set_tenant(tenant);
    tenant_count.set_count(count);
  }
}

void SetCommand(const duties::UsageDelivered& command, wire::ConfigurationCommand& out) {
  out.mutable_usage_delivered()->set_window(command.window);
}

duties::RecordUsage FromWire(const wire::RecordUsage& in) {
  duties::RecordUsage command{in.window(), {}};
  for (const wire::TenantCount& tenant_count : in.counts())
    command.counts[tenant_count.tenant()] = tenant_count.count();
  return command;
}

}  // namespace

std::string Encode(const Envelope& envelope) {
  wire::Command message;
  message.set_request(envelope.request_id);
  message.set_body(envelope.command);
  return message.SerializeAsString();
}

Result<Envelope> DecodeEnvelope(const std::string& bytes) {
  if (IsJsonEncoded(bytes)) return FromJson(bytes, EnvelopeFromJson);
  auto message = wire::Parse<wire::Command>(bytes);
  if (!message) return DecodeErrc::kMalformed;
  return Envelope{std::move(*message->mutable_request()), std::move(*message->mutable_body())};
}

std::string Encode(const ConfigurationCommand& command) {
  wire::ConfigurationCommand message;
  std::visit([&message](const auto& alternative) { SetCommand(alternative, message); }, command);
  return message.SerializeAsString();
}

Result<ConfigurationCommand> DecodeConfigurationCommand(const std::string& bytes) {
  if (IsJsonEncoded(bytes)) return FromJson(bytes, ConfigurationFromJson);
  auto message = wire::Parse<wire::ConfigurationCommand>(bytes);
  if (!message) return DecodeErrc::kMalformed;
  switch (message->command_case()) {
    case wire::ConfigurationCommand::kRead:
      return ReadCommand{};
    case wire::ConfigurationCommand::kChange: {
      wire::ConfigurationChange& change = *message->mutable_change();
      return configuration::Change{change.patch(), change.base(), std::move(*change.mutable_body())};
    }
    case wire::ConfigurationCommand::kAcquireLease: {
      const wire::AcquireLease& in = message->acquire_lease();
      return duties::AcquireLease{in.duty(), in.holder(), in.expected_token(), in.minimum_token()};
    }
    case wire::ConfigurationCommand::kRecordUsage:
      return FromWire(message->record_usage());
    case wire::ConfigurationCommand::kUsageDelivered:
      return duties::UsageDelivered{message->usage_delivered().window()};
    case wire::ConfigurationCommand::COMMAND_NOT_SET:
      break;
  }
  return DecodeErrc::kUnknownKind;
}

std::string Encode(const DeregistrationCommand& command) {
  wire::DepartureCommand message;
  message.set_id(command.server_id);
  message.set_phase(command.phase == Phase::kDeregistered ? wire::GONE : wire::DRAINING);
  return message.SerializeAsString();
}

Result<DeregistrationCommand> DecodeDeregistrationCommand(const std::string& bytes) {
  if (IsJsonEncoded(bytes)) return FromJson(bytes, DeregistrationFromJson);
  auto message = wire::Parse<wire::DepartureCommand>(bytes);
  if (!message) return DecodeErrc::kMalformed;
  const Phase phase = message->phase() == wire::GONE ? Phase::kDeregistered : Phase::kDraining;
  return DeregistrationCommand{std::move(*message->mutable_id()), phase};
}

}  // namespace violetwing
