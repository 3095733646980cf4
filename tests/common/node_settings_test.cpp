// Tests of parsing the settings file and of reporting its errors.
#include "common/node_settings.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <variant>

namespace violetwing {

TEST_CASE("Settings are read, and unknown fields are ignored") {
  const SettingsResult read = ParseNodeSettings(
      R"({"node_name": "n", "ip": "10.0.0.1", "seed_nodes": ["10.0.0.2:80"],
          "ephemeral_ports": [7660, 7675], "new": {}, "data_dir": null, "timeouts": {"grace_s": 8}})");
  REQUIRE(std::holds_alternative<NodeSettings>(read));
  const auto& settings = std::get<NodeSettings>(read);
  CHECK(settings.InternalAddress() == "10.0.0.1:7660");
  CHECK(settings.InternalAddressOf("10.0.0.2:80") == "10.0.0.2:7660");
  CHECK(settings.grace_ms == 8000);
}

TEST_CASE("Each invalid setting is a finding with its path, and all findings are reported in one line") {
  const SettingsResult read =
      ParseNodeSettings(R"({"node_name": 7, "ephemeral_ports": [5], "timeouts": {"grace_s": 0}})");
  REQUIRE(std::holds_alternative<SettingsError>(read));
  const std::string line = std::get<SettingsError>(read).ToString();
  for (const char* path : {"node_name:", "ip:", "seed_nodes:", "ephemeral_ports:", "timeouts.grace_s:"})
    CHECK(line.find(path) != std::string::npos);
  CHECK(line.find('\n') == std::string::npos);
}

TEST_CASE("Invalid JSON and an unreadable file are reported as findings of the file itself") {
  for (const SettingsResult& read : {ParseNodeSettings("{"), ReadNodeSettings("/nonexistent")}) {
    REQUIRE(std::holds_alternative<SettingsError>(read));
    REQUIRE(std::get<SettingsError>(read).findings.size() == 1);
    CHECK(std::get<SettingsError>(read).findings[0].path.empty());
  }
}

TEST_CASE("Settings of the platform's API and its leases are optional") {
  const std::string base = R"({"node_name": "n", "ip": "10.0.0.1", "seed_nodes": ["10.0.0.1:99"],
                               "ephemeral_ports": [100, 110])";
  const SettingsResult minimal = ParseNodeSettings(base + "}");
  REQUIRE(std::holds_alternative<NodeSettings>(minimal));
  CHECK_FALSE(std::get<NodeSettings>(minimal).reports_usage);
  const SettingsResult extended = ParseNodeSettings(
      base +
      R"(, "cloud_api": {"address": "10.2.0.1:80", "leases": ["metering", "autoscale"], "lease_per_s": 50.0},
                "timeouts": {"report_window_s": 2.5, "usage_delay_s": 7, "revoked_keys": true, "revoke_ms": 900}})");
  REQUIRE(std::holds_alternative<NodeSettings>(extended));
  const auto& settings = std::get<NodeSettings>(extended);
  CHECK(settings.platform_address == "10.2.0.1:80");
  CHECK(settings.reports_usage);
  CHECK(settings.report_window_ms == 2500);
  CHECK(settings.usage_delay_ms == 7000);
  CHECK(settings.revoked_keys);
  CHECK(settings.revoke_ms == 900);
}

}  // namespace violetwing
