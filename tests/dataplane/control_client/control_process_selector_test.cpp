// Tests of how a sidecar selects the control process to watch.
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
  ControlProcessSelector selector("near", "edge-1");
  selector.SetSeeds({"far:1"});
  REQUIRE(selector.Current({}) == "far:1");
  selector.OnAnswered(known, kSecond);
  CHECK(selector.Current(known) == "near:1");
}

TEST_CASE("After a failure in its own zone a sidecar fails over, and fails back some time later") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "near", "near:1", ""}};
  ControlProcessSelector selector("near", "edge-1");
  REQUIRE(selector.Current(known) == "near:1");
  selector.OnFailed(known, kSecond);
  CHECK(selector.Current(known) == "far:1");
  selector.OnAnswered(known, 2 * kSecond);
  CHECK(selector.Current(known) == "far:1");
  selector.OnAnswered(known, 10 * kSecond);
  CHECK(selector.Current(known) == "near:1");
}

TEST_CASE("Without a control process in its own zone, a sidecar stays with one that responds") {
  const std::vector<ControlNode> known{{"c1", "far", "far:1", ""}, {"c2", "further", "further:1", ""}};
  ControlProcessSelector selector("near", "edge-1");
  selector.SetSeeds({"far:1"});
  REQUIRE(selector.Current({}) == "far:1");
  for (Micros now = kSecond; now < 20 * kSecond; now += kSecond) {
    selector.OnAnswered(known, now);
    CHECK(selector.Current(known) == "far:1");
  }
}

TEST_CASE("Sidecars of a zone are spread over its control processes, also after one has failed") {
  constexpr int kSidecars = 90;
  const std::vector<ControlNode> known{{"c0", "far", "far:1", ""},
                                       {"c1", "near", "near:1", ""},
                                       {"c2", "near", "near:2", ""},
                                       {"c3", "near", "near:3", ""}};
  std::map<std::string, int> selected;
  std::map<std::string, int> selected_after_failure;
  for (int i = 0; i < kSidecars; ++i) {
    ControlProcessSelector selector("near", "edge-" + std::to_string(i));
    selector.SetSeeds({"far:1", "near:1"});
    selector.Current({});
    selector.OnAnswered(known, kSecond);
    ++selected[selector.Current(known)];
    if (selector.Current(known) != "near:1") continue;
    selector.OnFailed(known, 2 * kSecond);
    ++selected_after_failure[selector.Current(known)];
  }
  CHECK(selected.size() == 3);
  for (const auto& [address, count] : selected) CHECK((count > kSidecars / 5 && count < kSidecars / 2));
  CHECK(selected_after_failure.size() == 2);
  CHECK(selected_after_failure.count("far:1") == 0);
}

}  // namespace violetwing
