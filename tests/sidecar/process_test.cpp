// Tests of the violetwing-sidecar program as a separate process.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>

#include "sidecar/loopback.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr const char* kReadyRequest = "GET /ready HTTP/1.1\r\n\r\n";

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
    if (!directory.empty()) std::filesystem::remove_all(directory);
  }

  void WriteConfig(const nlohmann::json& json) const { std::ofstream(config) << json.dump(); }
  void Start(const Tcp::endpoint& discovery, rlim_t descriptors = RLIM_INFINITY) {
    child = ::fork();
    if (child != 0) return;
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(limit.rlim_cur, descriptors);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ExecSidecar(discovery);
  }
  // Starts a process on a listener that is passed to it as descriptor 5, as in an upgrade.
  pid_t StartOnPassedSocket(const Tcp::endpoint& discovery, int listener, const Tcp::endpoint& admin) {
    const pid_t started = ::fork();
    if (started != 0) return started;
    ::dup2(listener, 5);
    ::setenv("EDGE_PASSED_SOCKET", "5", 1);
    ::setenv("EDGE_ADMIN", Text(admin).c_str(), 1);
    ::setenv("TMPDIR", directory.c_str(), 1);
    ExecSidecar(discovery);
    return 0;
  }
  [[noreturn]] void ExecSidecar(const Tcp::endpoint& discovery) const {
    ::close_range(3, 4, 0);  // the test's own descriptors; 5 may be the listener
    ::close_range(6, ~0U, 0);
    ::setenv("EDGE_CONFIG", config.c_str(), 1);
    ::setenv("EDGE_DISCOVERY", Text(discovery).c_str(), 1);
    ::execl(VIOLETWING_SIDECAR, VIOLETWING_SIDECAR, nullptr);
    ::_exit(127);
  }
  void MakeDirectory() {
    std::string name = (std::filesystem::temp_directory_path() / "sidecar-XXXXXX").string();
    ASSERT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
  }
  // An address that no other process is assigned: bound here, it refuses connections until a process listens
  // on it.
  Tcp::endpoint ReserveAddress() {
    Tcp::socket& socket = reserved_addresses.emplace_back(io, Tcp::v4());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind(Loopback());
    return socket.local_endpoint();
  }
  // One chunk of a watch response.
  static std::string Chunk(const nlohmann::json& list) {
    const std::string text = list.dump() + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  // Sends `text` on a new connection and returns the status of the response; empty without one.
  std::string Ask(const Tcp::endpoint& address, const std::string& text) {
    auto peer = std::make_shared<Peer>(Tcp::socket(io));
    ErrorCode error;
    peer->socket.connect(address, error);
    if (error) return "";
    peer->Read();
    peer->Write(text);
    EXPECT_TRUE(RunUntil(io, [&] { return peer->ended || peer->requests() > 0; })) << text;
    return peer->received.size() < 12 ? "" : peer->received.substr(9, 3);
  }
  static std::string Get(const std::string& id) {
    return "GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: look\r\nReq-Deadline: 2.0\r\n\r\n";
  }
  bool Running() { return child > 0 && ::waitpid(child, &status, WNOHANG) == 0; }

  asio::io_context io;
  std::list<Tcp::socket> reserved_addresses;
  std::filesystem::path config;
  std::filesystem::path directory;
  pid_t child = 0;
  int status = 0;
};

std::function<void(Peer&)> AnswersWatch() {
  return [](Peer& peer) { peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); };
}

TEST_F(ProcessTest, FollowsDiscoveryToANewAddressOnHangup) {
  ScriptedServer before(io, AnswersWatch());
  ScriptedServer after(io, AnswersWatch());
  ScriptedServer server(io, Serves("ok"));
  nlohmann::json json = ConfigJson(before.address, {Entry("s1", server.address)});
  json["listen"] = Text(ReserveAddress());
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

// A second SIGTERM must not cut the shutdown short: requests in flight are answered before the process exits.
TEST_F(ProcessTest, ExitsAfterItsRequestsAreAnsweredDespiteRepeatedSignals) {
  ScriptedServer discovery(io, AnswersWatch());
  ScriptedServer server(io);
  nlohmann::json json = ConfigJson(discovery.address, {Entry("s1", server.address)});
  const Tcp::endpoint address = ReserveAddress();
  json["listen"] = Text(address);
  WriteConfig(json);
  Start(discovery.address);
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests() == 1; }));
  auto client = Connect(io, address);
  client->Write(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  ::kill(child, SIGTERM);
  ASSERT_TRUE(RunUntil(io, [&] { return Ask(address, kReadyRequest) == "503"; }));
  ::kill(child, SIGTERM);
  ::kill(child, SIGHUP);  // the file has not changed: it keeps its discovery address
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests() == 2; }));
  EXPECT_TRUE(Running()) << "status " << status;
  server.peers[0]->Write(Reply("200 OK", "late"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  EXPECT_EQ(client->received.substr(9, 3), "200");
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return !Running(); }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "status " << status;
  child = 0;
}

// Failed calls to the old address back off; the new address must be called at once nevertheless.
TEST_F(ProcessTest, FollowsDiscoveryOnHangupWhileTheOldAddressIsUnreachable) {
  ScriptedServer after(io, AnswersWatch());
  ScriptedServer server(io, Serves("ok"));
  const Tcp::endpoint unreachable = ReserveAddress();
  for (const char* const mode : {"automatic", "subscribe"}) {
    const int before = after.requests();
    nlohmann::json json = ConfigJson(unreachable, {Entry("s1", server.address)});
    json["settings"]["membership_mode"] = mode;
    json["settings"]["rules"]["ask_within_us"] = 3600'000'000LL;  // no scheduled call during this test
    const Tcp::endpoint address = ReserveAddress();
    json["listen"] = Text(address);
    WriteConfig(json);
    Start(unreachable);
    ASSERT_TRUE(RunUntil(io, [&] { return Ask(address, kReadyRequest) == "200"; }));
    json["discovery"] = Text(after.address);
    WriteConfig(json);
    ::kill(child, SIGHUP);
    EXPECT_TRUE(RunUntil(io, [&] { return after.requests() == before + 1; })) << mode;
    EXPECT_EQ(Ask(address, Get("r1")), "200");
    ::kill(child, SIGTERM);
    ASSERT_TRUE(RunUntil(io, [&] { return !Running(); }));
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "status " << status;
    child = 0;
  }
}

// While discovery is unreachable, idle clients use up the connection limit, more wait to be accepted, and the
// process has only as many descriptors as its settings state. Once discovery is back, the sidecar must still
// have a descriptor to watch the server list.
TEST_F(ProcessTest, ReservesADescriptorForTheWatchWhenIdleClientsReachTheLimit) {
  constexpr rlim_t kDescriptors = 64;
  for (const char* const mode : {"automatic", "subscribe"}) {
    ScriptedServer discovery(io, AnswersWatch(), ScriptedServer::Begin::kDown);
    ScriptedServer removed(io, Serves("gone"));
    ScriptedServer server(io, Serves("ok"));
    nlohmann::json json = ConfigJson(discovery.address, {Entry("s1", removed.address)});
    json["settings"]["membership_mode"] = mode;
    json["limits"]["sockets"] = kDescriptors;
    const Tcp::endpoint address = ReserveAddress();
    json["listen"] = Text(address);
    WriteConfig(json);
    Start(discovery.address, kDescriptors);
    ASSERT_TRUE(RunUntil(io, [&] { return Ask(address, kReadyRequest) == "200"; }));
    std::vector<std::shared_ptr<Peer>> idle;
    for (rlim_t i = 0; i < 2 * kDescriptors; ++i) {
      idle.push_back(Connect(io, address));
      idle.back()->Write(kReadyRequest);  // idle once it is answered
    }
    // Beyond the limit, a new client is accepted after an idle connection is closed.
    const auto answered = [](const std::shared_ptr<Peer>& one) { return one->requests() > 0; };
    ASSERT_TRUE(RunUntil(io, [&] { return std::all_of(idle.begin(), idle.end(), answered); })) << mode;
    discovery.Listen();
    ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests() == 1; })) << mode;
    discovery.peers[0]->Write(
        Chunk(List(2, true, {Entry("s1", removed.address, "draining"), Entry("s2", server.address)})));
    ASSERT_TRUE(RunUntil(io, [&] { return Ask(address, Get("r1")) == "200" && server.requests() > 0; }))
        << mode;
    ::kill(child, SIGTERM);
    ASSERT_TRUE(RunUntil(io, [&] { return !Running(); }));
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "status " << status;
    child = 0;
  }
}

// The platform owns the listener; two processes accept from its queue in turn.
TEST_F(ProcessTest, AnUpgradeOnThePassedSocketFailsNoRequest) {
  MakeDirectory();
  ScriptedServer discovery(io, AnswersWatch());
  bool answers = true;
  std::vector<Peer*> unanswered;
  ScriptedServer server(io, [&](Peer& peer) {
    if (answers) return peer.Write(Reply("200 OK", "ok"));
    unanswered.push_back(&peer);
  });
  nlohmann::json json = ConfigJson(discovery.address, {Entry("s1", server.address)});
  WriteConfig(json);
  Tcp::acceptor clients(io, Loopback());
  const Tcp::endpoint address = clients.local_endpoint();
  const Tcp::endpoint first_admin = ReserveAddress();
  child = StartOnPassedSocket(discovery.address, clients.native_handle(), first_admin);
  ASSERT_TRUE(RunUntil(io, [&] { return Ask(first_admin, kReadyRequest) == "200"; }));
  auto client = Connect(io, address);
  client->Write(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->requests() == 1; }));

  const Tcp::endpoint second_admin = ReserveAddress();
  const pid_t next = StartOnPassedSocket(discovery.address, clients.native_handle(), second_admin);
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests() == 2; }));
  EXPECT_EQ(Ask(second_admin, kReadyRequest), "503");  // it only has the server list of its configuration
  discovery.peers[1]->Write(Chunk(List(2, true, {Entry("s1", server.address)})));
  ASSERT_TRUE(RunUntil(io, [&] { return Ask(second_admin, kReadyRequest) == "200"; }));

  answers = false;
  client->Write(Get("r2"));  // in flight in the first process when it gets SIGTERM
  ASSERT_TRUE(RunUntil(io, [&] { return unanswered.size() == 1; }));
  ::kill(child, SIGTERM);
  ASSERT_TRUE(RunUntil(io, [&] { return Ask(first_admin, kReadyRequest) != "200"; }));
  answers = true;
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Ask(address, Get("n" + std::to_string(i))), "200");
  EXPECT_TRUE(Running());
  unanswered[0]->Write(Reply("200 OK", "late"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  EXPECT_EQ(client->requests(), 2);
  EXPECT_NE(client->received.find("Connection: close"), std::string::npos);
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return !Running(); }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "status " << status;
  EXPECT_EQ(Ask(address, Get("last")), "200");
  child = next;
  ::kill(child, SIGTERM);
  ASSERT_TRUE(RunUntil(io, [&] { return !Running(); }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "status " << status;
  child = 0;
}

TEST_F(ProcessTest, APassedSocketThatDoesNotListenIsAnInvalidConfiguration) {
  WriteConfig(ConfigJson(Loopback(), {}));
  Tcp::socket connected(io, Tcp::v4());
  const Tcp::endpoint discovery{asio::ip::make_address("127.0.0.1"), 9};
  child = StartOnPassedSocket(discovery, connected.native_handle(), discovery);
  ASSERT_TRUE(RunUntil(io, [&] { return !Running(); }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2) << "status " << status;
  child = 0;
}

}  // namespace
}  // namespace violetwing::sidecar
