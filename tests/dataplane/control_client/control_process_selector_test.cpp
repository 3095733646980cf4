// Which control process a sidecar asks.
#include "dataplane/control_client/control_process_selector.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE("A sidecar switches from a seed in another zone to its own zone's control process") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "near", "near:1", ""}};
  ControlProcessSelector choice("near", "edge-1");
  choice.SetSeeds({"far:1"});
  REQUIRE(choice.Current({}) == "far:1");
  choice.OnAnswered(known, kSecond);
  CHECK(choice.Current(known) == "near:1");
}

TEST_CASE("After a failure in its own zone a sidecar fails over, and fails back some time later") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "near", "near:1", ""}};
  ControlProcessSelector choice("near", "edge-1");
  REQUIRE(choice.Current(known) == "near:1");
  choice.OnFailed(known, kSecond);
  CHECK(choice.Current(known) == "far:1");
  choice.OnAnswered(known, 2 * kSecond);
  CHECK(choice.Current(known) == "far:1");
  choice.OnAnswered(known, 10 * kSecond);
  CHECK(choice.Current(known) == "near:1");
}

TEST_CASE("Without a control process in its own zone, a sidecar stays with one that responds") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "further", "further:1", ""}};
  ControlProcessSelector choice("near", "edge-1");
  choice.SetSeeds({"far:1"});
  REQUIRE(choice.Current({}) == "far:1");
  for (Micros now = kSecond; now < 20 * kSecond; now += kSecond) {
    choice.OnAnswered(known, now);
    CHECK(choice.Current(known) == "far:1");
  }
}

TEST_CASE("Sidecars of a zone are spread over its control processes, also after one has failed") {
  constexpr int kSidecars = 90;
  const std::vector<ControlNode> known{{"c0", "far", "far:1", ""},
                                       {"c1", "near", "near:1", ""},
                                       {"c2", "near", "near:2", ""},
                                       {"c3", "near", "near:3", ""}};
  std::map<std::string, int> asked;
  std::map<std::string, int> asked_after;
  for (int i = 0; i < kSidecars; ++i) {
    ControlProcessSelector choice("near", "edge-" + std::to_string(i));
    choice.SetSeeds({"far:1", "near:1"});
    choice.Current({});
    choice.OnAnswered(known, kSecond);
    ++asked[choice.Current(known)];
    if (choice.Current(known) != "near:1") continue;
    choice.OnFailed(known, 2 * kSecond);
    ++asked_after[choice.Current(known)];
  }
  CHECK(asked.size() == 3);
  for (const auto& [address, count] : asked) CHECK((count > kSidecars / 5 && count < kSidecars / 2));
  CHECK(asked_after.size() == 2);
  CHECK(asked_after.count("far:1") == 0);
}

}  // namespace violetwing
