// A request's way through the sidecar, over real connections whose order each test forces.
#include <catch2/catch.hpp>

#include "dataplane/routing/request_router.hpp"
#include "sidecar/scripted_peers.hpp"

namespace violetwing {
namespace {

using violetwing::sidecar::testing::Connect;
using violetwing::sidecar::testing::Peer;
using violetwing::sidecar::testing::Reply;
using violetwing::sidecar::testing::RunUntil;
using violetwing::sidecar::testing::ScriptedServer;
using namespace std::chrono_literals;

constexpr const char* kConfiguration = R"({"version": 1, "routes": [
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

// A model that takes 1.5 s to load, and clients who wait 2 s for the first event of a stream.
constexpr const char* kModelConfiguration = R"({"version": 1, "routes": [
  {"name": "stream", "hostname": "a.example", "path_prefix": "/stream/", "type": "streaming", "timeout_ms": 3000,
   "target_latency_ms": 400, "gap_aim_ms": 200, "backend": "llm", "max_attempts": 1}],
  "backends": [{"name": "llm", "health_check": "/healthz", "max_connections": 100, "runtime": {"capacity": 8,
   "models": [{"name": "m", "weights_mb": 10, "load_time_s": 1.5}, {"name": "slow", "weights_mb": 10, "load_time_s": 1.8}],
   "weights_mb": 100, "loads_per_s": 1}}]})";

const std::string kNotRun = "X-Violetwing-Not-Executed: 1\r\n";
const std::string kSigned = "X-Violetwing-Response-Signature: sig\r\nX-Violetwing-Request-Id: r1\r\n";

std::string RequestTo(const std::string& path, const std::string& more = "",
                      const std::string& body = "hello") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Violetwing-Request-Id: r1\r\n"
         "X-Violetwing-Deadline-Ms: 4000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}

// A sidecar without a control plane: its directory is set by the test.
class Sidecar {
 public:
  Sidecar()
      : plane{io,
              std::make_shared<const Directory>(),
              LoadBalancer(1),
              RetryBudget(1, 100, 10, -100'000'000),
              UpstreamPool(io),
              Random(1),
              nullptr,
              {}},
        ingress(io, [this](const ClientPtr& client, ClientRequest request) {
          std::make_shared<RequestRouter>(plane, client, std::move(request))->Start();
        }) {
    boost::asio::ip::tcp::acceptor free(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    endpoint = free.local_endpoint();
    free.close();
    REQUIRE_FALSE(ingress.Listen("127.0.0.1:" + std::to_string(endpoint.port())));
  }
  ~Sidecar() {
    ingress.CloseAll();
    plane.pool.CloseAll();
    io.restart();
    io.poll();  // what the closing has left to do
  }
  void Know(const std::vector<const ScriptedServer*>& servers) {
    std::map<std::string, Instance> instances;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      Instance instance;
      instance.id = "i-" + std::to_string(i);
      instance.backend = "s";
      instance.address = "127.0.0.1:" + std::to_string(servers[i]->address.port());
      instance.capacity = 8;
      instances[instance.id] = instance;
    }
    plane.directory =
        std::make_shared<const Directory>(configuration::Read(kConfiguration).configuration, instances, 0, 1);
  }
  // The client's side of a new connection on which `text` was sent.
  std::shared_ptr<Peer> Ask(const std::string& text) {
    auto client = Connect(io, endpoint);
    client->Write(text);
    return client;
  }
  // The directory with a service of models whose one server holds `models`.
  void KnowModels(const ScriptedServer& server, const std::vector<HeldModel>& models) {
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

bool Has(const std::shared_ptr<Peer>& peer, const std::string& text) {
  return peer->received.find(text) != std::string::npos;
}

// Answers each request on each connection with the same text.
std::function<void(Peer&)> Always(const std::string& answer) {
  return [answer](Peer& peer) { peer.Write(answer); };
}

}  // namespace

TEST_CASE(
    "A whole answer reaches the client unchanged, and the server is told whom it is and what time is left") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, Always(Reply("200 OK", "bytes", kSigned + "X-Other: kept\r\n")));
  sidecar.Know({&server});
  const auto client =
      sidecar.Ask(RequestTo("/once/a?b=c", "X-Mine: yes\r\nConnection: x-hop\r\nX-Hop: no\r\n"));
  REQUIRE(sidecar.Until([&] { return Has(client, "bytes"); }));
  CHECK(Has(client, "HTTP/1.1 200 OK"));
  CHECK(Has(client, "X-Violetwing-Response-Signature: sig"));
  CHECK(Has(client, "X-Other: kept"));
  const std::string& sent = server.peers[0]->received;
  CHECK(sent.rfind("POST /once/a?b=c HTTP/1.1\r\n", 0) == 0);
  CHECK(sent.find("X-Violetwing-Expected-Instance: i-0") != std::string::npos);
  CHECK(sent.find("X-Mine: yes") != std::string::npos);
  CHECK(sent.find("X-Hop") == std::string::npos);
  CHECK(sent.find("X-Violetwing-Deadline-Ms: 4000") == std::string::npos);
  CHECK(sent.substr(sent.size() - 5) == "hello");
}

TEST_CASE("A sidecar without a configuration refuses, one with it says where nothing is") {
  Sidecar sidecar;
  const auto early = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Has(early, "\r\n\r\n"); }));
  CHECK(Has(early, "HTTP/1.1 503"));
  CHECK(Has(early, "Retry-After"));
  sidecar.Know({});
  const auto lost = sidecar.Ask(RequestTo("/nowhere/"));
  REQUIRE(sidecar.Until([&] { return Has(lost, "\r\n\r\n"); }));
  CHECK(Has(lost, "HTTP/1.1 404"));
}

TEST_CASE("A refused request goes to another server, where the route allows two") {
  Sidecar sidecar;
  ScriptedServer full(sidecar.io, Always(Reply("503 Service Unavailable", "", kNotRun + kSigned)));
  ScriptedServer free(sidecar.io, Always(Reply("200 OK", "bytes", kSigned)));
  sidecar.Know({&full, &free});
  for (int i = 0; i < 6; ++i) {
    const auto client = sidecar.Ask(RequestTo("/once/twice/"));
    REQUIRE(sidecar.Until([&] { return Has(client, "bytes"); }));
    CHECK(Has(client, "200 OK"));
  }
  CHECK(free.requests() == 6);
}

TEST_CASE(
    "A request refused by all gets our own refusal at once, with a time and without the server's signature") {
  Sidecar sidecar;
  ScriptedServer full(sidecar.io, Always(Reply("429 Too Many Requests", "x", kNotRun + kSigned)));
  sidecar.Know({&full});
  const auto client = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "\r\n\r\n"); }));
  CHECK(Has(client, "HTTP/1.1 503"));
  CHECK(Has(client, "Retry-After: 0."));
  CHECK_FALSE(Has(client, "Signature"));
  CHECK(full.requests() == 1);
}

TEST_CASE("A refusal that does not say that nothing was run makes no promise to the client") {
  Sidecar sidecar;
  ScriptedServer failing(sidecar.io, Always(Reply("503 Service Unavailable", "x", kSigned)));
  sidecar.Know({&failing});
  const auto client = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "\r\n\r\n"); }));
  CHECK(Has(client, "HTTP/1.1 502"));
  CHECK_FALSE(Has(client, "Signature"));
}

TEST_CASE("A server that is another one by now has run nothing, and its 421 is not the client's answer") {
  Sidecar sidecar;
  ScriptedServer other(sidecar.io, Always(Reply("421 Misdirected Request", "", kSigned)));
  sidecar.Know({&other});
  const auto alone = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Has(alone, "\r\n\r\n"); }));
  CHECK(Has(alone, "HTTP/1.1 503"));
  CHECK_FALSE(Has(alone, "Signature"));
  ScriptedServer right(sidecar.io, Always(Reply("200 OK", "bytes", kSigned)));
  sidecar.Know({&other, &right});
  for (int i = 0; i < 6; ++i) {
    const auto client = sidecar.Ask(RequestTo("/once/twice/"));
    REQUIRE(sidecar.Until([&] { return Has(client, "\r\n\r\n"); }));
    CHECK(Has(client, "200 OK"));
  }
}

TEST_CASE("After a reset, what may have run is repeated only where the route says that it may be") {
  Sidecar sidecar;
  ScriptedServer resets(sidecar.io, [](Peer& peer) { peer.Reset(); });
  sidecar.Know({&resets});
  const auto once = sidecar.Ask(RequestTo("/once/twice/"));
  REQUIRE(sidecar.Until([&] { return Has(once, "\r\n\r\n"); }));
  CHECK(Has(once, "HTTP/1.1 502"));
  CHECK(resets.requests() == 1);
  ScriptedServer serves(sidecar.io, Always(Reply("200 OK", "bytes", kSigned)));
  sidecar.Know({&resets, &serves});
  for (int i = 0; i < 6; ++i) {
    const auto safe = sidecar.Ask(RequestTo("/safe/"));
    REQUIRE(sidecar.Until([&] { return Has(safe, "\r\n\r\n"); }));
    CHECK(Has(safe, "200 OK"));
  }
}

TEST_CASE(
    "A server that cannot be reached has run nothing: another one is taken even where only one attempt is") {
  Sidecar sidecar;
  ScriptedServer down(sidecar.io, {}, ScriptedServer::Begin::kDown);
  ScriptedServer up(sidecar.io, Always(Reply("200 OK", "bytes", kSigned)));
  sidecar.Know({&down, &up});
  for (int i = 0; i < 6; ++i) {
    const auto client = sidecar.Ask(RequestTo("/once/"));
    REQUIRE(sidecar.Until([&] { return Has(client, "\r\n\r\n"); }));
    CHECK(Has(client, "200 OK"));
  }
  CHECK(up.requests() == 6);
}

TEST_CASE("An answer to another request is not taken for this one's") {
  Sidecar sidecar;
  ScriptedServer stale(sidecar.io, Always(Reply("200 OK", "old", "X-Violetwing-Request-Id: r0\r\n")));
  sidecar.Know({&stale});
  const auto client = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "\r\n\r\n"); }));
  CHECK(Has(client, "HTTP/1.1 502"));
  CHECK_FALSE(Has(client, "old"));
}

TEST_CASE("Bytes behind a whole answer are given to nobody") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io,
                        Always(Reply("200 OK", "bytes", kSigned) + Reply("200 OK", "extra", kSigned)));
  sidecar.Know({&server});
  const auto client = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "bytes"); }));
  client->Write(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 2; }));
  CHECK(server.peers.size() == 2);  // the first connection was not used again
  CHECK_FALSE(Has(client, "extra"));
}

TEST_CASE("An answer that breaks off does not look complete, with a length or in chunks") {
  for (const std::string& head :
       {std::string("Content-Length: 100\r\n"), std::string("Transfer-Encoding: chunked\r\n")}) {
    Sidecar sidecar;
    ScriptedServer server(sidecar.io, [&](Peer& peer) {
      peer.Write("HTTP/1.1 200 OK\r\n" + kSigned + head + "\r\n" +
                 (head[0] == 'T' ? "5\r\npiece\r\n" : "piece"));
      peer.Close();
    });
    sidecar.Know({&server});
    const auto client = sidecar.Ask(RequestTo("/once/"));
    REQUIRE(sidecar.Until([&] { return client->ended; }));
    CHECK(Has(client, "piece"));
    CHECK_FALSE(Has(client, "\r\n0\r\n\r\n"));
  }
}

TEST_CASE("An answer without a length cannot be told from a broken one") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, [](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\n" + kSigned + "\r\npiece");
    peer.Close();
  });
  sidecar.Know({&server});
  const auto client = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "\r\n\r\n"); }));
  CHECK(Has(client, "HTTP/1.1 502"));
}

TEST_CASE("Events are passed on as they come") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, Always("HTTP/1.1 200 OK\r\n" + kSigned +
                                           "Transfer-Encoding: chunked\r\n\r\n8\r\n"
                                           "data: 1\n\r\n"));
  sidecar.Know({&server});
  const auto client = sidecar.Ask(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "data: 1\n"); }));
  server.peers[0]->Write("8\r\ndata: 2\n\r\n0\r\n\r\n");
  REQUIRE(sidecar.Until([&] { return Has(client, "data: 2\n\r\n0\r\n\r\n"); }));
}

TEST_CASE("A client that leaves takes its request with it") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io);
  sidecar.Know({&server});
  const auto client = sidecar.Ask(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 1; }));
  client->Close();
  REQUIRE(sidecar.Until([&] { return server.peers[0]->ended; }));
  CHECK(sidecar.plane.load_balancer.InFlight("i-0") == 0);
}

TEST_CASE("A request whose time is over gets its answer, and its server is let go") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io);
  sidecar.Know({&server});
  const auto client = sidecar.Ask(RequestTo("/short/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "\r\n\r\n") && server.peers[0]->ended; }));
  CHECK(Has(client, "HTTP/1.1 504"));
}

TEST_CASE("An answer that began before the stop ends its connection, and later ones say so") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io);
  sidecar.Know({&server});
  const auto before = sidecar.Ask(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 1; }));
  server.peers[0]->Write("HTTP/1.1 200 OK\r\n" + kSigned +
                         "Transfer-Encoding: chunked\r\n\r\n5\r\npiece\r\n");
  REQUIRE(sidecar.Until([&] { return Has(before, "piece"); }));
  sidecar.ingress.SetClosing();
  const auto after = sidecar.Ask(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 2; }));
  server.peers[1]->Write(Reply("200 OK", "whole", kSigned));
  REQUIRE(sidecar.Until([&] { return after->ended; }));
  CHECK(Has(after, "Connection: close"));
  CHECK(Has(after, "whole"));
  server.peers[0]->Write("0\r\n\r\n");
  // At once, and not when an idle connection's time of 15 s is over.
  REQUIRE(RunUntil(
      sidecar.io, [&] { return before->ended; }, 5s));
  CHECK(Has(before, "\r\n0\r\n\r\n"));
  CHECK(sidecar.ingress.busy() == 0);
}

TEST_CASE("Requests that can be read in two ways, or not at all, are refused and never passed on") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, Always(Reply("200 OK", "bytes", kSigned)));
  sidecar.Know({&server});
  for (const std::string& text :
       {std::string("POST /once/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n"
                    "0\r\n\r\n"),
        std::string("POST /once/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\nContent-Length: "
                    "6\r\n\r\nhello!"),
        std::string("POST /once/ HTTP/1.1\r\nHost: a.example\r\nBad Name: 1\r\n\r\n"),
        std::string("POST  /once/ HTTP/1.1\r\nHost: a.example\r\n\r\n"),
        std::string("POST /once/ HTTP/1.1\r\nHost : a.example\r\n\r\n"),
        std::string("POST /once/ HTTP/1.1\rHost: a.example\r\r\n\r\n")}) {
    const auto client = sidecar.Ask(text);
    REQUIRE(sidecar.Until([&] { return client->ended; }));
    CHECK_FALSE(Has(client, "200 OK"));
  }
  CHECK(server.requests() == 0);
}

TEST_CASE("A pipelined request is answered after the one before it") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, Always(Reply("200 OK", "bytes", kSigned)));
  sidecar.Know({&server});
  const auto client = sidecar.Ask(RequestTo("/once/") + RequestTo("/nowhere/"));
  REQUIRE(sidecar.Until([&] { return Has(client, "404"); }));
  CHECK(client->received.find("bytes") < client->received.find("404"));
}

TEST_CASE("A request is held for a model that comes while its client still waits, else refused at once") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, Always(Reply("200 OK", "bytes", kSigned)));
  sidecar.KnowModels(server, {});
  const auto ask = [&](const std::string& model) {
    return sidecar.Ask(
        "POST /stream/a HTTP/1.1\r\nHost: a.example\r\nX-Violetwing-Request-Id: r1\r\n"
        "X-Violetwing-Deadline-Ms: 3000\r\nContent-Length: 0\r\nX-Violetwing-Model: " +
        model + "\r\n\r\n");
  };
  const auto held = ask("m");
  REQUIRE(sidecar.Until([&] { return !sidecar.plane.waiting_for_model.empty(); }));
  const auto refused = ask("slow");
  REQUIRE(sidecar.Until([&] { return Has(refused, "503"); }));
  CHECK(Has(refused, "Retry-After"));
  CHECK(held->received.empty());
  sidecar.KnowModels(server, {{"m", 1, {}}});
  REQUIRE(sidecar.Until([&] { return Has(held, "bytes"); }));
}

}  // namespace violetwing
