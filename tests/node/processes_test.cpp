// Tests with real processes on loopback: three control processes, one sidecar, and a scripted server.
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "common/http_client.hpp"
#include "sidecar/scripted_peers.hpp"
#include "testing/node_process.hpp"

namespace violetwing {
namespace {

using nlohmann::json;
using testing::NodeProcess;
using violetwing::sidecar::testing::Peer;
using violetwing::sidecar::testing::Reply;
using violetwing::sidecar::testing::RunUntil;
using violetwing::sidecar::testing::ScriptedServer;
namespace fs = std::filesystem;

constexpr int kControls = 3;

struct HttpResponse {
  int status = 0;
  std::string body;
};

class System {
 public:
  System() {
    char name[] = "/tmp/violetwing-node-XXXXXX";
    directory_ = mkdtemp(name);
    const auto base = static_cast<int>(20000 + getpid() * 25 % 20000);
    // Each simulated machine has its own address, as processes of other tests may use neighboring ports.
    for (int i = 0; i < kControls; ++i) {
      const std::string ip = "127.0.7." + std::to_string(11 + i);
      controls_.push_back(ip + ":" + std::to_string(base));
      internal_port_ = base + 1;
    }
    for (int i = 0; i < kControls; ++i) StartControl(i);
  }
  ~System() {
    processes.clear();
    edge.reset();
    std::error_code ignored;
    fs::remove_all(directory_, ignored);
  }

  json Settings(const std::string& name, const std::string& ip) const {
    return {{"node_name", name},
            {"ip", ip},
            {"zone", "here"},
            {"seed_nodes", controls_},
            {"bootstrap", true},
            {"ephemeral_ports", {internal_port_, internal_port_ + 9}},
            {"heartbeat_ms", 500},
            {"fault_tolerance", {{"nodes", 1}}},
            {"timeouts", {{"grace_s", 3}, {"lease_ms", 500}}}};
  }
  void StartControl(int i) {
    json settings = Settings("control-" + std::to_string(i), "127.0.7." + std::to_string(11 + i));
    settings["listeners_addr"] = {{"control_plane", controls_[static_cast<std::size_t>(i)]}};
    processes.push_back(
        std::make_unique<NodeProcess>(directory_ / ("control-" + std::to_string(i)), "control", settings));
  }
  void StartEdge() {
    json settings = Settings("edge-0", "127.0.7.21");
    ingress = "127.0.7.21:" + std::to_string(internal_port_ + 20);
    readiness = "127.0.7.21:" + std::to_string(internal_port_ + 21);
    settings["listeners_addr"] = {{"ingress", ingress}, {"readiness", readiness}};
    edge = std::make_unique<NodeProcess>(directory_ / "edge-0", "edge", settings);
  }

  HttpResponse Call(const std::string& address, const std::string& method, const std::string& target,
                    const std::string& body = "", const std::string& extra_fields = "") {
    auto peer = std::make_shared<Peer>(boost::asio::ip::tcp::socket(io));
    boost::system::error_code error;
    peer->socket.connect(*ParseEndpoint(address), error);
    if (error) return {};
    peer->Read();
    peer->Write(method + " " + target +
                " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n" + extra_fields + "\r\n" + body);
    RunUntil(
        io, [&] { return peer->ended; }, std::chrono::seconds(5));
    const std::size_t head = peer->received.find("\r\n\r\n");
    if (head == std::string::npos) return {};
    return {std::atoi(peer->received.substr(9, 3).c_str()), peer->received.substr(head + 4)};
  }
  static std::string Document(std::int64_t version) {
    return json{{"version", version},
                {"routes",
                 {{{"name", "r"},
                   {"hostname", "a.example"},
                   {"path_prefix", "/x/"},
                   {"type", "idempotent"},
                   {"timeout_ms", 2000},
                   {"backend", "s"},
                   {"max_attempts", 2}}}},
                {"backends", {{{"name", "s"}, {"health_check", "/healthz"}, {"max_connections", 10}}}}}
        .dump();
  }
  static std::string IfMatch(std::int64_t base) { return "If-Match: " + std::to_string(base) + "\r\n"; }
  // Sends the same change to the control processes in turn until one accepts or rejects it, as the operator
  // does.
  int Configure(std::int64_t version, std::int64_t base, int except = -1) {
    HttpResponse last;
    RunUntil(io, [&] {
      next_ = (next_ + 1) % kControls;
      if (next_ == except) return false;
      last = Call(controls_[static_cast<std::size_t>(next_)], "PUT", "/api/configuration", Document(version),
                  IfMatch(base));
      return last.status == 200 || last.status == 412 || last.status == 400;
    });
    return last.status;
  }
  // Sends a change to one control process without waiting for the response.
  std::shared_ptr<Peer> SendChange(int at, std::int64_t version, std::int64_t base) {
    auto peer = std::make_shared<Peer>(boost::asio::ip::tcp::socket(io));
    boost::system::error_code error;
    peer->socket.connect(*ParseEndpoint(controls_[static_cast<std::size_t>(at)]), error);
    const std::string body = Document(version);
    if (!error)
      peer->Write("PUT /api/configuration HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n" + IfMatch(base) + "\r\n" + body);
    return peer;
  }
  int Register(const ScriptedServer& server, std::int64_t sequence, int at) {
    const json body{{"backend", "s"},   {"address", "127.0.0.1:" + std::to_string(server.address.port())},
                    {"zone", "here"},   {"capacity", 4},
                    {"phase", "ready"}, {"sequence", sequence}};
    return Call(controls_[static_cast<std::size_t>(at)], "PUT", "/api/instances/i-1", body.dump()).status;
  }
  std::int64_t GetVersion(int at) {
    const HttpResponse response = Call(controls_[static_cast<std::size_t>(at)], "GET", "/api/configuration");
    return response.status == 200 ? json::parse(response.body).at("version").get<std::int64_t>() : -1;
  }

  fs::path StorePath(int at) const {
    return directory_ / ("control-" + std::to_string(at)) / "data" / "control.db";
  }

  boost::asio::io_context io;
  std::vector<std::unique_ptr<NodeProcess>> processes;
  std::unique_ptr<NodeProcess> edge;
  std::string ingress;
  std::string readiness;

 private:
  fs::path directory_;
  std::vector<std::string> controls_;
  int internal_port_ = 0;
  int next_ = 0;
};

}  // namespace

TEST_CASE(
    "Changes and requests succeed while each of three control processes is killed and restarted in turn") {
  System system;
  system.StartEdge();
  ScriptedServer server(system.io, [](Peer& peer) { peer.Write(Reply("200 OK", "bytes")); });
  // The sidecar responds to probes, but is unready without a configuration.
  REQUIRE(
      RunUntil(system.io, [&] { return system.Call(system.readiness, "GET", "/api/readyz").status != 0; }));
  CHECK(system.Call(system.readiness, "GET", "/api/readyz").status == 503);
  REQUIRE(system.Configure(3, 0) == 200);
  CHECK(system.Configure(3, 0) == 200);  // a repeated change is acknowledged again
  CHECK(system.Configure(4, 0) == 412);
  std::int64_t sequence = 0;
  REQUIRE(RunUntil(system.io, [&] { return system.Register(server, ++sequence, 0) == 200; }));
  REQUIRE(
      RunUntil(system.io, [&] { return system.Call(system.readiness, "GET", "/api/readyz").status == 200; }));
  REQUIRE(RunUntil(system.io, [&] {
    system.Register(server, ++sequence, 1);
    return system.Call(system.ingress, "GET", "/x/1").body == "bytes";
  }));
  // Kills each control process once, and so the owner of each shard. The others accept the next change.
  std::int64_t version = 3;
  for (int i = 0; i < kControls; ++i) {
    INFO("control process " << i);
    system.processes[static_cast<std::size_t>(i)]->Kill();
    REQUIRE(system.Configure(version + 2, version, i) == 200);
    version += 2;
    REQUIRE(RunUntil(system.io, [&] {
      system.Register(server, ++sequence, (i + 1) % kControls);
      return system.Call(system.ingress, "GET", "/x/1").body == "bytes";
    }));
    system.processes[static_cast<std::size_t>(i)]->Start();
    REQUIRE(RunUntil(system.io, [&] { return system.GetVersion(i) == version; }));
  }
  CHECK(system.edge->Stop() == 0);
  for (const auto& process : system.processes) CHECK(process->Stop() == 0);
}

// In round N the kill follows N calls to another process, so that it hits the change at different stages.
TEST_CASE("A change is acknowledged and not lost if the control process that received it is killed") {
  System system;
  std::int64_t version = 3;
  REQUIRE(system.Configure(version, 0) == 200);
  for (int round = 0; round < 9; ++round) {
    const int receiver = round % kControls;
    INFO("round " << round);
    const auto change = system.SendChange(receiver, version + 2, version);
    for (int call = 0; call < round; ++call) system.GetVersion((receiver + 1) % kControls);
    system.processes[static_cast<std::size_t>(receiver)]->Kill();
    REQUIRE(system.Configure(version + 2, version, receiver) == 200);
    CHECK(system.Configure(version + 3, version, receiver) == 412);
    version += 2;
    system.processes[static_cast<std::size_t>(receiver)]->Start();
    for (int i = 0; i < kControls; ++i)
      CHECK(RunUntil(system.io, [&] { return system.GetVersion(i) == version; }));
  }
}

// Guards against a process that fails because it loads its snapshot at startup, before any request waits.
TEST_CASE("After more changes than the log retains, a process starts from its snapshot") {
  System system;
  std::int64_t version = 1;
  REQUIRE(system.Configure(version, 0) == 200);
  for (int i = 0; i < 150; ++i, ++version) REQUIRE(system.Configure(version + 1, version) == 200);
  for (const auto& process : system.processes) process->Kill();
  for (const auto& process : system.processes) process->Start();
  for (int i = 0; i < kControls; ++i)
    CHECK(RunUntil(system.io, [&] { return system.GetVersion(i) == version; }));
  CHECK(system.Configure(version + 1, version) == 200);
  for (const auto& process : system.processes) CHECK(process->Stop() == 0);
}

// A process that started without its stored term and vote could vote twice in a term.
TEST_CASE(
    "A control process with a corrupt store exits with status 1 and one log line, and the others continue") {
  System system;
  REQUIRE(system.Configure(3, 0) == 200);
  NodeProcess& damaged = *system.processes[0];
  damaged.Kill();
  constexpr std::size_t kBytes = 8192;
  std::ofstream(system.StorePath(0), std::ios::binary) << std::string(kBytes, 'x');
  fs::remove(system.StorePath(0).string() + "-wal");  // its pages would be read instead of those of the file
  const NodeProcess::Ended ended = damaged.StartAndAwaitEnd();
  CHECK(ended.status == 1);
  CHECK(std::count(ended.log.begin(), ended.log.end(), '\n') == 1);
  CHECK(ended.log.find("control.db: stored data is corrupt") != std::string::npos);
  CHECK(system.Configure(5, 3, /*except=*/0) == 200);
}

TEST_CASE("Acknowledged changes survive a simultaneous kill of all control processes") {
  System system;
  REQUIRE(system.Configure(3, 0) == 200);
  REQUIRE(system.Configure(7, 3) == 200);
  for (const auto& process : system.processes) process->Kill();
  for (const auto& process : system.processes) process->Start();
  for (int i = 0; i < kControls; ++i) CHECK(RunUntil(system.io, [&] { return system.GetVersion(i) == 7; }));
}

}  // namespace violetwing
