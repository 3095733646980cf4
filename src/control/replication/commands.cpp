#include "control/replication/commands.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "messages/generated/internal.pb.h"
#include "messages/parse.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

// Of a log that an earlier version has written.
bool IsJson(const std::string& bytes) { return !bytes.empty() && bytes.front() == '{'; }

template <class Read>
auto FromJson(const std::string& text, Read read) -> std::optional<decltype(read(json()))> {
  const json in = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!in.is_object()) return std::nullopt;
  try {
    return read(in);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

ConfigurationCommand ConfigurationFromJson(const json& in) {
  if (in.value("read", false)) return ReadCommand{};
  return configuration::Change{in.value("patch", false), in.value("base", std::int64_t{0}),
                               in.value("body", std::string())};
}

}  // namespace

std::string Encode(const Envelope& envelope) {
  wire::Command out;
  out.set_request(envelope.request);
  out.set_body(envelope.command);
  return out.SerializeAsString();
}

std::optional<Envelope> DecodeEnvelope(const std::string& bytes) {
  if (IsJson(bytes))
    return FromJson(bytes, [](const json& in) {
      return Envelope{in.at("request").get<std::string>(), in.at("command").get<std::string>()};
    });
  auto in = wire::Parse<wire::Command>(bytes);
  if (!in) return std::nullopt;
  return Envelope{std::move(*in->mutable_request()), std::move(*in->mutable_body())};
}

std::string Encode(const ConfigurationCommand& command) {
  wire::ConfigurationCommand out;
  if (const auto* change = std::get_if<configuration::Change>(&command)) {
    out.mutable_change()->set_patch(change->patch);
    out.mutable_change()->set_base(change->base);
    out.mutable_change()->set_body(change->body);
  } else {
    out.set_read(true);
  }
  return out.SerializeAsString();
}

std::optional<ConfigurationCommand> DecodeConfigurationCommand(const std::string& bytes) {
  if (IsJson(bytes)) return FromJson(bytes, ConfigurationFromJson);
  auto in = wire::Parse<wire::ConfigurationCommand>(bytes);
  if (!in) return std::nullopt;
  if (in->has_read()) return ReadCommand{};
  if (!in->has_change()) return std::nullopt;
  wire::ConfigurationChange& change = *in->mutable_change();
  return configuration::Change{change.patch(), change.base(), std::move(*change.mutable_body())};
}

std::string Encode(const DeregistrationCommand& command) {
  wire::DepartureCommand out;
  out.set_id(command.id);
  out.set_phase(command.phase == Phase::kDeregistered ? wire::GONE : wire::DRAINING);
  return out.SerializeAsString();
}

std::optional<DeregistrationCommand> DecodeDepartureCommand(const std::string& bytes) {
  if (IsJson(bytes))
    return FromJson(bytes, [](const json& in) {
      return DeregistrationCommand{in.value("id", std::string()), in.value("phase", Phase::kDraining)};
    });
  auto in = wire::Parse<wire::DepartureCommand>(bytes);
  if (!in) return std::nullopt;
  return DeregistrationCommand{std::move(*in->mutable_id()),
                               in->phase() == wire::GONE ? Phase::kDeregistered : Phase::kDraining};
}

}  // namespace violetwing
