// Tests of RouteTable.
#include "dataplane/directory/route_table.hpp"

#include <catch2/catch.hpp>

namespace violetwing {

TEST_CASE("The longest matching path prefix of the host wins") {
  const auto read = configuration::Read(R"({"version": 1, "backends": [{"name": "s"}], "routes": [
    {"name": "short", "hostname": "A.example", "path_prefix": "/x/", "type": "idempotent", "timeout_ms": 1, "backend": "s"},
    {"name": "long", "hostname": "a.example", "path_prefix": "/x/y/", "type": "idempotent", "timeout_ms": 1, "backend": "s"},
    {"name": "other", "hostname": "b.example", "path_prefix": "/", "type": "idempotent", "timeout_ms": 1, "backend": "s"}]})");
  REQUIRE(read.configuration != nullptr);
  const RouteTable routes(*read.configuration);
  CHECK(routes.Match("a.example", "/x/z")->name == "short");
  CHECK(routes.Match("a.example:8080", "/x/y/z?q=/x/")->name == "long");
  CHECK(routes.Match("a.example", "/x/y")->name == "short");
  CHECK(routes.Match("a.example", "/xy/") == nullptr);
  CHECK(routes.Match("a.example", "/?/x/y/") == nullptr);
  CHECK(routes.Match("b.example", "/x/y/z")->name == "other");
  CHECK(routes.Match("c.example", "/x/") == nullptr);
}

}  // namespace violetwing
