// Authentication: which keys are accepted, which tenants they identify, and what a server receives.
#include "dataplane/routing/authentication.hpp"

#include <catch2/catch.hpp>

#include "dataplane/routing/upstream_request.hpp"

namespace violetwing {
namespace {

using Status = Authentication::Status;

configuration::Configuration TwoTenants() {
  configuration::Configuration configuration;
  configuration.tenants = {{"alice", {"key-a1", "key-a2"}, std::nullopt}, {"bob", {"key-b"}, std::nullopt}};
  return configuration;
}

FieldList Authorization(const std::string& value) { return {{"authorization", value}}; }

}  // namespace

TEST_CASE("Each key identifies its tenant, and only an exact match does") {
  const configuration::Configuration configuration = TwoTenants();
  const ApiKeyIndex keys(configuration);
  CHECK(keys.IsRequired());
  CHECK(keys.Find("key-a1")->name == "alice");
  CHECK(keys.Find("key-a2")->name == "alice");
  CHECK(keys.Find("key-b")->name == "bob");
  for (const char* unknown : {"", "key-a", "key-a11", "KEY-B", "key-c"}) CHECK(keys.Find(unknown) == nullptr);
  CHECK_FALSE(ApiKeyIndex(configuration::Configuration()).IsRequired());
}

TEST_CASE("A key is accepted only from a single Authorization field with the Bearer scheme") {
  CHECK(BearerKey(Authorization("Bearer k")) == "k");
  CHECK(BearerKey(Authorization("bearer   k ")) == "k");
  for (const char* other : {"", "k", "Bearer", "Bearer ", "Basic k", "Bearerk"})
    CHECK_FALSE(BearerKey(Authorization(other)));
  CHECK_FALSE(BearerKey({}));
  CHECK_FALSE(BearerKey({{"Authorization", "Bearer k"}, {"authorization", "Bearer k"}}));
}

TEST_CASE("A public route needs no key, any other route requires one if the configuration has tenants") {
  const configuration::Configuration configuration = TwoTenants();
  const ApiKeyIndex keys(configuration);
  configuration::Route private_route;
  configuration::Route public_route;
  public_route.is_public = true;
  CHECK(Authenticate(keys, private_route, {}).status == Status::kUnknownKey);
  CHECK(Authenticate(keys, private_route, Authorization("Bearer nobody's")).status == Status::kUnknownKey);
  CHECK(Authenticate(keys, private_route, Authorization("Bearer key-b")).tenant->name == "bob");
  CHECK(Authenticate(keys, public_route, {}).status == Status::kNotNeeded);
  CHECK(Authenticate(keys, public_route, Authorization("Bearer nobody's")).tenant == nullptr);
  CHECK(Authenticate(ApiKeyIndex(), private_route, {}).status == Status::kNotNeeded);
}

TEST_CASE("A server receives the authenticated tenant, but neither the key nor a tenant set by the client") {
  ClientRequest request;
  request.method = "POST";
  request.target = "/x/";
  request.fields = {
      {"Authorization", "Bearer key-a1"}, {"x-violetwing-tenant", "mallory"}, {"Other", "kept"}};
  const std::string text = BuildUpstreamHead(request, "i-1", 100, {true, "alice"});
  CHECK(text.find("key-a1") == std::string::npos);
  CHECK(text.find("mallory") == std::string::npos);
  CHECK(text.find("X-Violetwing-Tenant: alice\r\n") != std::string::npos);
  CHECK(text.find("Other: kept\r\n") != std::string::npos);
  const std::string without = BuildUpstreamHead(request, "i-1", 100, {});
  CHECK(without.find("X-Violetwing-Tenant") == std::string::npos);
  CHECK(without.find("Authorization: Bearer key-a1") != std::string::npos);
}

}  // namespace violetwing
