// Tests a complete sidecar between scripted clients, servers and discovery.
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "sidecar/sidecar_fixture.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

TEST_F(SidecarTest, IsReadyOnceServerIsKnown) {
  ScriptedServer server(io, Serves("ok"));
  Start(std::vector<nlohmann::json>());
  EXPECT_EQ(Ask("GET /ready HTTP/1.1\r\n\r\n"), "503");
  Tell(List(2, true, {Entry("s1", server.address)}));
  ASSERT_TRUE(RunUntil(io, [&] { return Ask("GET /ready HTTP/1.1\r\n\r\n") == "200"; }));
  EXPECT_EQ(Ask(Get("r1")), "200");
}

TEST_F(SidecarTest, ForwardsRequestAndResponse) {
  ScriptedServer server(io, Serves("the body"));
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1", "Connection: keep-alive\r\nTE: trailers\r\n"));
  EXPECT_EQ(Status(*client), "200");
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.find("the body") != std::string::npos; }));
  const std::string& sent = server.peers[0]->received;
  EXPECT_EQ(sent.rfind("GET /api?obj=k1 HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(sent.find("Req-Id: r1\r\n"), std::string::npos);
  // The time left, less the response margin.
  EXPECT_NE(sent.find("Req-Deadline: 4.9"), std::string::npos) << sent;
  EXPECT_EQ(sent.find("TE: "), std::string::npos);
  client->Write(Get("r2"));
  EXPECT_EQ(Status(*client, 2), "200");
  EXPECT_EQ(sidecar->requests_held(), 0U);
}

TEST_F(SidecarTest, AnswersPipelinedRequestsInOrder) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  auto client = Client(Post("pay", "r1") + Get("r2") + Get("r3"));
  EXPECT_EQ(Status(*client, 3), "200");
  EXPECT_EQ(server.requests(), 3);
}

TEST_F(SidecarTest, RejectsMalformedAndTooLargeRequests) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  const std::pair<std::string, std::string> cases[] = {
      {"nonsense\r\n\r\n", "400"},
      {"GET /api HTTP/1.1\r\nno colon\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n" + std::string(70000, 'x'), "413"},
      {"POST /api HTTP/1.1\r\nContent-Length: 40000000\r\n\r\nits first bytes", "413"},
      {"POST /api HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n" + Get("smuggled"), "413"},
      {"POST /api HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + std::string(90000, 'x'), "400"},  // no Req-Id
      {"POST /api HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody", "400"},
      {"POST /api HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nbody", "400"},
      {"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;" + std::string(90000, 'e'), "400"},
      {"POST /api HTTP/1.1\r\nExpect: miracles\r\nContent-Length: 4\r\n\r\n", "417"},
      {"GET /api HTTP/1.1\r\nX: " + std::string(30000, 'x') + "\r\n\r\n", "431"}};
  for (const auto& [text, status] : cases) {
    auto client = Client(text);
    EXPECT_EQ(Status(*client), status) << text.substr(0, 40);
    EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }))
        << "connection left open: " << text.substr(0, 40);
  }
  EXPECT_EQ(Ask("GET /api HTTP/1.1\r\nReq-Kind: look\r\n\r\n"), "400");
  EXPECT_EQ(Ask("GET /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: other\r\n\r\n"), "404");
  EXPECT_EQ(Ask("GET /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\nReq-Deadline: soon\r\n\r\n"), "400");
  EXPECT_EQ(server.requests(), 0);
  EXPECT_EQ(Ask(Get("r2")), "200");
}

// A body without repetitions, so that misplaced data is noticed, and without an empty line.
std::string LongBody(std::size_t size) {
  std::string text;
  while (text.size() < size) text += std::to_string(text.size()) + ",";
  text.resize(size);
  return text;
}

std::string BodyOf(const std::string& message) {
  const std::size_t at = message.find("\r\n\r\n");
  return at == std::string::npos ? "" : message.substr(at + 4);
}

// Decodes a chunked body; empty if it is incomplete.
std::string DecodeChunked(const std::string& body) {
  std::string out;
  for (std::size_t at = 0;;) {
    const std::size_t end = body.find("\r\n", at);
    if (end == std::string::npos) return "";
    const std::size_t size = std::stoul(body.substr(at, end - at), nullptr, 16);
    if (size == 0) return out;
    out += body.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
}

std::string PostLong(const std::string& kind, const std::string& id, std::size_t length) {
  return "POST /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
         "\r\nReq-Deadline: 5.0\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

TEST_F(SidecarTest, ForwardsLongBodiesUnchanged) {
  const std::string up = LongBody(3'000'000);
  const std::string down = LongBody(2'500'000);
  bool chunked = false;
  ScriptedServer server(io, [&](Peer& peer) {
    if (BodyOf(peer.received).size() < up.size()) return;
    const bool whole =
        chunked ? peer.received.size() > 5 && peer.received.substr(peer.received.size() - 5) == "0\r\n\r\n"
                : BodyOf(peer.received).size() == up.size();
    if (!whole) return;
    std::string reply = Reply("200 OK", down);
    if (chunked) {
      char size[16];
      std::snprintf(size, sizeof size, "%zx", down.size());
      reply = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + size + "\r\n" + down +
              "\r\n0\r\n\r\n";
    }
    auto text = std::make_shared<std::string>(std::move(reply));
    asio::async_write(peer.socket, asio::buffer(*text), [text](ErrorCode, std::size_t) {});
  });
  Start({Entry("s1", server.address)});
  const auto send = [&](const std::string& text) {
    auto client = Connect(io, sidecar->address());
    auto buffer = std::make_shared<std::string>(text);
    asio::async_write(client->socket, asio::buffer(*buffer), [buffer](ErrorCode, std::size_t) {});
    return client;
  };
  auto client = send(PostLong("port", "r1", up.size()) + up);
  ASSERT_TRUE(RunUntil(io, [&] { return BodyOf(client->received).size() >= down.size(); }));
  EXPECT_EQ(client->received.substr(9, 3), "200");
  EXPECT_TRUE(BodyOf(client->received) == down);
  EXPECT_TRUE(BodyOf(server.peers[0]->received) == up);
  ASSERT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));

  chunked = true;
  server.peers[0]->received.clear();
  std::string pieces =
      "POST /api HTTP/1.1\r\nReq-Id: r2\r\nReq-Kind: port\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < up.size(); at += 100'000)
    pieces += "186a0;with=extension\r\n" + up.substr(at, 100'000) + "\r\n";
  client = send(pieces + "0\r\nTrailing: field\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.find("\r\n0\r\n\r\n") != std::string::npos; }));
  EXPECT_TRUE(DecodeChunked(BodyOf(client->received)) == down);
  std::string received;
  for (const auto& peer : server.peers) received += peer->received;
  EXPECT_TRUE(DecodeChunked(BodyOf(received)) == up);
  EXPECT_EQ(received.find("Trailing"), std::string::npos);
}

TEST_F(SidecarTest, StreamsLongResponseAndReportsTruncation) {
  const std::string half = LongBody(100'000);
  ScriptedServer server(
      io, [&](Peer& peer) { peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half); });
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return BodyOf(client->received).size() == half.size(); }));
  EXPECT_NE(client->received.find("Content-Length: 200000\r\n"), std::string::npos);
  EXPECT_EQ(Figure("pending"), "1");
  server.peers[0]->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  EXPECT_TRUE(BodyOf(client->received) == half);
  EXPECT_EQ(server.requests(), 1);  // no retry after the response has started
  EXPECT_EQ(Figure("downstream_requests.look.failed"), "1");
  EXPECT_EQ(Figure("pending"), "0");
}

TEST_F(SidecarTest, StreamsResponseOfUnknownLength) {
  ScriptedServer server(io, [&](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  });
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.find("first") != std::string::npos; }));
  server.peers[0]->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
  // Without the last chunk the client can tell that the body is truncated.
  EXPECT_EQ(client->received.find("\r\n0\r\n"), std::string::npos);
}

TEST_F(SidecarTest, SlowClientCausesBackpressureUntilItDisconnects) {
  constexpr std::size_t kSize = 32'000'000;
  std::size_t sent = 0;
  const std::string piece(64'000, 'x');
  std::function<void(Peer&)> pump = [&](Peer& peer) {
    if (sent >= kSize) return;
    asio::async_write(peer.socket, asio::buffer(piece),
                      [&, self = peer.shared_from_this()](ErrorCode error, std::size_t n) {
                        sent += n;
                        if (!error) pump(*self);
                      });
  };
  ScriptedServer server(io, [&](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n");
    pump(peer);
  });
  Start({Entry("s1", server.address)});
  auto client = std::make_shared<Peer>(Tcp::socket(io));
  client->socket.connect(sidecar->address());
  client->Write(Get("r1"));  // the client does not read
  std::size_t before = 1;
  ASSERT_TRUE(RunUntil(io, [&] {  // until the kernel's buffers are full
    RunFor(io, 100ms);
    return before == std::exchange(before, sent);
  }));
  EXPECT_LT(sent, kSize);
  client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
}

TEST_F(SidecarTest, DoesNotRetryPartlyDiscardedBody) {
  int n = 0;
  const auto reset_late = [&](Peer& peer) {
    if (peer.received.size() > 150'000 && n++ == 0) peer.Reset();
  };
  ScriptedServer one(io, reset_late);
  ScriptedServer two(io, reset_late);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  auto client = Client(PostLong("pay", "r1", 300'000) + LongBody(200'000));
  const std::string status = Status(*client);  // rejected or failed, as the body never arrived completely
  EXPECT_TRUE(status == "503" || status == "502") << status;
  EXPECT_EQ(one.requests() + two.requests(), 1);
}

TEST_F(SidecarTest, RetriesBufferedBody) {
  int n = 0;
  const auto decline_first = [&](Peer& peer) {
    if (BodyOf(peer.received).size() < 65536) return;
    peer.Write(n++ == 0 ? Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")
                        : Reply("200 OK", "ok"));
  };
  ScriptedServer one(io, decline_first);
  ScriptedServer two(io, decline_first);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  const std::string body = LongBody(65536);
  EXPECT_EQ(Ask(PostLong("port", "r1", body.size()) + body), "200");
  EXPECT_TRUE(BodyOf(one.peers[0]->received) == body);
  EXPECT_TRUE(BodyOf(two.peers[0]->received) == body);
}

TEST_F(SidecarTest, SupportsHttpVariants) {
  std::string last;
  ScriptedServer server(io, [&](Peer& peer) {
    last = std::exchange(peer.received, {});
    if (last.rfind("HEAD", 0) == 0) return peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
    peer.Write("HTTP/1.1 100 Continue\r\n\r\n" + Reply("200 OK", "ok"));
  });
  Start({Entry("s1", server.address)});
  auto client = Client("HEAD /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\n\r\n" + Get("r2"));
  EXPECT_EQ(Status(*client, 2), "200");  // no body after the response to HEAD
  EXPECT_NE(client->received.find("Content-Length: 100\r\n"), std::string::npos);
  // Written one byte at a time, with a chunk extension and a trailer.
  const std::string text =
      "POST /api HTTP/1.1\r\nReq-Id: r3\r\nReq-Kind: port\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;a=b\r\nhello\r\n0\r\nT: 1\r\n\r\n";
  client = Connect(io, sidecar->address());
  for (const char c : text) {
    client->Write(std::string(1, c));
    io.poll();
  }
  EXPECT_EQ(Status(*client), "200");
  EXPECT_NE(last.find("Content-Length: 5\r\n"), std::string::npos);
  EXPECT_NE(last.find("\r\n\r\nhello"), std::string::npos);
  client = Client(
      "POST /api HTTP/1.1\r\nReq-Id: r4\r\nReq-Kind: port\r\nExpect: 100-continue\r\nContent-Length: "
      "4\r\n\r\n");
  EXPECT_EQ(Status(*client), "100");
  client->Write("body");
  EXPECT_EQ(Status(*client, 2), "200");
  client = Client("GET /api HTTP/1.0\r\nReq-Id: r5\r\nReq-Kind: look\r\n\r\n");
  EXPECT_EQ(Status(*client), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }));
}

TEST_F(SidecarTest, DoesNotRetryUnsafeRequestThatMayHaveRun) {
  const auto reset = [](Peer& peer) { peer.Reset(); };
  ScriptedServer one(io, reset);
  ScriptedServer two(io, reset);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  EXPECT_EQ(Ask(Post("port", "r1")), "502");
  RunFor(io, 300ms);
  EXPECT_EQ(one.requests() + two.requests(), 1);
}

TEST_F(SidecarTest, RetriesDeclinedUnsafeRequestOnOtherServer) {
  int seen = 0;
  const auto decline_first = [&](Peer& peer) {
    peer.Write(seen++ == 0 ? Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")
                           : Reply("200 OK", "ok"));
  };
  ScriptedServer one(io, decline_first);
  ScriptedServer two(io, decline_first);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  EXPECT_EQ(Ask(Post("port", "r1")), "200");
  EXPECT_EQ(one.requests(), 1);
  EXPECT_EQ(two.requests(), 1);
}

TEST_F(SidecarTest, SilentServerTimesOutWithinClientDeadline) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(Ask(Post("port", "r1", "0.6")), "502");
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 600ms);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }))
      << "the connection of the attempt is still open";
  EXPECT_EQ(sidecar->requests_held(), 0U);
}

TEST_F(SidecarTest, ClientDisconnectCancelsAttempt) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->requests_held() == 0; }));
}

TEST_F(SidecarTest, DoesNotForwardTruncatedBufferedResponse) {
  int seen = 0;
  ScriptedServer server(io, [&](Peer& peer) {
    if (seen++ > 0) return peer.Write(Reply("200 OK", "whole"));
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
    peer.Close();
  });
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  EXPECT_EQ(Status(*client), "200");  // GET is safe to retry, so the module sends it again
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.find("whole") != std::string::npos; }));
  EXPECT_EQ(client->received.find("short"), std::string::npos);
}

TEST_F(SidecarTest, RejectsWithRetryAfterWhenNoServerIsReachable) {
  ScriptedServer server(io);
  server.StopListening();
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  EXPECT_EQ(Status(*client), "503");
  EXPECT_NE(client->received.find("Retry-After: "), std::string::npos);
}

TEST_F(SidecarTest, SendsNothingToDrainingServer) {
  ScriptedServer one(io, Serves("one"));
  ScriptedServer two(io, Serves("two"));
  Start({Entry("s1", one.address)});
  EXPECT_EQ(Ask(Get("r1")), "200");
  Tell(List(2, false, {Entry("s1", one.address, "draining"), Entry("s2", two.address)}));
  ASSERT_TRUE(RunUntil(io, [&] { return one.peers[0]->ended; }));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(Ask(Get("d" + std::to_string(i))), "200");
  EXPECT_EQ(one.requests(), 1);
  EXPECT_EQ(two.requests(), 5);
}

TEST_F(SidecarTest, BanSurvivesListsAndRestartUntilEnabled) {
  ScriptedServer one(io, Serves("one"));
  ScriptedServer two(io, Serves("two"));
  const std::vector<nlohmann::json> both = {Entry("s1", one.address), Entry("s2", two.address)};
  std::ofstream(directory + "/fennelhollow-ban-xx") << "foreign";
  Start(both);
  int n = 0;
  const auto ask = [&] { EXPECT_EQ(Ask(Get("q" + std::to_string(n++))), "200"); };
  for (int i = 0; i < 20; ++i) ask();
  const int before = one.requests();
  EXPECT_GT(before, 0);
  EXPECT_EQ(CallStatus("disable", "s1"), "200");
  EXPECT_EQ(CallStatus("disable", "s1"), "200");
  EXPECT_EQ(CallStatus("disable", "s7"), "404");
  EXPECT_TRUE(RunUntil(io, [&] { return one.peers[0]->ended; }));  // its idle connections are closed
  EXPECT_EQ(Figure("members"), "2");
  EXPECT_EQ(Figure("members_unavailable"), "1");
  for (int i = 0; i < 20; ++i) ask();
  Tell(List(2, true, {both[1]}));
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("members") == "1"; }));
  Tell(List(3, true, {Entry("s1", one.address, "up", 1000), both[1]}));
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("members") == "2"; }));
  for (int i = 0; i < 20; ++i) ask();
  const auto old = std::move(sidecar);
  watching = nullptr;
  Start(both);  // runs next to the old process, as in an upgrade
  for (int i = 0; i < 20; ++i) ask();
  EXPECT_EQ(one.requests(), before);
  EXPECT_EQ(CallStatus("enable", "s1"), "200");
  for (int i = 0; i < 20; ++i) ask();
  EXPECT_GT(one.requests(), before);
  EXPECT_EQ(CallStatus("enable", "s1"), "200");
}

TEST_F(SidecarTest, FollowsBansOfOtherProcess) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  DisabledServers other(directory);
  EXPECT_TRUE(other.Add("s1"));
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("members_unavailable") == "1"; }));
  auto client = Client(Get("r1"));
  EXPECT_EQ(Status(*client), "503");
  EXPECT_NE(client->received.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(other.Remove("s1"));
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("members_unavailable") == "0"; }));
  EXPECT_EQ(Ask(Get("r2")), "200");
}

TEST_F(SidecarTest, DisableFailsIfBanCannotBeStored) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  std::filesystem::remove_all(directory);
  EXPECT_EQ(CallStatus("disable", "s1"), "500");
  EXPECT_EQ(Ask(Get("r1")), "200");
}

TEST_F(SidecarTest, MetricsAreConsistent) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  EXPECT_EQ(Figure("downstream_requests.port.failed"), "0");
  EXPECT_EQ(Ask(Get("r1")), "200");
  EXPECT_EQ(Ask(Get("r2")), "200");
  server.on_data = [](Peer& peer) { peer.Write(Reply("500 Internal Server Error", "")); };
  EXPECT_EQ(Ask(Post("port", "r3")), "502");
  server.on_data = {};
  auto held = Client(Post("pay", "r4"));
  auto leaves = Client(Get("r5"));
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("upstream_requests") == "5"; }));
  EXPECT_EQ(Figure("pending"), "2");
  leaves->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return Figure("pending") == "1"; }));
  EXPECT_EQ(CallStatus("disable", "s1"), "200");
  EXPECT_EQ(Ask(Get("r6")), "503");
  EXPECT_EQ(Figure("downstream_requests.look.completed"), "2");
  EXPECT_EQ(Figure("downstream_requests.look.rejected"), "1");
  EXPECT_EQ(Figure("downstream_requests.look.failed"), "0");
  EXPECT_EQ(Figure("downstream_requests.port.failed"), "1");
  EXPECT_EQ(Figure("downstream_requests.pay.completed"), "0");
  EXPECT_EQ(Figure("pending"), "1");
}

TEST_F(SidecarTest, RejectsRequestIdInUse) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto first = Client(Post("port", "r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  EXPECT_EQ(Ask(Post("port", "r1")), "409");
  EXPECT_EQ(server.requests(), 1);
  server.peers[0]->Write(Reply("200 OK", "ok"));
  EXPECT_EQ(Status(*first), "200");
}

TEST_F(SidecarTest, ClosesIdleClientConnectionsForNewClients) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)}, [](nlohmann::json& json) { json["limits"]["sockets"] = 64; });
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < 60; ++i) {  // three times the number of clients for which 64 descriptors suffice
    clients.push_back(Client(Get("r" + std::to_string(i))));
    EXPECT_EQ(Status(*clients.back()), "200") << i;
  }
  EXPECT_TRUE(clients.front()->ended);
  EXPECT_FALSE(clients.back()->ended);
}

// Guards against idle or stalled peers that use up the connections for clients, so that these cannot connect.
TEST_F(SidecarTest, ClosesConnectionsWithoutCompleteRequest) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)}, [](nlohmann::json& json) { json["limits"]["sockets"] = 64; });
  auto client = Client(Get("r1"));
  EXPECT_EQ(Status(*client), "200");
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 30; ++i) peers.push_back(Client(i % 2 == 0 ? "" : "POST /api HTTP/1.1\r\nReq-"));
  ASSERT_TRUE(RunUntil(io, [&] {
    return std::all_of(peers.begin(), peers.end(), [](const auto& peer) { return peer->ended; });
  }));
  EXPECT_EQ(peers[0]->received, "");
  EXPECT_EQ(Status(*peers[1]), "408");
  client = Client(Get("r2"));
  EXPECT_EQ(Status(*client), "200");
  client->Write("GET /api HTTP/1.1\r\n");  // a later request that is incomplete
  EXPECT_EQ(Status(*client, 2), "408");
  EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }));
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(SidecarTest, DrainAcceptsLateRequestsAndFinishesPendingOnes) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto idle = Connect(io, sidecar->address());
  auto held = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  bool finished = false;
  sidecar->Drain([&] { finished = true; });
  RunFor(io, 200ms);
  auto late = Client(Get("r2"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  RunFor(io, 800ms);
  EXPECT_FALSE(finished);
  EXPECT_TRUE(idle->ended);
  for (auto& peer : server.peers) peer->Write(Reply("200 OK", "ok"));
  for (const auto& client : {held, late}) {
    EXPECT_EQ(Status(*client), "200");
    EXPECT_NE(client->received.find("Connection: close\r\n"), std::string::npos);
    ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
    client->Close();
  }
  EXPECT_TRUE(RunUntil(io, [&] { return finished; }));
}

// The module rejects the request from a timer when its time to wait for a server is over, not as a reaction
// to the result of an attempt. Such a request was never erased, and a drain did not finish.
TEST_F(SidecarTest, ErasesRequestRejectedByTimer) {
  ScriptedServer server(
      io, [](Peer& peer) { peer.Write(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")); });
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  Tell(List(2, false, {Entry("s1", server.address, "draining")}));
  EXPECT_EQ(Status(*client), "503");
  EXPECT_TRUE(RunUntil(
      io, [&] { return sidecar->requests_held() == 0; }, 2s));
  bool finished = false;
  sidecar->Drain([&] { finished = true; });
  client->Close();
  EXPECT_TRUE(RunUntil(
      io, [&] { return finished; }, 2s));
}

TEST_F(SidecarTest, DrainEndsInTimeWithSilentServers) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto client = Client(Post("port", "r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  bool finished = false;
  const auto begin = std::chrono::steady_clock::now();
  sidecar->Drain([&] { finished = true; });
  EXPECT_EQ(Status(*client), "502");
  EXPECT_TRUE(RunUntil(io, [&] { return finished; }));
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 3700ms);  // the process is not killed earlier
}

}  // namespace
}  // namespace violetwing::sidecar
