// The settings of a process.
#include "common/node_settings.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace violetwing {

TEST_CASE("Settings are validated, each finding names its place, and unknown keys are ignored") {
  std::string problem;
  const auto good = ParseSettings(R"({"node_name": "n", "ip": "10.0.0.1", "seed_nodes": ["10.0.0.2:80"],
    "ephemeral_ports": [7660, 7675], "new": {}, "data_dir": null, "timeouts": {"grace_s": 8}})",
                                  problem);
  REQUIRE(good.has_value());
  CHECK(good->InternalAddress() == "10.0.0.1:7660");
  CHECK(good->InternalAddressOf("10.0.0.2:80") == "10.0.0.2:7660");
  CHECK(good->grace_ms == 8000);
  CHECK_FALSE(
      ParseSettings(R"({"node_name": 7, "ephemeral_ports": [5], "timeouts": {"grace_s": 0}})", problem));
  for (const char* place : {"node_name:", "ip:", "seed_nodes:", "ephemeral_ports:", "timeouts.grace_s:"})
    CHECK(problem.find(place) != std::string::npos);
  CHECK(problem.find('\n') == std::string::npos);
  CHECK_FALSE(ParseSettings("{", problem));
}

}  // namespace violetwing
