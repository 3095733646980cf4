// A control process, an edge and a server stand-in on loopback, with lowered limits.
#ifndef VIOLETWING_TESTS_NODE_CROWD_SMALL_SYSTEM_HPP_
#define VIOLETWING_TESTS_NODE_CROWD_SMALL_SYSTEM_HPP_

#include <unistd.h>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "common/http_client.hpp"
#include "node/crowd/crowd_client.hpp"
#include "node/crowd/process_usage.hpp"
#include "node/crowd/scripted_backend.hpp"
#include "sidecar/scripted_peers.hpp"
#include "testing/node_process.hpp"

namespace violetwing::testing::crowd {

using violetwing::sidecar::testing::Peer;
using violetwing::sidecar::testing::RunFor;
using violetwing::sidecar::testing::RunUntil;
using namespace std::chrono_literals;

/// `limits` of each process's settings file.
inline constexpr int kMemoryMb = 64;
inline constexpr int kMaxDescriptors = 400;
/// `limits.max_body_bytes` of the configuration.
inline constexpr std::uint64_t kMaxBodyBytes = 1'048'576;

/// The sanitizers' own memory is many times that of the program, so that its bound is checked without them.
#ifdef __SANITIZE_ADDRESS__
inline constexpr bool kMeasuresMemory = false;
#else
inline constexpr bool kMeasuresMemory = true;
#endif

/// Each process has an address of its own.
class SmallSystem {
 public:
  SmallSystem()
      : network_("127." + std::to_string(16 + getpid() / 250 % 200) + "." + std::to_string(getpid() % 250) +
                 "."),
        control_address(network_ + "1:8146"),
        internal_address(network_ + "1:7660"),
        ingress(network_ + "10:8144"),
        readiness(network_ + "10:8140"),
        backend_(io, network_ + "200:8080") {
    char name[] = "/tmp/violetwing-crowd-XXXXXX";
    directory_ = mkdtemp(name);
    nlohmann::json settings = Settings("control", network_ + "1");
    settings["listeners_addr"] = {{"control_plane", control_address}};
    control = std::make_unique<NodeProcess>(directory_ / "control", "control", settings);
    settings = Settings("edge", network_ + "10");
    settings["listeners_addr"] = {{"ingress", ingress}, {"readiness", readiness}};
    edge = std::make_unique<NodeProcess>(directory_ / "edge", "edge", settings);
    REQUIRE(RunUntil(io, [&] { return Configure() == 200; }));
    KeepRegistered();
    REQUIRE(Serves());
  }
  ~SmallSystem() {
    edge.reset();
    control.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
  SmallSystem(const SmallSystem&) = delete;
  SmallSystem& operator=(const SmallSystem&) = delete;

  /// Calls and returns the status; 0 without a response within 5 s.
  int Call(const std::string& address, const std::string& method, const std::string& target,
           const std::string& fields = "", const std::string& body = "") {
    const auto peer = std::make_shared<Peer>(boost::asio::ip::tcp::socket(io));
    boost::system::error_code error;
    peer->socket.connect(*ParseEndpoint(address), error);
    if (error) return 0;
    peer->Read();
    peer->Write(method + " " + target +
                " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body);
    RunUntil(
        io, [&] { return peer->ended; }, 5s);
    peer->Close();
    constexpr std::size_t kStatusOffset = 9;
    if (peer->received.size() < kStatusOffset + 3) return 0;
    return std::atoi(peer->received.substr(kStatusOffset, 3).c_str());
  }
  /// An ordinary request through the edge is served; a client may try several times.
  bool Serves() {
    return RunUntil(
        io, [&] { return Call(ingress, "GET", "/x/quick") == 200; }, 30s);
  }
  bool IsReady() {
    return RunUntil(
        io, [&] { return Call(readiness, "GET", "/api/readyz") == 200; }, 30s);
  }
  /// The operator can read and change the configuration, and a server can register.
  bool ControlServes() {
    const bool reads = RunUntil(
        io, [&] { return Call(control_address, "GET", "/api/configuration") == 200; }, 30s);
    return reads &&
           RunUntil(
               io, [&] { return Configure() == 200; }, 30s) &&
           RunUntil(
               io, [&] { return Register() == 200; }, 30s);
  }

  /// Replaces the configuration by one that also has `routes` unused routes.
  void UseRoutes(int routes) {
    unused_routes_ = routes;
    REQUIRE(RunUntil(io, [&] { return Configure() == 200; }));
  }

  /// Runs until the crowd has sent everything or is closed, or `time` has passed, and measures `process`.
  ProcessUsage Measure(const NodeProcess& process, const Crowd& crowd, std::chrono::milliseconds time = 10s) {
    ProcessUsage peak;
    const auto measure = [&] { peak = Peak(peak, MeasureUsage(process.id())); };
    const auto end = std::chrono::steady_clock::now() + time;
    while (!crowd.done() && std::chrono::steady_clock::now() < end) {
      RunFor(io, 20ms);
      measure();
    }
    // What the process has read goes on to have an effect for a while.
    constexpr int kReadingsAfterwards = 100;
    for (int i = 0; i < kReadingsAfterwards; ++i) {
      RunFor(io, 20ms);
      measure();
    }
    return peak;
  }

  boost::asio::io_context io;

 private:
  const std::string network_;

 public:
  const std::string control_address;   ///< for servers and operators
  const std::string internal_address;  ///< of the control process, for other processes
  const std::string ingress;
  const std::string readiness;
  std::unique_ptr<NodeProcess> control;
  std::unique_ptr<NodeProcess> edge;

 private:
  nlohmann::json Settings(const std::string& name, const std::string& ip) const {
    return {{"node_name", name},
            {"ip", ip},
            {"zone", "here"},
            {"seed_nodes", {control_address}},
            {"bootstrap", true},
            {"ephemeral_ports", {7660, 7675}},
            {"heartbeat_ms", 2000},
            {"fault_tolerance", {{"nodes", 0}}},
            {"limits", {{"memory_mb", kMemoryMb}, {"max_fds", kMaxDescriptors}}},
            {"timeouts", {{"grace_s", 3}, {"lease_ms", 500}}}};
  }
  nlohmann::json Document(std::int64_t version) const {
    const auto route = [](const std::string& name, const std::string& path) {
      return nlohmann::json{{"name", name},         {"hostname", "a.example"}, {"path_prefix", path},
                            {"type", "idempotent"}, {"timeout_ms", 60000},     {"backend", "s"},
                            {"max_attempts", 2}};
    };
    nlohmann::json routes{route("r", "/x/")};
    for (int i = 0; i < unused_routes_; ++i)
      routes.push_back(route("unused-" + std::to_string(i), "/unused-" + std::to_string(i) + "/"));
    return {{"version", version},
            {"routes", routes},
            {"backends", {{{"name", "s"}, {"health_check", "/healthz"}, {"max_connections", 1000}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", kMaxBodyBytes},
              {"header_timeout_ms", 60000},
              {"idle_timeout_ms", 60000}}}};
  }
  // Sends the next version, or again the one that has no clear answer yet.
  int Configure() {
    const int status = Call(control_address, "PUT", "/api/configuration",
                            "If-Match: " + std::to_string(version_) + "\r\n", Document(version_ + 1).dump());
    if (status == 200) ++version_;
    return status;
  }
  std::string Heartbeat() {
    return nlohmann::json{{"backend", "s"},   {"address", backend_.address()},
                          {"zone", "here"},   {"capacity", 64},
                          {"phase", "ready"}, {"sequence", ++heartbeats_}}
        .dump();
  }
  int Register() { return Call(control_address, "PUT", "/api/instances/i-1", "", Heartbeat()); }
  // Sends a heartbeat each second while the event loop runs.
  void KeepRegistered() {
    HttpExchange::Call call;
    call.to = *ParseEndpoint(control_address);
    call.method = "PUT";
    call.target = "/api/instances/i-1";
    call.body = Heartbeat();
    HttpExchange::Start(io, std::move(call), {});
    heartbeat_timer_.expires_after(1s);
    heartbeat_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) KeepRegistered();
    });
  }

  std::filesystem::path directory_;
  ScriptedBackend backend_;
  boost::asio::steady_timer heartbeat_timer_{io};
  int unused_routes_ = 0;
  std::int64_t version_ = 0;
  std::int64_t heartbeats_ = 0;
};

}  // namespace violetwing::testing::crowd

#endif  // VIOLETWING_TESTS_NODE_CROWD_SMALL_SYSTEM_HPP_
