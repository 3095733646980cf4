// Files that version ae32720 (when the program was named fennelhollow) left in TMPDIR are found and read.
#include "sidecar/stored_names.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <string>

#include "sidecar/disabled_servers.hpp"
#include "sidecar/last_list.hpp"
#include "sidecar/zone_orders.hpp"

namespace violetwing::sidecar {
namespace {

namespace fs = std::filesystem;

class StoredNamesTest : public ::testing::Test {
 protected:
  StoredNamesTest() {
    std::string name = (fs::temp_directory_path() / "stored-XXXXXX").string();
    EXPECT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
  }
  ~StoredNamesTest() override { fs::remove_all(directory); }

  void WriteFile(const std::string& name, const std::string& text) {
    std::ofstream(directory / name) << text;
  }

  fs::path directory;
};

TEST_F(StoredNamesTest, ReadsADisabledServerOfTheEarlierVersion) {
  WriteFile("fennelhollow-ban-7331", "");  // "s1"
  std::set<std::string> servers;
  ASSERT_TRUE(DisabledServers(directory).Read(servers));
  EXPECT_EQ(servers, std::set<std::string>{"s1"});
}

TEST_F(StoredNamesTest, ReadsAZoneOrderOfTheEarlierVersion) {
  WriteFile("fennelhollow-zone-77657374", "drain 1764628000000000 60000000 0.500000");  // "west"
  std::map<std::string, ZoneOrder> orders;
  ASSERT_TRUE(ZoneOrders(directory).Read(orders));
  ASSERT_EQ(orders.count("west"), 1U);
  EXPECT_TRUE(orders["west"].draining);
  EXPECT_EQ(orders["west"].start, 1764628000000000);
  EXPECT_EQ(orders["west"].duration, 60000000);
  EXPECT_EQ(orders["west"].initial_share, 0.5);
}

TEST_F(StoredNamesTest, ReadsTheLastListOfTheEarlierVersion) {
  WriteFile(
      "fennelhollow-last-list.json",
      R"({"generation":7,"instances":[{"cell":1,"hostPort":"127.0.0.1:80","instanceId":"s1",)"
      R"("lifecycle":"up","machineType":"std","startedAtMs":0,"weight":1.0,"zone":"east"}],"reset":true})");
  asio::io_context io;
  const bench_adapter::WireSettings names{{}, {"west", "east"}, {"std"}};
  const auto list = LastList(io, directory, names).Load("");
  ASSERT_TRUE(list);
  EXPECT_EQ(list->generation, 7);
  ASSERT_EQ(list->endpoints.size(), 1U);
  EXPECT_EQ(list->endpoints[0].info.id, "s1");
}

TEST_F(StoredNamesTest, KeepsTheFileNameThatMarksAServingProcess) {
  EXPECT_STREQ(stored_names::kServed, "fennelhollow-served");
}

}  // namespace
}  // namespace violetwing::sidecar
