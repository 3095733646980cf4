// Tests of request handling in the sidecar, from the client's connection to the server's, over real
// connections in an order that each test controls.
#include <catch2/catch.hpp>

#include "dataplane/sidecar_fixture.hpp"

namespace violetwing {

using namespace testing;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

TEST_CASE(
    "A complete response is forwarded unchanged, and the server gets its expected instance and the remaining "
    "time") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned + "X-Other: kept\r\n")));
  sidecar.SetServers({&server});
  const auto client =
      sidecar.SendRequest(RequestTo("/once/a?b=c", "X-Mine: yes\r\nConnection: x-hop\r\nX-Hop: no\r\n"));
  REQUIRE(sidecar.Until([&] { return Received(client, "bytes"); }));
  CHECK(Received(client, "HTTP/1.1 200 OK"));
  CHECK(Received(client, "X-Violetwing-Response-Signature: sig"));
  CHECK(Received(client, "X-Other: kept"));
  const std::string& sent = server.peers[0]->received;
  CHECK(sent.rfind("POST /once/a?b=c HTTP/1.1\r\n", 0) == 0);
  CHECK(sent.find("X-Violetwing-Expected-Instance: i-0") != std::string::npos);
  CHECK(sent.find("X-Mine: yes") != std::string::npos);
  CHECK(sent.find("X-Hop") == std::string::npos);
  CHECK(sent.find("X-Violetwing-Deadline-Ms: 4000") == std::string::npos);
  CHECK(sent.substr(sent.size() - 5) == "hello");
}

TEST_CASE("Requests are rejected without a configuration, and answered 404 without a route") {
  Sidecar sidecar;
  const auto early = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Received(early, "\r\n\r\n"); }));
  CHECK(Received(early, "HTTP/1.1 503"));
  CHECK(Received(early, "Retry-After"));
  sidecar.SetServers({});
  const auto unrouted = sidecar.SendRequest(RequestTo("/nowhere/"));
  REQUIRE(sidecar.Until([&] { return Received(unrouted, "\r\n\r\n"); }));
  CHECK(Received(unrouted, "HTTP/1.1 404"));
}

TEST_CASE(
    "UNASKED: a server gets the tenant of the client's key, but neither the key nor a tenant that the client "
    "names") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&server}, kTenantConfiguration);
  const auto client = sidecar.SendRequest(
      RequestTo("/once/", "Authorization: Bearer key-a\r\nX-Violetwing-Tenant: mallory\r\n"));
  REQUIRE(sidecar.Until([&] { return Received(client, "bytes"); }));
  const std::string& sent = server.peers[0]->received;
  CHECK(sent.find("X-Violetwing-Tenant: alice\r\n") != std::string::npos);
  CHECK(sent.find("mallory") == std::string::npos);
  CHECK(sent.find("key-a") == std::string::npos);
}

TEST_CASE("ROUTE: a request whose key no configuration holds is answered 401 and reaches no server") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&server}, kTenantConfiguration);
  for (const std::string credentials : {"", "Authorization: Bearer nobody's\r\n",
                                        "Authorization: Bearer key-a\r\nAuthorization: Bearer key-a\r\n"}) {
    const auto client = sidecar.SendRequest(RequestTo("/once/", credentials));
    REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
    CHECK(Received(client, "HTTP/1.1 401"));
  }
  CHECK(server.requests() == 0);
  const auto open = sidecar.SendRequest(RequestTo("/open/"));
  REQUIRE(sidecar.Until([&] { return Received(open, "bytes"); }));
}

TEST_CASE("ROUTE: an API key in a trailer is ignored") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&server}, kTenantConfiguration);
  const auto client = sidecar.SendRequest(
      "POST /once/ HTTP/1.1\r\nHost: a.example\r\nX-Violetwing-Request-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n"
      "5\r\nhello\r\n0\r\nAuthorization: Bearer key-a\r\n\r\n");
  REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
  CHECK(Received(client, "HTTP/1.1 401"));
  CHECK(server.requests() == 0);
}

TEST_CASE("CONFIG: the second of two pipelined requests is rejected if its key was revoked in between") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, [](Peer&) {});  // the test sends the response
  sidecar.SetServers({&server}, kTenantConfiguration);
  const std::string request = RequestTo("/once/", "Authorization: Bearer key-a\r\n");
  const auto client = sidecar.SendRequest(request + request);
  REQUIRE(sidecar.Until([&] { return server.requests() == 1; }));
  sidecar.SetServers({&server}, kRevokedConfiguration);
  server.peers[0]->Write(Reply("200 OK", "bytes", kSigned));
  REQUIRE(sidecar.Until([&] { return Received(client, "HTTP/1.1 401"); }));
  CHECK(Received(client, "bytes"));
  CHECK(server.requests() == 1);
}

TEST_CASE("A rejected request is retried at another server if the route allows two attempts") {
  Sidecar sidecar;
  ScriptedServer full(sidecar.io,
                      AlwaysRespond(Reply("503 Service Unavailable", "", kNotExecuted + kSigned)));
  ScriptedServer free(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&full, &free});
  for (int i = 0; i < 6; ++i) {
    const auto client = sidecar.SendRequest(RequestTo("/once/twice/"));
    REQUIRE(sidecar.Until([&] { return Received(client, "bytes"); }));
    CHECK(Received(client, "200 OK"));
  }
  CHECK(free.requests() == 6);
}

TEST_CASE(
    "A request rejected by all servers gets the sidecar's own 503 at once, with Retry-After and unsigned") {
  Sidecar sidecar;
  ScriptedServer full(sidecar.io, AlwaysRespond(Reply("429 Too Many Requests", "x", kNotExecuted + kSigned)));
  sidecar.SetServers({&full});
  const auto client = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
  CHECK(Received(client, "HTTP/1.1 503"));
  CHECK(Received(client, "Retry-After: 0."));
  CHECK_FALSE(Received(client, "Signature"));
  CHECK(full.requests() == 1);
}

TEST_CASE("A rejection without the not-executed header becomes an unsigned 502") {
  Sidecar sidecar;
  ScriptedServer failing(sidecar.io, AlwaysRespond(Reply("503 Service Unavailable", "x", kSigned)));
  sidecar.SetServers({&failing});
  const auto client = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
  CHECK(Received(client, "HTTP/1.1 502"));
  CHECK_FALSE(Received(client, "Signature"));
}

TEST_CASE("A 421 from a wrong instance counts as not executed and is not forwarded to the client") {
  Sidecar sidecar;
  ScriptedServer other(sidecar.io, AlwaysRespond(Reply("421 Misdirected Request", "", kSigned)));
  sidecar.SetServers({&other});
  const auto alone = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Received(alone, "\r\n\r\n"); }));
  CHECK(Received(alone, "HTTP/1.1 503"));
  CHECK_FALSE(Received(alone, "Signature"));
  ScriptedServer right(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&other, &right});
  for (int i = 0; i < 6; ++i) {
    const auto client = sidecar.SendRequest(RequestTo("/once/twice/"));
    REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
    CHECK(Received(client, "200 OK"));
  }
}

TEST_CASE("After a reset, a request that may have executed is retried only if it is idempotent") {
  Sidecar sidecar;
  ScriptedServer resets(sidecar.io, [](Peer& peer) { peer.Reset(); });
  sidecar.SetServers({&resets});
  const auto once = sidecar.SendRequest(RequestTo("/once/twice/"));
  REQUIRE(sidecar.Until([&] { return Received(once, "\r\n\r\n"); }));
  CHECK(Received(once, "HTTP/1.1 502"));
  CHECK(resets.requests() == 1);
  ScriptedServer serves(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&resets, &serves});
  for (int i = 0; i < 6; ++i) {
    const auto safe = sidecar.SendRequest(RequestTo("/safe/"));
    REQUIRE(sidecar.Until([&] { return Received(safe, "\r\n\r\n"); }));
    CHECK(Received(safe, "200 OK"));
  }
}

TEST_CASE(
    "An unreachable server has executed nothing: another one is attempted even if the route allows one") {
  Sidecar sidecar;
  ScriptedServer down(sidecar.io, {}, ScriptedServer::Begin::kDown);
  ScriptedServer up(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&down, &up});
  for (int i = 0; i < 6; ++i) {
    const auto client = sidecar.SendRequest(RequestTo("/once/"));
    REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
    CHECK(Received(client, "200 OK"));
  }
  CHECK(up.requests() == 6);
}

TEST_CASE("A response to another request is not accepted for this one") {
  Sidecar sidecar;
  ScriptedServer stale(sidecar.io, AlwaysRespond(Reply("200 OK", "old", "X-Violetwing-Request-Id: r0\r\n")));
  sidecar.SetServers({&stale});
  const auto client = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
  CHECK(Received(client, "HTTP/1.1 502"));
  CHECK_FALSE(Received(client, "old"));
}

TEST_CASE("Bytes after a complete response are discarded") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io,
                        AlwaysRespond(Reply("200 OK", "bytes", kSigned) + Reply("200 OK", "extra", kSigned)));
  sidecar.SetServers({&server});
  const auto client = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "bytes"); }));
  client->Write(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 2; }));
  CHECK(server.peers.size() == 2);  // the first connection was not reused
  CHECK_FALSE(Received(client, "extra"));
}

TEST_CASE("A truncated response does not look complete, with a length or in chunks") {
  for (const std::string& head :
       {std::string("Content-Length: 100\r\n"), std::string("Transfer-Encoding: chunked\r\n")}) {
    Sidecar sidecar;
    ScriptedServer server(sidecar.io, [&](Peer& peer) {
      peer.Write("HTTP/1.1 200 OK\r\n" + kSigned + head + "\r\n" +
                 (head[0] == 'T' ? "5\r\npiece\r\n" : "piece"));
      peer.Close();
    });
    sidecar.SetServers({&server});
    const auto client = sidecar.SendRequest(RequestTo("/once/"));
    REQUIRE(sidecar.Until([&] { return client->ended; }));
    CHECK(Received(client, "piece"));
    CHECK_FALSE(Received(client, "\r\n0\r\n\r\n"));
  }
}

TEST_CASE("A response without a length counts as reset") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, [](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\n" + kSigned + "\r\npiece");
    peer.Close();
  });
  sidecar.SetServers({&server});
  const auto client = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
  CHECK(Received(client, "HTTP/1.1 502"));
}

TEST_CASE("Events of a stream are forwarded as they arrive") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond("HTTP/1.1 200 OK\r\n" + kSigned +
                                                  "Transfer-Encoding: chunked\r\n\r\n8\r\n"
                                                  "data: 1\n\r\n"));
  sidecar.SetServers({&server});
  const auto client = sidecar.SendRequest(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "data: 1\n"); }));
  server.peers[0]->Write("8\r\ndata: 2\n\r\n0\r\n\r\n");
  REQUIRE(sidecar.Until([&] { return Received(client, "data: 2\n\r\n0\r\n\r\n"); }));
}

TEST_CASE("A client that disconnects cancels its request") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io);
  sidecar.SetServers({&server});
  const auto client = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 1; }));
  client->Close();
  REQUIRE(sidecar.Until([&] { return server.peers[0]->ended; }));
  CHECK(sidecar.plane.load_balancer.InFlight("i-0") == 0);
}

TEST_CASE("At its deadline a request is answered, and its upstream exchange is cancelled") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io);
  sidecar.SetServers({&server});
  const auto client = sidecar.SendRequest(RequestTo("/short/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n") && server.peers[0]->ended; }));
  CHECK(Received(client, "HTTP/1.1 504"));
}

TEST_CASE("A response begun before the shutdown closes its connection, and later ones announce it") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io);
  sidecar.SetServers({&server});
  const auto before = sidecar.SendRequest(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 1; }));
  server.peers[0]->Write("HTTP/1.1 200 OK\r\n" + kSigned +
                         "Transfer-Encoding: chunked\r\n\r\n5\r\npiece\r\n");
  REQUIRE(sidecar.Until([&] { return Received(before, "piece"); }));
  sidecar.ingress.SetClosing();
  const auto after = sidecar.SendRequest(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 2; }));
  server.peers[1]->Write(Reply("200 OK", "whole", kSigned));
  REQUIRE(sidecar.Until([&] { return after->ended; }));
  CHECK(Received(after, "Connection: close"));
  CHECK(Received(after, "whole"));
  server.peers[0]->Write("0\r\n\r\n");
  // Closed at once rather than after the idle timeout of 15 s.
  REQUIRE(RunUntil(
      sidecar.io, [&] { return before->ended; }, 5s));
  CHECK(Received(before, "\r\n0\r\n\r\n"));
  CHECK(sidecar.ingress.busy() == 0);
}

TEST_CASE("Ambiguous or malformed requests are rejected and never forwarded") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&server});
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
    const auto client = sidecar.SendRequest(text);
    REQUIRE(sidecar.Until([&] { return client->ended; }));
    CHECK_FALSE(Received(client, "200 OK"));
  }
  CHECK(server.requests() == 0);
}

TEST_CASE("Pipelined requests are answered in order") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&server});
  const auto client = sidecar.SendRequest(RequestTo("/once/") + RequestTo("/nowhere/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "404"); }));
  CHECK(client->received.find("bytes") < client->received.find("404"));
}

TEST_CASE(
    "DRAIN: a request that waits for its connection is not sent to a server that started draining "
    "meanwhile") {
  const bool has_idle_connection = GENERATE(false, true);
  Sidecar sidecar;
  ScriptedServer leaves(sidecar.io, AlwaysRespond(Reply("200 OK", "leaves", kSigned)));
  ScriptedServer stays(sidecar.io, AlwaysRespond(Reply("200 OK", "stays", kSigned)));
  sidecar.SetServers({&leaves});
  if (has_idle_connection) {
    const auto first = sidecar.SendRequest(RequestTo("/once/"));
    REQUIRE(sidecar.Until([&] { return sidecar.plane.pool.HasIdle("i-0"); }));
  }
  const int before = leaves.requests();
  const auto client = sidecar.SendRequest(RequestTo("/once/"));
  REQUIRE(sidecar.Until([&] { return sidecar.plane.load_balancer.InFlight("i-0") > 0; }));
  sidecar.SetServers({&leaves, &stays}, kConfiguration, {Phase::kDraining, Phase::kReady});
  REQUIRE(sidecar.Until([&] { return Received(client, "stays"); }));
  CHECK(leaves.requests() == before);
}

TEST_CASE("A request waits for a model that can load in time, and is rejected at once otherwise") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetModelServer(server, {});
  const auto send = [&](const std::string& model) {
    return sidecar.SendRequest(
        "POST /stream/a HTTP/1.1\r\nHost: a.example\r\nX-Violetwing-Request-Id: r1\r\n"
        "X-Violetwing-Deadline-Ms: 3000\r\nContent-Length: 0\r\nX-Violetwing-Model: " +
        model + "\r\n\r\n");
  };
  const auto waiting = send("m");
  REQUIRE(sidecar.Until([&] { return !sidecar.plane.waiting_for_model.empty(); }));
  const auto rejected = send("slow");
  REQUIRE(sidecar.Until([&] { return Received(rejected, "503"); }));
  CHECK(Received(rejected, "Retry-After"));
  CHECK(waiting->received.empty());
  sidecar.SetModelServer(server, {{"m", 1, {}}});
  REQUIRE(sidecar.Until([&] { return Received(waiting, "bytes"); }));
}

namespace {

constexpr const char* kWaitingForModel =
    "POST /stream/a HTTP/1.1\r\nHost: a.example\r\nX-Violetwing-Request-Id: r1\r\n"
    "X-Violetwing-Deadline-Ms: 3000\r\nContent-Length: 0\r\nX-Violetwing-Model: m\r\n\r\n";

// A drain in which each stage lies `before_now` before or, if negative, after the present.
DrainSchedule DrainAt(std::chrono::milliseconds last_attempt_before_now,
                      std::chrono::milliseconds requests_end_before_now) {
  const auto now = std::chrono::steady_clock::now();
  DrainSchedule drain;
  drain.unready_noticed = now - last_attempt_before_now;
  drain.last_attempt = now - last_attempt_before_now;
  drain.requests_end = now - requests_end_before_now;
  drain.exit = drain.requests_end + 200ms;
  return drain;
}

template <class Action>
void ForAllInFlight(const Sidecar& sidecar, Action action) {
  const auto in_flight = sidecar.plane.in_flight;
  for (const auto& request : in_flight) action(*request);
}

}  // namespace

TEST_CASE("LOST: a request that waits for a model is rejected as the sidecar stops, not cut off") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetModelServer(server, {});
  const auto client = sidecar.SendRequest(kWaitingForModel);
  REQUIRE(sidecar.Until([&] { return !sidecar.plane.waiting_for_model.empty(); }));
  sidecar.plane.drain = DrainAt(0ms, -1000ms);
  ForAllInFlight(sidecar, [](RequestRouter& request) { request.OnDrainStage(); });
  REQUIRE(sidecar.Until([&] { return Received(client, "HTTP/1.1 503"); }));
  CHECK(Received(client, "Retry-After"));
  CHECK(sidecar.plane.in_flight.empty());
}

TEST_CASE("LOST: a request that is read too late in a drain is rejected, not sent to a server") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&server});
  sidecar.plane.drain = DrainAt(1ms, -1000ms);
  const auto late = sidecar.SendRequest(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return Received(late, "HTTP/1.1 503"); }));
  CHECK(server.requests() == 0);
  // The deadline of this route is shorter than what is left.
  const auto short_enough = sidecar.SendRequest(RequestTo("/short/"));
  REQUIRE(sidecar.Until([&] { return Received(short_enough, "bytes"); }));
}

TEST_CASE(
    "LOST: at the end of a drain a request without a response gets 504, and a begun response is cut off") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io);
  sidecar.SetServers({&server});
  const auto waits = sidecar.SendRequest(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 1; }));
  const auto streams = sidecar.SendRequest(RequestTo("/stream/"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 2; }));
  server.peers[1]->Write("HTTP/1.1 200 OK\r\n" + kSigned +
                         "Transfer-Encoding: chunked\r\n\r\n5\r\npiece\r\n");
  REQUIRE(sidecar.Until([&] { return Received(streams, "piece"); }));
  sidecar.plane.drain = DrainAt(100ms, 0ms);
  ForAllInFlight(sidecar, [](RequestRouter& request) { request.EndAtShutdown(); });
  REQUIRE(sidecar.Until([&] { return Received(waits, "HTTP/1.1 504") && streams->ended; }));
  CHECK_FALSE(Received(streams, "\r\n0\r\n\r\n"));
  CHECK(sidecar.plane.in_flight.empty());
}

TEST_CASE("LOST: the end of a response reaches a client whose further bytes are unread at the close") {
  Sidecar sidecar;
  // The client's receive buffer holds less, and the sidecar's send buffer the rest.
  const std::string body(100'000, 'b');
  ScriptedServer server(sidecar.io);
  sidecar.SetServers({&server});
  auto client = std::make_shared<Peer>(boost::asio::ip::tcp::socket(sidecar.io));
  client->socket.open(boost::asio::ip::tcp::v4());
  client->socket.set_option(boost::asio::socket_base::receive_buffer_size(16'384));
  client->socket.connect(sidecar.endpoint);
  client->Write(RequestTo("/once/", "Connection: close\r\n"));
  REQUIRE(sidecar.Until([&] { return server.requests() == 1; }));
  client->Write("bytes that the sidecar does not read as a request");
  server.peers[0]->Write(Reply("200 OK", body, kSigned));
  // The sidecar has written all of the response and the client has read nothing yet.
  REQUIRE(sidecar.Until([&] { return sidecar.ingress.busy() == 0; }));
  client->Read();
  REQUIRE(sidecar.Until([&] { return client->ended; }));
  CHECK(client->received.size() > body.size());
  client->Close();
  REQUIRE(sidecar.Until([&] { return sidecar.ingress.open_responses() == 0; }));
}

TEST_CASE("A request whose rest arrives after its 408 is not served") {
  Sidecar sidecar;
  ScriptedServer server(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&server});
  configuration::Limits limits;
  limits.header_timeout_ms = 50;
  sidecar.ingress.SetLimits(limits);
  const std::string request = RequestTo("/once/");
  const auto client = sidecar.SendRequest(request.substr(0, 30));
  REQUIRE(sidecar.Until([&] { return Received(client, "HTTP/1.1 408"); }));
  client->Write(request.substr(30));
  violetwing::sidecar::testing::RunFor(sidecar.io, 200ms);
  CHECK(server.requests() == 0);
  CHECK(sidecar.ingress.busy() == 0);
  client->Close();
  REQUIRE(sidecar.Until([&] { return sidecar.ingress.open_responses() == 0; }));
}

}  // namespace violetwing
