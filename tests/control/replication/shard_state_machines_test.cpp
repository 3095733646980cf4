// Tests the answers of the configuration's state machine.
#include "control/replication/shard_state_machines.hpp"

#include <catch2/catch.hpp>

#include "messages/decode_error.hpp"
#include "testing/configuration_document.hpp"

namespace violetwing {

TEST_CASE("The answer to a change is decoded, any other one is an error") {
  configuration::State state;
  duties::DutyTable duties;
  ConfigurationStateMachine machine(state, duties);
  const std::string change =
      Encode(ConfigurationCommand(configuration::Change{false, 0, testing::Document(3)}));
  const auto accepted = ConfigurationStateMachine::DecodeAnswer(machine.Apply(change));
  REQUIRE(accepted);
  CHECK(accepted.value().status == configuration::ChangeStatus::kAccepted);
  CHECK(accepted.value().version == 3);
  for (const std::string& command : {std::string("\x01"), Encode(ConfigurationCommand(ReadCommand{}))})
    CHECK(ConfigurationStateMachine::DecodeAnswer(machine.Apply(command)).error() == DecodeErrc::kMalformed);
  for (const char* answer : {"[]", "{}", R"({"outcome":0,"version":"1","problem":""})"})
    CHECK(ConfigurationStateMachine::DecodeAnswer(answer).error() == DecodeErrc::kMalformed);
}

}  // namespace violetwing
