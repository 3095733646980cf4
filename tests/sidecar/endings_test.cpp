// What is still owed at the instant in which something ends. Each test holds a byte, a FIN, a reset or an
// accept back until the sidecar has reached a known state, and lets go then: the bad order happens each time.
// docs/endings.md lists the ends and which test forces which.
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

class EndingsTest : public SidecarTest {
 protected:
  // 64 descriptors leave room for so many clients' connections (docs/operations.md).
  static constexpr int kPlaces = 11;
  static void FewDescriptors(nlohmann::json& json) { json["limits"]["sockets"] = 64; }

  // Fills all places but `free` with requests that the silent server holds.
  void Fill(ScriptedServer& server, int free) {
    for (int i = 0; i < kPlaces - free; ++i) {
      held.push_back(Client(Get("held" + std::to_string(i))));
      ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == i + 1; }));
    }
  }

  std::vector<std::shared_ptr<Peer>> held;
};

// One that was asked for its place as its request came keeps it, and the next idle one is asked instead. As
// it still looked idle it was asked once more, with nothing of it being read, and barred all others.
TEST_F(EndingsTest, OneThatKeepsItsPlaceBarsNoOtherFromBeingAsked) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address), Entry("s2", server.address)}, FewDescriptors);
  Fill(server, 0);  // the last one was asked as it came
  server.peers[0]->Write(Reply("200 OK", "ok"));
  ASSERT_EQ(Status(*held[0]), "200");  // it is idle
  held[1]->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return server.peers[1]->ended; }));
  const auto next = Client(Get("next"));  // has the place that is free, and the last one again
  const auto waiting = Client(Get("waiting"));
  EXPECT_TRUE(RunUntil(io, [&] { return server.requests() == kPlaces + 2; }));
  EXPECT_TRUE(held[0]->ended);
}

// All places are at work and a client waits for one: it has that of the first that becomes idle.
TEST_F(EndingsTest, AClientGetsThePlaceOfOneThatBecomesIdle) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address), Entry("s2", server.address)}, FewDescriptors);
  Fill(server, 0);
  const auto waiting = Client(Get("waiting"));
  server.peers[0]->Write(Reply("200 OK", "ok"));  // and its connection is kept
  EXPECT_TRUE(RunUntil(io, [&] { return server.requests() == kPlaces + 1; }));
  EXPECT_FALSE(waiting->ended);
}

// The last place goes to a connection whose request was read in the instant of its accept. As its handler had
// not run it looked idle, and was closed for the place.
TEST_F(EndingsTest, ARequestReadWithItsAcceptIsNotClosedForItsPlace) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address), Entry("s2", server.address)}, FewDescriptors);
  Fill(server, 1);
  const auto last = Client(Get("last"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == kPlaces || last->ended; }));
  EXPECT_EQ(server.requests(), kPlaces);
  EXPECT_FALSE(last->ended);
}

// Two at the end of a drain: one is closed unless a request came, and one was read but has not been handled.
TEST_F(EndingsTest, ARequestReadAsIdleConnectionsAreClosedIsServed) {
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
  inbound.StopAccepting();  // takes both, and reads what the second has sent
  inbound.CloseIdle();
  EXPECT_EQ(Status(*asking), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return idle->ended; }));
  EXPECT_EQ(idle->received, "");
  EXPECT_EQ(taken, std::vector<std::string>{"r1"});
}

// No descriptor can be had from here to the end of its scope, but those that others give back.
class NoMoreDescriptors {
 public:
  NoMoreDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest = ::dup(STDERR_FILENO);
    ::close(lowest);
    rlimit now = before_;
    now.rlim_cur = static_cast<rlim_t>(lowest);
    ::setrlimit(RLIMIT_NOFILE, &now);
  }
  ~NoMoreDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  NoMoreDescriptors(const NoMoreDescriptors&) = delete;
  NoMoreDescriptors& operator=(const NoMoreDescriptors&) = delete;

 private:
  rlimit before_{};
};

// Clients wait in the listener's queue when it is to close, and no descriptor is left to accept them with.
// First with descriptors enough: the sanitizer of types takes some of its own for each type that it meets
// first.
TEST_F(EndingsTest, WhoWaitsAsTheListenerClosesIsTakenAsDescriptorsComeFree) {
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
    std::optional<NoMoreDescriptors> none;
    if (!enough) none.emplace();
    inbound.StopAccepting();
    for (const auto& client : waiting) EXPECT_EQ(Status(*client), "200");
    EXPECT_EQ(idle->ended, !enough);  // its place was needed
    inbound.CloseIdle();
    EXPECT_TRUE(RunUntil(io, [&] { return !inbound.holds_connections(); }));
  }
}

// Many clients wait for a descriptor: each gets the one that the client before it has no more use for, as
// soon as that one has its answer. Accepting rested 50 ms for each instead, and most had given up by then.
TEST_F(EndingsTest, ADescriptorThatComesFreeIsTheNextClientsAtOnce) {
  constexpr int kClients = 60;
  constexpr auto kMostTime = 500ms;  // they took 6 s
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
    std::optional<NoMoreDescriptors> none;
    if (!enough) none.emplace();
    const auto begin = std::chrono::steady_clock::now();
    for (const auto& client : waiting) client->Write(Get("r1"));
    for (const auto& client : waiting) EXPECT_EQ(Status(*client), "200");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kMostTime);
    inbound.CloseListener();
    inbound.CloseIdle();
    EXPECT_TRUE(RunUntil(io, [&] { return !inbound.holds_connections(); }));
  }
}

// Who connects has 2.5 s for a request (kMostReading), whatever it sends of it.
constexpr auto kTimeToSend = 2500ms;

// The deadline's handler is in the queue behind the one that reads the request's last byte.
TEST_F(EndingsTest, ARequestWhoseLastByteComesWithItsDeadlineIsAnswered) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  const std::string text = Get("r1");
  for (const std::size_t early : {std::size_t{0}, text.size() / 2}) {
    const auto begin = std::chrono::steady_clock::now();
    const auto client = Client(text.substr(0, early));
    RunUntil(io, [&] { return std::chrono::steady_clock::now() > begin + kTimeToSend - 300ms; });
    asio::post(io, [&] {
      HoldUntil(begin + kTimeToSend + 100ms);
      client->Write(text.substr(early));
    });
    const std::string status = Status(*client);
    EXPECT_TRUE(status == "200" || (early > 0 && status == "408")) << early << " '" << status << "'";
  }
}

// An end of what it sends cannot be told from a close: it has left, and its attempt ends.
TEST_F(EndingsTest, AClientThatHalfClosesHasLeft) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  client->socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0 && client->ended; }));
  EXPECT_EQ(client->received, "");
}

// A client's connection waits in the listener's queue, and it leaves there: its request and its close are
// read one after the other. Its request was sent on between the two, however long ago it had left.
TEST_F(EndingsTest, AClientThatLeavesInTheListenersQueueIsNotSentOnFor) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  ASSERT_EQ(Ask(Get("r1")), "200");  // its server's connection is kept, so that the next is written at once
  Client(Get("r2"))->Close();
  EXPECT_EQ(Ask(Get("r3")), "200");
  EXPECT_EQ(server.requests(), 2);
}

// A long body is not read on while its request waits for another try, and its client's close lies behind it.
TEST_F(EndingsTest, AClientThatLeavesBehindALongBodyIsNotSentOnFor) {
  ScriptedServer server(
      io, [](Peer& peer) { peer.Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")); });
  Start({Entry("s1", server.address)});
  const std::string head =
      "POST /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\nContent-Length: "
      "300000\r\n\r\n";
  const auto client = Client(head + std::string(90'000, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  Tell(List(2, false, {Entry("s1", server.address, "draining")}));  // it waits, and nobody can be tried
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(Figure("downstream_requests.look.rejected"), "0");  // it was not held until its waits were over
  EXPECT_EQ(Figure("downstream_requests.look.failed"), "0");
}

// Nothing is read either of a client that has sent more requests than are held for it.
class LeavingTest : public EndingsTest, public ::testing::WithParamInterface<bool> {};

TEST_P(LeavingTest, AClientThatLeavesBehindManyRequestsIsNotSentOnFor) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  std::string text;
  for (int i = 0; i < 600; ++i) text += Get("r" + std::to_string(i));
  const auto client = std::make_shared<Peer>(Tcp::socket(io));
  client->socket.connect(sidecar->address());
  client->Write(text);
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  io.restart();
  while (io.poll() > 0) {  // what is read of it is read; the rest waits
  }
  GetParam() ? client->Reset() : client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
  EXPECT_EQ(server.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(ByReset, LeavingTest, ::testing::Bool());

// A listener whose queue is full: who connects gets no word until it is opened, and then within a second or
// so.
class LateServer {
 public:
  explicit LateServer(asio::io_context& io) : acceptor_(io, Tcp::v4()) {
    acceptor_.bind(Loopback());
    acceptor_.listen(0);
    // How many a queue of none holds is the system's to say.
    for (bool up = true; up && fillers_.size() < 16;) {
      Tcp::socket& filler = fillers_.emplace_back(io, Tcp::v4());
      filler.native_non_blocking(true);
      const Tcp::endpoint to = acceptor_.local_endpoint();
      ::connect(filler.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
      pollfd one{filler.native_handle(), POLLOUT, 0};
      up = ::poll(&one, 1, 50) > 0;
    }
  }
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void Open() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->Read();
      Open();
    });
  }
  // Makes room without the loop, until the connection that waits for it has come up.
  void AwaitOne() {
    fillers_.clear();
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
  std::list<Tcp::socket> fillers_;
};

void LongDials(nlohmann::json& json) { json["settings"]["allowed"]["dial_timeout_us"] = 10'000'000; }

// Whether attempts may be called off or not: one of which nothing is written has not begun.
class DialTest : public EndingsTest, public ::testing::WithParamInterface<bool> {};

TEST_P(DialTest, WritesNothingForAClientThatHasLeft) {
  LateServer server(io);
  Start({Entry("s1", server.address())}, [](nlohmann::json& json) {
    LongDials(json);
    json["settings"]["allowed"]["cancel"] = GetParam();
  });
  const auto client = Client(Post("port", "r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("pending") == "0"; }));  // it knows
  ASSERT_EQ(Figure("upstream_requests"), "0") << "the dial was to wait";
  server.Open();
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 0 || server.requests() > 0; }));
  EXPECT_EQ(server.requests(), 0);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(MayCancel, DialTest, ::testing::Bool());

// What a server is told counts from the moment in which it is written, not in which it was decided.
TEST_F(EndingsTest, AfterALateDialTheServerIsToldWhatIsLeft) {
  LateServer server(io);
  Start({Entry("s1", server.address())}, LongDials);
  const auto begin = std::chrono::steady_clock::now();
  const auto client = Client(Post("port", "r1"));  // 5 s
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  ASSERT_TRUE(RunUntil(io, [&] { return std::chrono::steady_clock::now() > begin + 400ms; }));
  ASSERT_EQ(Figure("upstream_requests"), "0") << "the dial was to wait";
  server.Open();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  const std::string& sent = server.peers.back()->received;
  const std::size_t at = sent.find("Req-Deadline: ");
  ASSERT_NE(at, std::string::npos) << sent;
  EXPECT_LT(std::stod(sent.substr(at + 14)), 4.6);
}

// A request that came behind another one waits for that one's end, and its time has run since it came.
TEST_F(EndingsTest, ARequestBehindOneThatTimesOutHasWhatIsLeftOfItsTime) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto begin = std::chrono::steady_clock::now();
  const auto client = Client(Post("port", "r1", "0.6") + Post("port", "r2", "3.0"));
  EXPECT_EQ(Status(*client), "502");  // a fifth at most is kept for the answer: not before 0.48 s
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  const std::string& sent = server.peers.back()->received;
  const std::size_t at = sent.find("Req-Deadline: ", sent.find("Req-Id: r2"));
  ASSERT_NE(at, std::string::npos) << sent;
  EXPECT_LT(std::stod(sent.substr(at + 14)), 3.0 - 0.48);
  EXPECT_EQ(Status(*client, 2), "502");
  EXPECT_GT(std::chrono::steady_clock::now(), begin + 2400ms);  // no less than it had either
}

// ---- The list ----

// A process that stands still finds what came meanwhile in the order in which it came: a request, or the end
// of a dial, in front of the list that tells of its server's end. Half of the grace is over when it goes on.
class StoodStillTest : public EndingsTest {
 protected:
  static constexpr auto kStood = 250ms;  // of 500 ms (ConfigJson)

  void StandStillAndHear(const std::string& id, const Tcp::endpoint& drains, const Tcp::endpoint& comes) {
    Tell(List(2, false, {Entry(id, drains, "draining"), Entry("comes", comes)}));
    HoldUntil(std::chrono::steady_clock::now() + kStood);
  }
};

TEST_F(StoodStillTest, AListGoesBeforeTheRequestsInFrontOfIt) {
  ScriptedServer server(io, Serves("drains"));
  ScriptedServer other(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  const auto client = Client(Get("r1"));
  ASSERT_EQ(Status(*client), "200");
  client->Write(Get("r2"));
  StandStillAndHear("s1", server.address, other.address);
  EXPECT_EQ(Status(*client, 2), "200");
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(other.requests(), 1);
}

TEST_F(StoodStillTest, AListGoesBeforeTheDialThatCameUpInFrontOfIt) {
  LateServer server(io);
  ScriptedServer other(io, Serves("ok"));
  Start({Entry("s1", server.address())}, LongDials);
  const auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->upstream_connections() == 1; }));
  server.AwaitOne();
  StandStillAndHear("s1", server.address(), other.address);
  server.Open();
  EXPECT_EQ(Status(*client), "200");
  EXPECT_EQ(server.requests(), 0);
}

// ---- SIGTERM ----

TEST_F(EndingsTest, WhatComesInTheTurnOfTheDrainIsServed) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto asked = Client(Get("asked"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  const auto half = Client("GET /api?obj=k1 HTTP/1.1\r\nHost: ori");
  io.restart();
  while (io.poll() > 0) {  // half a line is read
  }
  const auto comes = Client(Get("comes"));            // connected and written, not accepted
  server.peers[0]->Write("HTTP/1.1 200 OK\r\nCont");  // an answer's first bytes, not read
  bool finished = false;
  sidecar->Drain([&] { finished = true; });
  server.on_data = Serves("ok");
  server.peers[0]->Write("ent-Length: 4\r\n\r\nlast");
  half->Write("gin.svc\r\nReq-Id: half\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\n\r\n");
  for (const auto& client : {asked, comes, half}) {
    EXPECT_EQ(Status(*client), "200");
    EXPECT_NE(client->received.find("Connection: close\r\n"), std::string::npos);
  }
  EXPECT_NE(asked->received.find("\r\n\r\nlast"), std::string::npos);
  for (const auto& client : {asked, comes, half}) client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return finished; }));
}

// A client that does not read yet has sent more than is read when its answer closes the connection: a close
// over unread bytes would reset it, and take the answer along. What came behind is not sent on.
TEST_F(EndingsTest, AnAnswerThatClosesItsConnectionArrivesBeforeUnreadBytes) {
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
  sidecar.reset();  // its process is gone
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

// Nothing is held when idle connections are closed, so the drain waits for the last connection to go. A
// long request that comes on it then has no deadline until its last byte, and was held past the kill.
TEST_F(EndingsTest, ALongRequestThatComesLateInTheDrainIsAnswered) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)}, [](nlohmann::json& json) {
    for (auto& grade : json["settings"]["grades"]) grade["hard_limit_us"] = 1'000'000;
  });
  const auto idle = Client("");
  const auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: po");
  io.restart();
  while (io.poll() > 0) {  // both are accepted, and half a head is read
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
