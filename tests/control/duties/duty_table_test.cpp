// The replicated state of the duties: the effect of each command, snapshots and encoding.
#include "control/duties/duty_table.hpp"

#include <catch2/catch.hpp>

#include "control/replication/commands.hpp"

namespace violetwing::duties {
namespace {

AcquireLease Acquire(const std::string& holder, FencingToken expected, FencingToken minimum = 1) {
  return {"usage", holder, expected, minimum};
}

}  // namespace

TEST_CASE("A lease's token increases with each new holder and stays the same for the same holder") {
  DutyTable table;
  CHECK(table.Find(Duty::kUsage) == nullptr);
  table.Apply(Acquire("a", 0, 7));
  REQUIRE(table.Find(Duty::kUsage) != nullptr);
  CHECK(table.Find(Duty::kUsage)->token == 7);
  table.Apply(Acquire("a", 7, 9));
  CHECK(table.Find(Duty::kUsage)->token == 7);
  table.Apply(Acquire("b", 7, 3));
  CHECK(table.Find(Duty::kUsage)->holder == "b");
  CHECK(table.Find(Duty::kUsage)->token == 8);
  CHECK(table.Find(Duty::kPlacement) == nullptr);
}

TEST_CASE("A request for a lease that is applied after another holder's has no effect") {
  DutyTable table;
  table.Apply(Acquire("a", 0, 1));
  table.Apply(Acquire("b", 1));
  table.Apply(Acquire("a", 1));
  CHECK(table.Find(Duty::kUsage)->holder == "b");
  CHECK(table.Find(Duty::kUsage)->token == 2);
}

TEST_CASE("Only the first decision on a window's usage takes effect, even after the window was dropped") {
  constexpr std::int64_t kWindows = 100;
  DutyTable table;
  table.Apply(RecordUsage{1, {{"t", 5}}});
  table.Apply(RecordUsage{1, {{"t", 6}}});
  CHECK(table.usage().at(1).counts == UsageCounts{{"t", 5}});
  for (std::int64_t window = 2; window <= kWindows; ++window) table.Apply(RecordUsage{window, {{"t", 1}}});
  CHECK(table.usage().count(1) == 0);
  CHECK(table.IsRecorded(1));
  CHECK_FALSE(table.IsRecorded(kWindows + 1));
}

TEST_CASE("A snapshot restores the state of the duties") {
  DutyTable table;
  table.Apply(Acquire("a", 0, 4));
  table.Apply(RecordUsage{3, {{"t", 5}, {"u", 1}}});
  table.Apply(UsageDelivered{3});
  DutyTable loaded;
  loaded.Load(nlohmann::json::parse(table.Save().dump()));
  CHECK(loaded.Find(Duty::kUsage)->token == 4);
  CHECK(loaded.usage().at(3).delivered);
  CHECK(loaded.Save() == table.Save());
}

TEST_CASE("Commands of the duties are decoded to what was encoded") {
  const auto lease = DecodeConfigurationCommand(Encode(ConfigurationCommand(Acquire("a", 3, 9)))).value();
  CHECK(std::get<AcquireLease>(lease).holder == "a");
  CHECK(std::get<AcquireLease>(lease).expected_token == 3);
  CHECK(std::get<AcquireLease>(lease).minimum_token == 9);
  const auto usage =
      DecodeConfigurationCommand(Encode(ConfigurationCommand(RecordUsage{8, {{"t", 5}}}))).value();
  CHECK(std::get<RecordUsage>(usage).counts == UsageCounts{{"t", 5}});
  const auto delivered = DecodeConfigurationCommand(Encode(ConfigurationCommand(UsageDelivered{8}))).value();
  CHECK(std::get<UsageDelivered>(delivered).window == 8);
}

}  // namespace violetwing::duties
