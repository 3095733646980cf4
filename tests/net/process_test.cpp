// The program itself, started as the platform starts it.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ProcessTest : public ::testing::Test {
 protected:
  ProcessTest() {
    std::string name = (std::filesystem::temp_directory_path() / "config-XXXXXX").string();
    const int file = ::mkstemp(name.data());
    EXPECT_GE(file, 0);
    ::close(file);
    config = name;
  }
  ~ProcessTest() override {
    if (child > 0) {
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
    std::filesystem::remove(config);
  }

  void WriteConfig(const nlohmann::json& json) const { std::ofstream(config) << json.dump(); }
  void Start(const Tcp::endpoint& discovery) {
    child = ::fork();
    if (child != 0) return;
    ::setenv("EDGE_CONFIG", config.c_str(), 1);
    ::setenv("EDGE_DISCOVERY", Text(discovery).c_str(), 1);
    ::execl(FENNELHOLLOW, FENNELHOLLOW, nullptr);
    ::_exit(127);
  }
  bool Running() { return child > 0 && ::waitpid(child, &status, WNOHANG) == 0; }

  asio::io_context io;
  std::filesystem::path config;
  pid_t child = 0;
  int status = 0;
};

std::function<void(Peer&)> Watched() {
  return [](Peer& peer) { peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); };
}

TEST_F(ProcessTest, FollowsDiscoveryToANewAddressOnHangup) {
  ScriptedServer before(io, Watched());
  ScriptedServer after(io, Watched());
  ScriptedServer server(io, Serves("ok"));
  nlohmann::json json = ConfigJson(before.address, {Entry("s1", server.address)});
  json["listen"] = Text(Tcp::acceptor(io, Loopback()).local_endpoint());  // free again when it is used
  WriteConfig(json);
  Start(before.address);
  ASSERT_TRUE(RunUntil(io, [&] { return before.requests() == 1; }));
  std::ofstream(config) << "{ half a configuration";
  ::kill(child, SIGHUP);
  RunFor(io, 200ms);
  ASSERT_TRUE(Running()) << "status " << status;
  json["discovery"] = Text(after.address);
  WriteConfig(json);
  ::kill(child, SIGHUP);
  ASSERT_TRUE(RunUntil(io, [&] { return after.requests() == 1 || !Running(); }));
  ASSERT_TRUE(Running()) << "status " << status;
  EXPECT_NE(after.peers[0]->received.find("stream=1&index=1 "), std::string::npos);
  EXPECT_TRUE(RunUntil(io, [&] { return before.peers[0]->ended; }));
  EXPECT_EQ(before.requests(), 1);
  ::kill(child, SIGTERM);
  ASSERT_TRUE(RunUntil(io, [&] { return !Running(); }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "status " << status;
  child = 0;
}

}  // namespace
}  // namespace merlinrun::net
