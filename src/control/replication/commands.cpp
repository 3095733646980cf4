#include "control/replication/commands.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "control/storage/json_form.hpp"
#include "messages/decode_error.hpp"
#include "messages/generated/internal.pb.h"
#include "messages/parse.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

// Decodes a command of the older stored form by `read`, which throws json::exception for a malformed one.
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

}  // namespace

std::string Encode(const Envelope& envelope) {
  wire::Command message;
  message.set_request(envelope.request_id);
  message.set_body(envelope.command);
  return message.SerializeAsString();
}

Result<Envelope> DecodeEnvelope(const std::string& bytes) {
  if (IsJsonForm(bytes)) return FromJson(bytes, EnvelopeFromJson);
  auto message = wire::Parse<wire::Command>(bytes);
  if (!message) return DecodeErrc::kMalformed;
  return Envelope{std::move(*message->mutable_request()), std::move(*message->mutable_body())};
}

std::string Encode(const ConfigurationCommand& command) {
  wire::ConfigurationCommand message;
  if (const auto* change = std::get_if<configuration::Change>(&command)) {
    message.mutable_change()->set_patch(change->patch);
    message.mutable_change()->set_base(change->base_version);
    message.mutable_change()->set_body(change->body);
  } else {
    message.set_read(true);
  }
  return message.SerializeAsString();
}

Result<ConfigurationCommand> DecodeConfigurationCommand(const std::string& bytes) {
  if (IsJsonForm(bytes)) return FromJson(bytes, ConfigurationFromJson);
  auto message = wire::Parse<wire::ConfigurationCommand>(bytes);
  if (!message) return DecodeErrc::kMalformed;
  if (message->has_read()) return ReadCommand{};
  if (!message->has_change()) return DecodeErrc::kUnknownKind;
  wire::ConfigurationChange& change = *message->mutable_change();
  return configuration::Change{change.patch(), change.base(), std::move(*change.mutable_body())};
}

std::string Encode(const DeregistrationCommand& command) {
  wire::DepartureCommand message;
  message.set_id(command.server_id);
  message.set_phase(command.phase == Phase::kDeregistered ? wire::GONE : wire::DRAINING);
  return message.SerializeAsString();
}

Result<DeregistrationCommand> DecodeDeregistrationCommand(const std::string& bytes) {
  if (IsJsonForm(bytes)) return FromJson(bytes, DeregistrationFromJson);
  auto message = wire::Parse<wire::DepartureCommand>(bytes);
  if (!message) return DecodeErrc::kMalformed;
  const Phase phase = message->phase() == wire::GONE ? Phase::kDeregistered : Phase::kDraining;
  return DeregistrationCommand{std::move(*message->mutable_id()), phase};
}

}  // namespace violetwing
