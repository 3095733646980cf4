// The files that keep what operators have taken out.
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

TEST_F(DisabledServersTest, OneProcessSeesWhatTheOtherKeeps) {
  DisabledServers one(directory);
  DisabledServers two(directory);
  const std::string odd = "s/../\xff \n";
  EXPECT_TRUE(one.Add("s1"));
  EXPECT_TRUE(one.Add("s1"));
  EXPECT_TRUE(two.Add(odd));
  std::set<std::string> kept;
  EXPECT_TRUE(two.Read(kept));
  EXPECT_EQ(kept, (std::set<std::string>{"s1", odd}));
  EXPECT_TRUE(two.Remove("s1"));
  EXPECT_TRUE(one.Remove("s1"));
  EXPECT_TRUE(one.Read(kept));
  EXPECT_EQ(kept, std::set<std::string>{odd});
}

TEST_F(DisabledServersTest, ForeignFilesDropNoBan) {
  DisabledServers bans(directory);
  EXPECT_TRUE(bans.Add("s1"));
  for (const char* name : {"fennelhollow-ban-", "fennelhollow-ban-7", "fennelhollow-ban-zz", "other"})
    std::ofstream(directory / name) << "{ half";
  fs::create_directory(directory / "fennelhollow-ban-7332");  // s2's name, and no file
  std::set<std::string> kept;
  EXPECT_TRUE(bans.Read(kept));
  EXPECT_EQ(kept, std::set<std::string>{"s1"});
}

TEST_F(DisabledServersTest, SaysSoWhenABanCannotBeKept) {
  EXPECT_FALSE(DisabledServers("").Add("s1"));
  EXPECT_FALSE(DisabledServers(directory / "missing").Add("s1"));
  EXPECT_FALSE(DisabledServers(directory).Add(std::string(101, 'x')));
  EXPECT_FALSE(DisabledServers(directory).Add(""));
  std::set<std::string> kept{"s1"};
  EXPECT_FALSE(DisabledServers(directory / "missing").Read(kept));
  EXPECT_EQ(kept, std::set<std::string>{"s1"});
}

}  // namespace
}  // namespace violetwing::sidecar
