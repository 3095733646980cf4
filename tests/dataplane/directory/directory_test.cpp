// Tests of Directory.
#include "dataplane/directory/directory.hpp"

#include <catch2/catch.hpp>
#include <memory>

#include "testing/model_servers.hpp"

namespace violetwing {

TEST_CASE("A directory derived from another one with other servers shares its routes") {
  const auto read = configuration::Read(R"({"version": 1, "backends": [{"name": "s"}], "routes": [
    {"name": "r", "hostname": "a.example", "path_prefix": "/", "type": "idempotent", "timeout_ms": 1, "backend": "s"}]})");
  Instance server;
  server.id = "i";
  server.backend = "s";
  server.phase = Phase::kReady;
  auto before =
      std::make_unique<const Directory>(read.configuration, std::map<std::string, Instance>{}, 0, 1);
  const configuration::Route* const route = before->routes().Match("a.example", "/x");
  REQUIRE(route != nullptr);
  const Directory after(*before, {{"i", server}}, 1, 2);
  before.reset();
  CHECK(after.routes().Match("a.example", "/x") == route);
  CHECK(after.version() == 1);
  CHECK(after.Servers("s").size() == 1);
  CHECK(after.sidecar_index() == 1);
}

TEST_CASE("Servers are found by the model and adapter that they have loaded") {
  const Directory directory = testing::ModelServers(10, 0, 1);
  CHECK(directory.ServersWithModel("s", "m", "").size() == 10);
  CHECK(directory.ServersWithModel("s", "m", "a1").size() == 3);
  CHECK(directory.ServersWithModel("s", "n", "").empty());
}

}  // namespace violetwing
