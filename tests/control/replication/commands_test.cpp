// Commands of the logs, as they are written now and as earlier versions wrote them.
#include "control/replication/commands.hpp"

#include <catch2/catch.hpp>

namespace violetwing {
namespace {

using configuration::Change;

}  // namespace

TEST_CASE("Commands keep all fields through the log, also bytes that are no text") {
  const std::string bytes("{\"a\":\"\\\"\"}\xff\x00", 12);
  const Envelope envelope = DecodeEnvelope(Encode(Envelope{"change/1", bytes})).value();
  CHECK(envelope.request == "change/1");
  CHECK(envelope.command == bytes);
  const auto command = DecodeConfigurationCommand(Encode(ConfigurationCommand(Change{true, 7, bytes})));
  const Change change = std::get<Change>(command.value());
  CHECK(change.patch);
  CHECK(change.base == 7);
  CHECK(change.body == bytes);
  const auto read = DecodeConfigurationCommand(Encode(ConfigurationCommand(ReadCommand{})));
  CHECK(std::holds_alternative<ReadCommand>(read.value()));
  for (const Phase phase : {Phase::kDraining, Phase::kDeregistered})
    CHECK(DecodeDepartureCommand(Encode(DeregistrationCommand{"i-1", phase}))->phase == phase);
}

TEST_CASE("Commands that earlier versions wrote in JSON are read") {
  const Envelope envelope = DecodeEnvelope(R"({"request":"a/1","command":"{\"read\":true}"})").value();
  CHECK(envelope.request == "a/1");
  CHECK(std::holds_alternative<ReadCommand>(DecodeConfigurationCommand(envelope.command).value()));
  const auto command = DecodeConfigurationCommand(R"({"patch":false,"base":3,"body":"{}"})");
  CHECK(std::get<Change>(command.value()).base == 3);
  const DeregistrationCommand departure = DecodeDepartureCommand(R"({"id":"i-1","phase":"gone"})").value();
  CHECK(departure.id == "i-1");
  CHECK(departure.phase == Phase::kDeregistered);
}

TEST_CASE("What is no command is refused") {
  for (const char* text : {"", "{", "{}", "[]", "\xff\xff", "\x0a"}) CHECK_FALSE(DecodeEnvelope(text));
  for (const char* text : {"", "{", "\xff\xff"}) CHECK_FALSE(DecodeConfigurationCommand(text));
  for (const char* text : {"", "{", "\xff\xff"}) CHECK_FALSE(DecodeDepartureCommand(text));
}

}  // namespace violetwing
