// Configuration: settings in the adapter's form, addresses, defaults and errors.
#include "sidecar/config.hpp"

#include "sidecar/loopback.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

TEST(Config, FlattensSettingsIntoAdapterPairs) {
  const Json settings = {{"allowed", {{"cancel", true}, {"open_cap", 250000.0}}},
                         {"azs", {"a b", "c,d"}},
                         {"costs", {{"waste", 0.04}}},
                         {"grades", {{{"name", "x"}}, {{"name", "y"}}}},
                         {"tenants", Json::array()},
                         {"unset", nullptr}};
  EXPECT_EQ(Flatten(settings),
            "allowed.cancel=true allowed.open_cap=250000 azs=a_b,c_d costs.waste=0.04 grades.count=2 "
            "grades.0.name=x grades.1.name=y tenants=");
}

TEST(Config, DeduplicatesFurtherDiscoveryAddresses) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  Json json = ConfigJson(at, {Entry("s1", at)});
  json["further_discovery"] = {"127.0.0.1:82", "127.0.0.1:81"};
  const Config config = ParseConfig(json.dump());
  ASSERT_EQ(config.discovery.size(), 2U);
  EXPECT_EQ(Text(config.discovery[1]), "127.0.0.1:82");
  EXPECT_TRUE(config.stores_list);
  EXPECT_FALSE(config.initial_list_json.empty());
  for (const Json& bad : {Json({"127.0.0.1"}), Json({7}), Json("127.0.0.1:82x")}) {
    json["further_discovery"] = bad;
    EXPECT_THROW(ParseConfig(json.dump()), ConfigError) << bad;
  }
}

TEST(Config, ReadsFileAndEnvironment) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  const Config config = ParseConfig(ConfigJson(at, {Entry("s1", at)}).dump(), [](const char* name) {
    if (std::string_view(name) == "EDGE_LISTEN") return "127.0.0.2:80";
    return std::string_view(name) == "EDGE_ADMIN" ? "127.0.0.2:81" : nullptr;
  });
  EXPECT_EQ(Text(config.listen), "127.0.0.2:80");  // from the environment
  ASSERT_EQ(config.discovery.size(), 1U);
  EXPECT_EQ(Text(config.discovery[0]), "127.0.0.1:81");
  EXPECT_FALSE(config.stores_list);
  ASSERT_TRUE(config.admin);
  EXPECT_EQ(Text(*config.admin), "127.0.0.2:81");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(config.max_descriptors, 1024U);
  ASSERT_EQ(config.wire.settings.classes.size(), 3U);
  EXPECT_EQ(config.wire.settings.classes[2].retry_safety, RetrySafety::kNever);
  EXPECT_EQ(config.wire.settings.dial_timeout, 250'000);
  EXPECT_EQ(config.wire.settings.zone, 0);
  ASSERT_EQ(config.initial_list.endpoints.size(), 1U);
  EXPECT_EQ(config.initial_list.endpoints[0].address, at);
}

TEST(Config, ReportsErrorsInOneLine) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  std::vector<std::string> texts = {"", "{", "[]", "{}"};
  const auto set_invalid = [&](const char* path, const Json& value) {
    Json json = ConfigJson(at, {Entry("s1", at)});
    json[Json::json_pointer(path)] = value;
    texts.push_back(json.dump());
  };
  set_invalid("/listen", "nowhere");
  set_invalid("/discovery", 7);
  set_invalid("/admin", "anywhere");
  set_invalid("/seed", "xyz");
  set_invalid("/limits/sockets", 3);
  set_invalid("/settings/grades/0/repeat", "sometimes");
  set_invalid("/settings/quantum_us", "soon");
  set_invalid("/known/instances/0/lifecycle", "unsure");
  for (const std::string& text : texts) {
    try {
      ParseConfig(text);
      ADD_FAILURE() << "accepted: " << text;
    } catch (const ConfigError& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace violetwing::sidecar
