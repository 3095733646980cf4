// Encoding of the commands in the logs, and decoding of the current and the older encoding.
#include "control/replication/commands.hpp"

#include <catch2/catch.hpp>

namespace violetwing {
namespace {

using configuration::Change;

}  // namespace

TEST_CASE("Decoding an encoded command restores all fields, including binary bodies") {
  const std::string bytes("{\"a\":\"\\\"\"}\xff\x00", 12);
  const Envelope envelope = DecodeEnvelope(Encode(Envelope{"change/1", bytes})).value();
  CHECK(envelope.request_id == "change/1");
  CHECK(envelope.command == bytes);
  const auto command = DecodeConfigurationCommand(Encode(ConfigurationCommand(Change{true, 7, bytes})));
  const Change change = std::get<Change>(command.value());
  CHECK(change.patch);
  CHECK(change.base_version == 7);
  CHECK(change.body == bytes);
  const auto read = DecodeConfigurationCommand(Encode(ConfigurationCommand(ReadCommand{})));
  CHECK(std::holds_alternative<ReadCommand>(read.value()));
  for (const Phase phase : {Phase::kDraining, Phase::kDeregistered})
    CHECK(DecodeDeregistrationCommand(Encode(DeregistrationCommand{"i-1", phase})).value().phase == phase);
}

TEST_CASE("Commands in the older JSON encoding are decoded") {
  const Envelope envelope = DecodeEnvelope(R"({"request":"a/1","command":"{\"read\":true}"})").value();
  CHECK(envelope.request_id == "a/1");
  CHECK(std::holds_alternative<ReadCommand>(DecodeConfigurationCommand(envelope.command).value()));
  const auto command = DecodeConfigurationCommand(R"({"patch":false,"base":3,"body":"{}"})");
  CHECK(std::get<Change>(command.value()).base_version == 3);
  const DeregistrationCommand deregistration =
      DecodeDeregistrationCommand(R"({"id":"i-1","phase":"gone"})").value();
  CHECK(deregistration.server_id == "i-1");
  CHECK(deregistration.phase == Phase::kDeregistered);
}

TEST_CASE("Malformed commands are rejected") {
  for (const char* text : {"", "{", "{}", "[]", "\xff\xff", "\x0a"}) CHECK_FALSE(DecodeEnvelope(text));
  for (const char* text : {"", "{", "\xff\xff"}) CHECK_FALSE(DecodeConfigurationCommand(text));
  for (const char* text : {"", "{", "\xff\xff"}) CHECK_FALSE(DecodeDeregistrationCommand(text));
}

}  // namespace violetwing
