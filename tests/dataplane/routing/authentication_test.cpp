// Keys of requests: which are read, and to which tenant they lead.
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

TEST_CASE("Each key leads to its tenant, and only a whole key does") {
  const configuration::Configuration configuration = TwoTenants();
  const ApiKeyIndex keys(configuration);
  CHECK(keys.IsRequired());
  CHECK(keys.Find("key-a1")->name == "alice");
  CHECK(keys.Find("key-a2")->name == "alice");
  CHECK(keys.Find("key-b")->name == "bob");
  for (const char* unknown : {"", "key-a", "key-a11", "KEY-B", "key-c"}) CHECK(keys.Find(unknown) == nullptr);
  CHECK_FALSE(ApiKeyIndex(configuration::Configuration()).IsRequired());
}

TEST_CASE("A key is read from one Authorization field of the Bearer scheme alone") {
  CHECK(BearerKey(Authorization("Bearer k")) == "k");
  CHECK(BearerKey(Authorization("bearer   k ")) == "k");
  for (const char* other : {"", "k", "Bearer", "Bearer ", "Basic k", "Bearerk"})
    CHECK_FALSE(BearerKey(Authorization(other)));
  CHECK_FALSE(BearerKey({}));
  CHECK_FALSE(BearerKey({{"Authorization", "Bearer k"}, {"authorization", "Bearer k"}}));
}

TEST_CASE("A public route needs no key, any other does where the configuration has tenants") {
  const configuration::Configuration configuration = TwoTenants();
  const ApiKeyIndex keys(configuration);
  configuration::Route closed;
  configuration::Route open;
  open.is_public = true;
  CHECK(Authenticate(keys, closed, {}).status == Status::kUnknownKey);
  CHECK(Authenticate(keys, closed, Authorization("Bearer nobody's")).status == Status::kUnknownKey);
  CHECK(Authenticate(keys, closed, Authorization("Bearer key-b")).tenant->name == "bob");
  CHECK(Authenticate(keys, open, {}).status == Status::kNotNeeded);
  CHECK(Authenticate(keys, open, Authorization("Bearer nobody's")).tenant == nullptr);
  CHECK(Authenticate(ApiKeyIndex(), closed, {}).status == Status::kNotNeeded);
}

TEST_CASE("A server is told the tenant that the system has found, never the key or the client's claim") {
  ClientRequest request;
  request.method = "POST";
  request.target = "/x/";
  request.fields = {
      {"Authorization", "Bearer key-a1"}, {"x-violetwing-tenant", "mallory"}, {"Other", "kept"}};
  const std::string text = BuildUpstreamRequest(request, "i-1", 100, {true, "alice"});
  CHECK(text.find("key-a1") == std::string::npos);
  CHECK(text.find("mallory") == std::string::npos);
  CHECK(text.find("X-Violetwing-Tenant: alice\r\n") != std::string::npos);
  CHECK(text.find("Other: kept\r\n") != std::string::npos);
  const std::string without = BuildUpstreamRequest(request, "i-1", 100, {});
  CHECK(without.find("X-Violetwing-Tenant") == std::string::npos);
  CHECK(without.find("Authorization: Bearer key-a1") != std::string::npos);
}

}  // namespace violetwing
