// A sidecar's data plane without a control plane, in front of scripted servers, for tests over loopback.
#ifndef VIOLETWING_TESTS_DATAPLANE_SIDECAR_FIXTURE_HPP_
#define VIOLETWING_TESTS_DATAPLANE_SIDECAR_FIXTURE_HPP_

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dataplane/ingress/ingress.hpp"
#include "dataplane/routing/request_router.hpp"
#include "sidecar/scripted_peers.hpp"

namespace violetwing::testing {

using violetwing::sidecar::testing::Connect;
using violetwing::sidecar::testing::Peer;
using violetwing::sidecar::testing::Reply;
using violetwing::sidecar::testing::RunUntil;
using violetwing::sidecar::testing::ScriptedServer;

inline constexpr const char* kConfiguration = R"({"version": 1, "routes": [
  {"name": "once", "hostname": "a.example", "path_prefix": "/once/", "type": "non_idempotent", "timeout_ms": 5000,
   "target_latency_ms": 300, "backend": "s", "max_attempts": 1},
  {"name": "twice", "hostname": "a.example", "path_prefix": "/once/twice/", "type": "non_idempotent",
   "timeout_ms": 5000, "backend": "s", "max_attempts": 2},
  {"name": "safe", "hostname": "a.example", "path_prefix": "/safe/", "type": "idempotent", "timeout_ms": 5000,
   "backend": "s", "max_attempts": 3},
  {"name": "short", "hostname": "a.example", "path_prefix": "/short/", "type": "non_idempotent", "timeout_ms": 120,
   "backend": "s", "max_attempts": 1},
  {"name": "stream", "hostname": "a.example", "path_prefix": "/stream/", "type": "streaming", "timeout_ms": 5000,
   "backend": "s", "max_attempts": 1}],
  "backends": [{"name": "s", "health_check": "/healthz", "max_connections": 100}]})";

// Models that take 1.5 s and 1.8 s to load, and clients that wait 2 s for the first event of a stream.
inline constexpr const char* kModelConfiguration = R"({"version": 1, "routes": [
  {"name": "stream", "hostname": "a.example", "path_prefix": "/stream/", "type": "streaming", "timeout_ms": 3000,
   "target_latency_ms": 400, "gap_aim_ms": 200, "backend": "llm", "max_attempts": 1}],
  "backends": [{"name": "llm", "health_check": "/healthz", "max_connections": 100, "runtime": {"capacity": 8,
   "models": [{"name": "m", "weights_mb": 10, "load_time_s": 1.5}, {"name": "slow", "weights_mb": 10, "load_time_s": 1.8}],
   "weights_mb": 100, "loads_per_s": 1}}]})";

// A tenant with one API key, and the same tenant with that key replaced by another one.
inline constexpr const char* kTenantConfiguration = R"({"version": 1, "routes": [
  {"name": "once", "hostname": "a.example", "path_prefix": "/once/", "type": "non_idempotent", "timeout_ms": 5000,
   "target_latency_ms": 300, "backend": "s", "max_attempts": 1},
  {"name": "open", "hostname": "a.example", "path_prefix": "/open/", "type": "non_idempotent", "timeout_ms": 5000,
   "backend": "s", "max_attempts": 1, "public": true}],
  "backends": [{"name": "s"}], "tenants": [{"name": "alice", "api_keys": ["key-a"]}]})";
inline constexpr const char* kRevokedConfiguration = R"({"version": 2, "routes": [
  {"name": "once", "hostname": "a.example", "path_prefix": "/once/", "type": "non_idempotent", "timeout_ms": 5000,
   "target_latency_ms": 300, "backend": "s", "max_attempts": 1}],
  "backends": [{"name": "s"}], "tenants": [{"name": "alice", "api_keys": ["key-b"]}]})";

inline const std::string kNotExecuted = "X-Violetwing-Not-Executed: 1\r\n";
inline const std::string kSigned = "X-Violetwing-Response-Signature: sig\r\nX-Violetwing-Request-Id: r1\r\n";

inline constexpr std::size_t kMaxConnections = 1000;
inline constexpr std::size_t kMaxBytes = std::size_t{256} * 1024 * 1024;

inline std::string RequestTo(const std::string& path, const std::string& extra_fields = "",
                             const std::string& body = "hello") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Violetwing-Request-Id: r1\r\n"
         "X-Violetwing-Deadline-Ms: 4000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + extra_fields + "\r\n" + body;
}

// A sidecar without a control plane. The test sets its directory.
class Sidecar {
 public:
  Sidecar()
      : plane{io,
              std::make_shared<const Directory>(),
              LoadBalancer(1),
              RetryBudget(1, 100, 10, -100'000'000),
              UpstreamPool(io, kMaxConnections),
              Random(1),
              nullptr,
              {}},
        ingress(io, {kMaxConnections, kMaxBytes}, [this](const ClientPtr& client, ClientRequest request) {
          std::make_shared<RequestRouter>(plane, client, std::move(request))->Start();
        }) {
    boost::asio::ip::tcp::acceptor port_finder(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    endpoint = port_finder.local_endpoint();
    port_finder.close();
    REQUIRE_FALSE(ingress.Listen("127.0.0.1:" + std::to_string(endpoint.port())));
  }
  ~Sidecar() {
    ingress.CloseAll();
    plane.pool.CloseAll();
    io.restart();
    io.poll();  // runs the handlers that closing has posted
  }
  // `phases`: those of the servers, in the same order; servers without one are ready.
  void SetServers(const std::vector<const ScriptedServer*>& servers,
                  const char* configuration = kConfiguration, const std::vector<Phase>& phases = {}) {
    std::map<std::string, Instance> instances;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      Instance instance;
      instance.id = "i-" + std::to_string(i);
      instance.backend = "s";
      instance.address = "127.0.0.1:" + std::to_string(servers[i]->address.port());
      instance.capacity = 8;
      if (i < phases.size()) instance.phase = phases[i];
      instances[instance.id] = instance;
    }
    plane.directory =
        std::make_shared<const Directory>(configuration::Read(configuration).configuration, instances, 0, 1);
  }
  // Sends `text` on a new connection and returns its client side.
  std::shared_ptr<Peer> SendRequest(const std::string& text) {
    auto client = Connect(io, endpoint);
    client->Write(text);
    return client;
  }
  // Sets a directory with a model backend whose only server has loaded `models`.
  void SetModelServer(const ScriptedServer& server, const std::vector<HeldModel>& models) {
    Instance instance;
    instance.id = "i-0";
    instance.backend = "llm";
    instance.address = "127.0.0.1:" + std::to_string(server.address.port());
    instance.capacity = 8;
    instance.models = models;
    plane.directory =
        std::make_shared<const Directory>(configuration::Read(kModelConfiguration).configuration,
                                          std::map<std::string, Instance>{{instance.id, instance}}, 0, 1);
    const auto waiting = plane.waiting_for_model;
    for (const auto& request : waiting) request->OnDirectory();
  }
  bool Until(const std::function<bool()>& done) { return RunUntil(io, done); }

  boost::asio::io_context io;
  DataPlane plane;
  Ingress ingress;
  boost::asio::ip::tcp::endpoint endpoint;
};

inline bool Received(const std::shared_ptr<Peer>& peer, const std::string& text) {
  return peer->received.find(text) != std::string::npos;
}

// Sends the same response to each request.
inline std::function<void(Peer&)> AlwaysRespond(const std::string& response) {
  return [response](Peer& peer) { peer.Write(response); };
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_DATAPLANE_SIDECAR_FIXTURE_HPP_
