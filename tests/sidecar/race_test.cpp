// Races between the end of a connection, a deadline or the process and the requests in progress. Each test
// delays a byte, a FIN, a reset or an accept until the sidecar has reached a known state, so that the
// critical order of events occurs every time. docs/endings.md lists the cases and the test of each.
#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <list>
#include <optional>
#include <string>
#include <vector>

#include "sidecar/sidecar_fixture.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class RaceTest : public SidecarTest {
 protected:
  // Client connections that a limit of 64 descriptors allows (docs/operations.md).
  static constexpr int kMaxConnections = 11;
  static void LimitDescriptors(nlohmann::json& json) { json["limits"]["sockets"] = 64; }

  // Leaves `free` connections unused; each other one carries a request that the silent server does not
  // answer.
  void UseConnections(ScriptedServer& server, int free) {
    for (int i = 0; i < kMaxConnections - free; ++i) {
      clients.push_back(Client(Get("held" + std::to_string(i))));
      ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == i + 1; }));
    }
  }

  std::vector<std::shared_ptr<Peer>> clients;
};

// A request arrives on an idle connection that is chosen to be closed: the connection stays open and another
// idle one is closed instead. Guards against choosing the first again, with no read pending on it: no other
// idle connection would be closed then.
TEST_F(RaceTest, AConnectionThatStaysOpenDoesNotKeepOthersFromBeingClosed) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address), Entry("s2", server.address)}, LimitDescriptors);
  UseConnections(server, 0);  // the last one was chosen to be closed as its request arrived
  server.peers[0]->Write(Reply("200 OK", "ok"));
  ASSERT_EQ(Status(*clients[0]), "200");  // the connection is idle now
  clients[1]->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return server.peers[1]->ended; }));
  const auto next = Client(Get("next"));  // takes the last free connection
  const auto waiting = Client(Get("waiting"));
  EXPECT_TRUE(RunUntil(io, [&] { return server.requests() == kMaxConnections + 2; }));
  EXPECT_TRUE(clients[0]->ended);
}

// At the connection limit, with no idle connection, a waiting client is accepted as soon as one becomes idle.
TEST_F(RaceTest, AWaitingClientReplacesTheFirstConnectionThatBecomesIdle) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address), Entry("s2", server.address)}, LimitDescriptors);
  UseConnections(server, 0);
  const auto waiting = Client(Get("waiting"));
  server.peers[0]->Write(Reply("200 OK", "ok"));  // and its client keeps the connection
  EXPECT_TRUE(RunUntil(io, [&] { return server.requests() == kMaxConnections + 1; }));
  EXPECT_FALSE(waiting->ended);
}

// The connection that reaches the limit has its request read as it is accepted. Guards against taking it for
// idle and closing it because the read's handler has not run yet.
TEST_F(RaceTest, AConnectionWhoseRequestIsReadOnAcceptIsNotClosedAsIdle) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address), Entry("s2", server.address)}, LimitDescriptors);
  UseConnections(server, 1);
  const auto last = Client(Get("last"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == kMaxConnections || last->ended; }));
  EXPECT_EQ(server.requests(), kMaxConnections);
  EXPECT_FALSE(last->ended);
}

// Idle connections are closed during the drain while one request has been read but not handled: it is served.
TEST_F(RaceTest, ARequestReadWhileIdleConnectionsCloseIsServed) {
  std::vector<std::string> taken;
  Inbound::Events events;
  events.on_request = [&](const Inbound::SessionPtr& session, const RequestHead& head, const BodyPtr&,
                          Micros) {
    taken.emplace_back(head[kIdHeader]);
    Inbound::Respond(session, TextResponse(http::status::ok, "ok"));
  };
  events.on_client_disconnected = [](const Inbound::SessionPtr&) {};
  events.ready = [] { return true; };
  Inbound inbound(io, Tcp::acceptor(io, Loopback()), 4, std::make_shared<BufferBudget>(1024), events);
  const auto idle = Connect(io, inbound.address());
  const auto asking = Connect(io, inbound.address());
  asking->Write(Get("r1"));
  inbound.StopAccepting();  // accepts both, and reads the second one's request
  inbound.CloseIdle();
  EXPECT_EQ(Status(*asking), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return idle->ended; }));
  EXPECT_EQ(idle->received, "");
  EXPECT_EQ(taken, std::vector<std::string>{"r1"});
}

// Limits the process to the descriptors that are open now, until the end of its scope.
class DescriptorLimit {
 public:
  DescriptorLimit() {
    ::getrlimit(RLIMIT_NOFILE, &original_);
    const int lowest = ::dup(STDERR_FILENO);
    ::close(lowest);
    rlimit now = original_;
    now.rlim_cur = static_cast<rlim_t>(lowest);
    ::setrlimit(RLIMIT_NOFILE, &now);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &original_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit original_{};
};

// Clients are in the listen queue when the listener is to close, and no descriptor is left to accept them
// with. Runs first with enough descriptors, as the type sanitizer opens some of its own for each type that it
// meets for the first time.
TEST_F(RaceTest, QueuedClientsAreAcceptedAsDescriptorsBecomeAvailable) {
  Inbound::Events events;
  events.on_request = [&](const Inbound::SessionPtr& session, const RequestHead&, const BodyPtr&, Micros) {
    Inbound::Respond(session, TextResponse(http::status::ok, "ok"));
  };
  events.on_client_disconnected = [](const Inbound::SessionPtr&) {};
  events.ready = [] { return true; };
  for (const bool enough : {true, false}) {
    Inbound inbound(io, Tcp::acceptor(io, Loopback()), 8, std::make_shared<BufferBudget>(1024), events);
    inbound.Accept();
    const auto idle = Connect(io, inbound.address());
    idle->Write(Get("r0"));
    EXPECT_EQ(Status(*idle), "200");
    std::vector<std::shared_ptr<Peer>> waiting;
    for (int i = 1; i <= 3; ++i) {
      waiting.push_back(Connect(io, inbound.address()));
      waiting.back()->Write(Get("r" + std::to_string(i)));
    }
    std::optional<DescriptorLimit> limit;
    if (!enough) limit.emplace();
    inbound.StopAccepting();
    for (const auto& client : waiting) EXPECT_EQ(Status(*client), "200");
    EXPECT_EQ(idle->ended, !enough);  // its descriptor was needed
    inbound.CloseIdle();
    EXPECT_TRUE(RunUntil(io, [&] { return !inbound.holds_connections(); }));
  }
}

// Many clients wait for a descriptor: each must be accepted as soon as the client before it is answered.
// Guards against a pause of 50 ms before each accept, by the end of which most clients have given up.
TEST_F(RaceTest, AClosedConnectionsDescriptorIsReusedAtOnce) {
  constexpr int kClients = 60;
  constexpr auto kMaxTime = 500ms;  // 6 s with the pauses
  Inbound::Events events;
  events.on_request = [&](const Inbound::SessionPtr& session, const RequestHead&, const BodyPtr&, Micros) {
    Inbound::Respond(session, TextResponse(http::status::ok, "ok"));
  };
  events.on_client_disconnected = [](const Inbound::SessionPtr&) {};
  events.ready = [] { return true; };
  for (const bool enough : {true, false}) {  // as above
    Inbound inbound(io, Tcp::acceptor(io, Loopback()), 2 * kClients, std::make_shared<BufferBudget>(1024),
                    events);
    inbound.Accept();
    const auto idle = Connect(io, inbound.address());
    idle->Write(Get("r0"));
    ASSERT_EQ(Status(*idle), "200");
    std::vector<std::shared_ptr<Peer>> waiting;
    for (int i = 0; i < kClients; ++i) waiting.push_back(Connect(io, inbound.address()));
    std::optional<DescriptorLimit> limit;
    if (!enough) limit.emplace();
    const auto begin = std::chrono::steady_clock::now();
    for (const auto& client : waiting) client->Write(Get("r1"));
    for (const auto& client : waiting) EXPECT_EQ(Status(*client), "200");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kMaxTime);
    inbound.CloseListener();
    inbound.CloseIdle();
    EXPECT_TRUE(RunUntil(io, [&] { return !inbound.holds_connections(); }));
  }
}

// A client has 2.5 s for its request (kRequestTimeout in inbound.cpp), whatever part of it arrives.
constexpr auto kRequestTimeout = 2500ms;

// The handler of the deadline is queued behind the handler that reads the request's last byte.
TEST_F(RaceTest, ARequestWhoseLastByteArrivesAtItsDeadlineIsAnswered) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  const std::string text = Get("r1");
  for (const std::size_t early : {std::size_t{0}, text.size() / 2}) {
    const auto begin = std::chrono::steady_clock::now();
    const auto client = Client(text.substr(0, early));
    RunUntil(io, [&] { return std::chrono::steady_clock::now() > begin + kRequestTimeout - 300ms; });
    asio::post(io, [&] {
      HoldUntil(begin + kRequestTimeout + 100ms);
      client->Write(text.substr(early));
    });
    const std::string status = Status(*client);
    EXPECT_TRUE(status == "200" || (early > 0 && status == "408")) << early << " '" << status << "'";
  }
}

// A half-close cannot be distinguished from a close: it counts as a disconnection, and the attempt is
// cancelled.
TEST_F(RaceTest, AHalfCloseCountsAsADisconnection) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  client->socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0 && client->ended; }));
  EXPECT_EQ(client->received, "");
}

// A client disconnects while its connection is in the listen queue: its request and its FIN are read one
// after the other. Guards against forwarding the request between the two, no matter how long ago
// the client disconnected.
TEST_F(RaceTest, ARequestOfAClientThatDisconnectsInTheListenQueueIsNotForwarded) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  ASSERT_EQ(Ask(Get("r1")), "200");  // keeps a server connection, so that the next request is written at once
  Client(Get("r2"))->Close();
  EXPECT_EQ(Ask(Get("r3")), "200");
  EXPECT_EQ(server.requests(), 2);
}

// A long body is not read further while its request waits for a retry, so the client's FIN is behind unread
// data.
TEST_F(RaceTest, ADisconnectBehindALongBodyCancelsTheRequest) {
  ScriptedServer server(
      io, [](Peer& peer) { peer.Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")); });
  Start({Entry("s1", server.address)});
  const std::string head =
      "POST /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\nContent-Length: "
      "300000\r\n\r\n";
  const auto client = Client(head + std::string(90'000, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  Tell(
      List(2, false, {Entry("s1", server.address, "draining")}));  // the request waits: no server is eligible
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(Figure("downstream_requests.look.rejected"), "0");  // it ended before its retries did
  EXPECT_EQ(Figure("downstream_requests.look.failed"), "0");
}

// Nothing is read from a client either that has pipelined more requests than its buffer holds.
class DisconnectTest : public RaceTest, public ::testing::WithParamInterface<bool> {};

TEST_P(DisconnectTest, ADisconnectBehindPipelinedRequestsCancelsThem) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  std::string text;
  for (int i = 0; i < 600; ++i) text += Get("r" + std::to_string(i));
  const auto client = std::make_shared<Peer>(Tcp::socket(io));
  client->socket.connect(sidecar->address());
  client->Write(text);
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  io.restart();
  while (io.poll() > 0) {  // reads as much as the buffer holds
  }
  GetParam() ? client->Reset() : client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(server.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(ByReset, DisconnectTest, ::testing::Bool());

// A listener with a full backlog: connections are not established until Accept is called, and then within
// about a second.
class FullBacklogServer {
 public:
  explicit FullBacklogServer(asio::io_context& io) : acceptor_(io, Tcp::v4()) {
    acceptor_.bind(Loopback());
    acceptor_.listen(0);
    // The kernel decides how many connections fit into a backlog of 0.
    for (bool up = true; up && backlog_.size() < 16;) {
      Tcp::socket& connection = backlog_.emplace_back(io, Tcp::v4());
      connection.native_non_blocking(true);
      const Tcp::endpoint to = acceptor_.local_endpoint();
      ::connect(connection.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
      pollfd one{connection.native_handle(), POLLOUT, 0};
      up = ::poll(&one, 1, 50) > 0;
    }
  }
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->Read();
      Accept();
    });
  }
  // Empties the backlog, without the event loop, until the waiting connection is established.
  void AwaitConnection() {
    backlog_.clear();
    acceptor_.non_blocking(true);
    for (ErrorCode error; !error;) acceptor_.accept(error);
    pollfd one{acceptor_.native_handle(), POLLIN, 0};
    ASSERT_EQ(::poll(&one, 1, 20'000), 1);
  }
  int requests() const {
    int count = 0;
    for (const auto& peer : peers) count += peer->requests();
    return count;
  }
  std::vector<std::shared_ptr<Peer>> peers;

 private:
  Tcp::acceptor acceptor_;
  std::list<Tcp::socket> backlog_;
};

void UseLongDialTimeout(nlohmann::json& json) { json["settings"]["allowed"]["dial_timeout_us"] = 10'000'000; }

// With and without permission to cancel attempts: an attempt of which nothing is written has not started.
class DialTest : public RaceTest, public ::testing::WithParamInterface<bool> {};

TEST_P(DialTest, WritesNothingForAClientThatHasDisconnected) {
  FullBacklogServer server(io);
  Start({Entry("s1", server.address())}, [](nlohmann::json& json) {
    UseLongDialTimeout(json);
    json["settings"]["allowed"]["cancel"] = GetParam();
  });
  const auto client = Client(Post("port", "r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("pending") == "0"; }));  // the disconnection has been noticed
  ASSERT_EQ(Figure("upstream_requests"), "0") << "the dial was to wait";
  server.Accept();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 0 || server.requests() > 0; }));
  EXPECT_EQ(server.requests(), 0);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(MayCancel, DialTest, ::testing::Bool());

// The deadline header is computed when the request is written, not when the attempt was decided.
TEST_F(RaceTest, AfterASlowDialTheDeadlineHeaderHasTheRemainingTime) {
  FullBacklogServer server(io);
  Start({Entry("s1", server.address())}, UseLongDialTimeout);
  const auto begin = std::chrono::steady_clock::now();
  const auto client = Client(Post("port", "r1"));  // 5 s
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  ASSERT_TRUE(RunUntil(io, [&] { return std::chrono::steady_clock::now() > begin + 400ms; }));
  ASSERT_EQ(Figure("upstream_requests"), "0") << "the dial was to wait";
  server.Accept();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  const std::string& sent = server.peers.back()->received;
  const std::size_t at = sent.find("Req-Deadline: ");
  ASSERT_NE(at, std::string::npos) << sent;
  EXPECT_LT(std::stod(sent.substr(at + 14)), 4.6);
}

// A pipelined request waits for the one before it; its deadline counts from its arrival.
TEST_F(RaceTest, APipelinedRequestBehindATimeoutHasItsRemainingTime) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto begin = std::chrono::steady_clock::now();
  const auto client = Client(Post("port", "r1", "0.6") + Post("port", "r2", "3.0"));
  // At most a fifth of 0.6 s is reserved for the response, so it does not come before 0.48 s.
  EXPECT_EQ(Status(*client), "502");
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  const std::string& sent = server.peers.back()->received;
  const std::size_t at = sent.find("Req-Deadline: ", sent.find("Req-Id: r2"));
  ASSERT_NE(at, std::string::npos) << sent;
  EXPECT_LT(std::stod(sent.substr(at + 14)), 3.0 - 0.48);
  EXPECT_EQ(Status(*client, 2), "502");
  EXPECT_GT(std::chrono::steady_clock::now(), begin + 2400ms);  // and it had no less time than that
}

// ---- Server list updates ----

// After a stall, the event loop finds events in the order of their arrival: a request, or the completion of a
// dial, is ahead of the list update that drains its server. The sidecar must apply the update first, as half
// of the drain grace has passed when it resumes.
class StalledLoopTest : public RaceTest {
 protected:
  static constexpr auto kStall = 250ms;  // of 500 ms (ConfigJson)

  void SendListAndStall(const std::string& id, const Tcp::endpoint& drains, const Tcp::endpoint& added) {
    Tell(List(2, false, {Entry(id, drains, "draining"), Entry("comes", added)}));
    HoldUntil(std::chrono::steady_clock::now() + kStall);
  }
};

TEST_F(StalledLoopTest, AListUpdateIsAppliedBeforeEarlierRequests) {
  ScriptedServer server(io, Serves("drains"));
  ScriptedServer other(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  const auto client = Client(Get("r1"));
  ASSERT_EQ(Status(*client), "200");
  client->Write(Get("r2"));
  SendListAndStall("s1", server.address, other.address);
  EXPECT_EQ(Status(*client, 2), "200");
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(other.requests(), 1);
}

TEST_F(StalledLoopTest, AListUpdateIsAppliedBeforeAnEarlierDialIsUsed) {
  FullBacklogServer server(io);
  ScriptedServer other(io, Serves("ok"));
  Start({Entry("s1", server.address())}, UseLongDialTimeout);
  const auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  server.AwaitConnection();
  SendListAndStall("s1", server.address(), other.address);
  server.Accept();
  EXPECT_EQ(Status(*client), "200");
  EXPECT_EQ(server.requests(), 0);
}

// ---- SIGTERM ----

TEST_F(RaceTest, RequestsThatArriveAsTheDrainStartsAreServed) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto in_flight = Client(Get("asked"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  const auto partial = Client("GET /api?obj=k1 HTTP/1.1\r\nHost: ori");
  io.restart();
  while (io.poll() > 0) {  // a partial line is read
  }
  const auto queued = Client(Get("comes"));           // connected, request sent, not accepted
  server.peers[0]->Write("HTTP/1.1 200 OK\r\nCont");  // the first bytes of a response, not read
  bool finished = false;
  sidecar->Drain([&] { finished = true; });
  server.on_data = Serves("ok");
  server.peers[0]->Write("ent-Length: 4\r\n\r\nlast");
  partial->Write("gin.svc\r\nReq-Id: half\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\n\r\n");
  for (const auto& client : {in_flight, queued, partial}) {
    EXPECT_EQ(Status(*client), "200");
    EXPECT_NE(client->received.find("Connection: close\r\n"), std::string::npos);
  }
  EXPECT_NE(in_flight->received.find("\r\n\r\nlast"), std::string::npos);
  for (const auto& client : {in_flight, queued, partial}) client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return finished; }));
}

// The sidecar closes a connection after a response while unread input is left. A plain close would reset the
// connection, and the client would lose the response. The requests behind it are not forwarded.
TEST_F(RaceTest, AFinalResponseIsDeliveredDespiteUnreadInput) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto client = std::make_shared<Peer>(Tcp::socket(io));
  client->socket.connect(sidecar->address());
  std::string text = Get("r1");
  for (int i = 0; i < 600; ++i) text += Get("behind" + std::to_string(i));
  client->Write(text);
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  bool finished = false;
  sidecar->Drain([&] { finished = true; });
  server.peers[0]->Write(Reply("200 OK", "whole"));
  ASSERT_TRUE(RunUntil(io, [&] { return finished; }));
  sidecar.reset();  // as if the process had exited
  std::string received;
  ErrorCode how;
  for (std::array<char, 4096> piece{}; !how;) {
    const std::size_t n = client->socket.read_some(asio::buffer(piece), how);
    received.append(piece.data(), n);
  }
  EXPECT_EQ(how, asio::error::eof);
  EXPECT_EQ(received.substr(9, 3), "200");
  EXPECT_NE(received.find("\r\n\r\nwhole"), std::string::npos);
  EXPECT_EQ(server.requests(), 1);
}

// No request is in progress when idle connections are closed, so the drain waits for the last connection. A
// long request that arrives on it has no deadline until its last byte. Guards against holding it until the
// process is killed.
TEST_F(RaceTest, ALongRequestThatArrivesLateInTheDrainIsAnswered) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)}, [](nlohmann::json& json) {
    for (auto& grade : json["settings"]["grades"]) grade["hard_limit_us"] = 1'000'000;
  });
  const auto idle = Client("");
  const auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: po");
  io.restart();
  while (io.poll() > 0) {  // both are accepted, and a partial head is read
  }
  bool finished = false;
  sidecar->Drain([&] { finished = true; });
  ASSERT_TRUE(RunUntil(io, [&] { return idle->ended; }));
  client->Write("rt\r\nContent-Length: 300000\r\n\r\n" + std::string(90'000, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  EXPECT_EQ(Status(*client), "502");
  client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return finished; }));
}

}  // namespace
}  // namespace violetwing::sidecar
