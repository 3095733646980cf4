// Storage of the servers that operators have disabled.
#include "sidecar/disabled_servers.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace violetwing::sidecar {
namespace {

namespace fs = std::filesystem;

class DisabledServersTest : public ::testing::Test {
 protected:
  DisabledServersTest() {
    std::string name = (fs::temp_directory_path() / "bans-XXXXXX").string();
    EXPECT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
  }
  ~DisabledServersTest() override { fs::remove_all(directory); }

  fs::path directory;
};

TEST_F(DisabledServersTest, SharesTheStoredSetBetweenProcesses) {
  DisabledServers one(directory);
  DisabledServers two(directory);
  const std::string unsafe_id = "s/../\xff \n";
  EXPECT_TRUE(one.Add("s1"));
  EXPECT_TRUE(one.Add("s1"));
  EXPECT_TRUE(two.Add(unsafe_id));
  std::set<std::string> stored;
  EXPECT_TRUE(two.Read(stored));
  EXPECT_EQ(stored, (std::set<std::string>{"s1", unsafe_id}));
  EXPECT_TRUE(two.Remove("s1"));
  EXPECT_TRUE(one.Remove("s1"));
  EXPECT_TRUE(one.Read(stored));
  EXPECT_EQ(stored, std::set<std::string>{unsafe_id});
}

TEST_F(DisabledServersTest, IgnoresUnrelatedFiles) {
  DisabledServers disabled(directory);
  EXPECT_TRUE(disabled.Add("s1"));
  for (const char* name : {"fennelhollow-ban-", "fennelhollow-ban-7", "fennelhollow-ban-zz", "other"})
    std::ofstream(directory / name) << "{ half";
  fs::create_directory(directory / "fennelhollow-ban-7332");  // the name for s2, but a directory
  std::set<std::string> stored;
  EXPECT_TRUE(disabled.Read(stored));
  EXPECT_EQ(stored, std::set<std::string>{"s1"});
}

TEST_F(DisabledServersTest, FailsWhenAServerCannotBeStored) {
  EXPECT_FALSE(DisabledServers("").Add("s1"));
  EXPECT_FALSE(DisabledServers(directory / "missing").Add("s1"));
  EXPECT_FALSE(DisabledServers(directory).Add(std::string(101, 'x')));
  EXPECT_FALSE(DisabledServers(directory).Add(""));
  std::set<std::string> stored{"s1"};
  EXPECT_FALSE(DisabledServers(directory / "missing").Read(stored));
  EXPECT_EQ(stored, std::set<std::string>{"s1"});
}

}  // namespace
}  // namespace violetwing::sidecar
