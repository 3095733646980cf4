// Tests the results of attempts over real connections, and the reuse and closing of connections.
#include "sidecar/upstream.hpp"

#include "sidecar/loopback.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class UpstreamTest : public ::testing::Test {
 protected:
  UpstreamTest() { limits.dial_timeout = 2'000'000; }

  Upstream& upstream() {
    if (upstream_ == nullptr) upstream_ = std::make_unique<Upstream>(io, limits, budget);
    return *upstream_;
  }
  void ApplyServer(const Tcp::endpoint& address, const std::string& lifecycle = "up",
                   std::int64_t started_ms = 0, const std::string& id = "s1") {
    std::string error;
    const auto list = ParseList(List(1, false, {Entry(id, address, lifecycle, started_ms)}), {}, error);
    ASSERT_TRUE(list) << error;
    upstream().Apply(*list);
  }
  Upstream::AttemptId Send(const std::string& id = "s1", std::size_t body = 0) {
    RequestHead head(body > 0 ? http::verb::post : http::verb::get, "/api", 11);
    Upstream::Events events;
    events.done = [this](UpstreamResponse response) { responses.push_back(std::move(response)); };
    events.response_started = [this](const ResponseHead&, const BodyPtr& response_body) {
      streamed.push_back(response_body);
    };
    return upstream().Send(id, {head, Body::FromString(std::string(body, 'x')), 0, begin_within}, events);
  }
  // Sends one request and waits for its result.
  Result SendAndWait(const std::string& id = "s1", std::size_t body = 0) {
    const std::size_t before = responses.size();
    Send(id, body);
    EXPECT_EQ(responses.size(), before) << "the result was reported from within Send";
    EXPECT_TRUE(RunUntil(io, [&] { return responses.size() > before; }));
    return responses.size() > before ? responses.back().result : Result::kNeverSent;
  }
  // The result of an attempt to which the server replies with `text`.
  Result ResultOfReply(const std::string& text, bool close = false) {
    ScriptedServer server(io, [&](Peer& peer) {
      peer.Write(text);
      if (close) peer.Close();
    });
    ApplyServer(server.address);
    const Result result = SendAndWait();
    ApplyServer(server.address, "removed");
    return result;
  }

  asio::io_context io;
  Upstream::Limits limits;
  Micros begin_within = 0;
  std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(1024 * 1024);
  std::vector<UpstreamResponse> responses;
  std::vector<BodyPtr> streamed;  // bodies of streamed responses

 private:
  std::unique_ptr<Upstream> upstream_;
};

TEST_F(UpstreamTest, MapsStatusCodesToResults) {
  EXPECT_EQ(ResultOfReply(Reply("200 OK", "hello")), Result::kSuccess);
  EXPECT_EQ(responses.back().body->DataFrom(0), "hello");
  EXPECT_EQ(ResultOfReply(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")), Result::kRejected);
  EXPECT_EQ(ResultOfReply(Reply("504 Gateway Timeout", "", "Srv-Declined: 1\r\n")), Result::kRejected);
  EXPECT_EQ(ResultOfReply(Reply("503 Service Unavailable", "")), Result::kError);
  EXPECT_EQ(ResultOfReply(Reply("504 Gateway Timeout", "")), Result::kError);
  EXPECT_EQ(ResultOfReply(Reply("500 Internal Server Error", "")), Result::kError);
  EXPECT_EQ(ResultOfReply(Reply("500 Internal Server Error", "", "Srv-Declined: 1\r\n")), Result::kError);
  EXPECT_EQ(ResultOfReply("no HTTP at all\r\n\r\n"), Result::kError);
  EXPECT_EQ(ResultOfReply("HTTP/1.1 100 Continue\r\n\r\n" + Reply("200 OK", "later")), Result::kSuccess);
  EXPECT_EQ(responses.back().body->DataFrom(0), "later");
}

TEST_F(UpstreamTest, StatusOutsideOfItsRangeIsAnErrorAtOnce) {
  for (const char* status : {"000 OK", "001 OK", "099 OK", "600 OK", "999 OK"}) {
    for (const std::string& response : {Reply(status, "body"), Reply(status, "", "Srv-Declined: 1\r\n"),
                                        Reply(status, "body") + Reply("200 OK", "later")}) {
      SCOPED_TRACE(response);
      ASSERT_EQ(ResultOfReply(response), Result::kError);
    }
  }
}

TEST_F(UpstreamTest, MalformedHeadIsAnErrorAtOnce) {
  for (const std::string& response :
       {Reply("200 OK", "body", "X Blank: 1\r\n"), Reply("200 OK", "body", "X-Blank : 1\r\n"),
        Reply("200 OK", "body",
              "X\x01"
              "Control: 1\r\n"),
        Reply("200 OK", "body", "Content-Length : 4\r\n"), Reply("20 OK", "body"), Reply("2000 OK", "body"),
        Reply(" 200 OK", "body")}) {
    SCOPED_TRACE(response);
    ASSERT_EQ(ResultOfReply(response), Result::kError);
  }
}

TEST_F(UpstreamTest, UnsupportedTransferCodingIsAnError) {
  const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
  for (const std::string& response : {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n" + chunks,
                                      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
                                      Reply("200 OK", "body", "Transfer-Encoding: gzip\r\n")}) {
    SCOPED_TRACE(response);
    EXPECT_EQ(ResultOfReply(response), Result::kError);
  }
}

TEST_F(UpstreamTest, UnrequestedUpgradeIsAnError) {
  EXPECT_EQ(
      ResultOfReply("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + Reply("200 OK", "later")),
      Result::kError);
}

TEST_F(UpstreamTest, AcceptsUnusualResponses) {
  for (const std::string& response :
       {Reply("200 ", "body"), Reply("200 OK", "body", "X-Empty:\r\nX-High: \x80\xff\r\n"),
        std::string("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\n" + Reply("200 OK", "body")}) {
    SCOPED_TRACE(response);
    EXPECT_EQ(ResultOfReply(response), Result::kSuccess);
    EXPECT_EQ(responses.back().body->DataFrom(0), "body");
  }
}

// A response over the size limit must be rejected whether Content-Length or a chunk size exceeds the limit,
// and wherever the data is split.
TEST_F(UpstreamTest, ResponseOverSizeLimitFailsAttemptAtOnce) {
  const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
  EXPECT_EQ(ResultOfReply(length), Result::kError);
  EXPECT_EQ(ResultOfReply(length + "its first bytes"), Result::kError);
  EXPECT_EQ(ResultOfReply(length + Reply("200 OK", "in the body")), Result::kError);
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  EXPECT_EQ(ResultOfReply(chunked + "b2d05e00\r\nits first bytes"), Result::kError);
  EXPECT_TRUE(streamed.empty());
  EXPECT_EQ(ResultOfReply(Reply("200 OK", std::string(kMaxBufferedBodyBytes, 'x'))), Result::kSuccess);
  EXPECT_TRUE(streamed.empty());
  EXPECT_EQ(ResultOfReply(chunked + "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"), Result::kSuccess);
  EXPECT_EQ(responses.back().body->DataFrom(0), "hello!");
}

TEST_F(UpstreamTest, StreamsLongResponse) {
  ScriptedServer server(
      io, [&](Peer& peer) { peer.Write(Reply("200 OK", std::string(kMaxBufferedBodyBytes + 1, 'x'))); });
  ApplyServer(server.address);
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return !streamed.empty(); }));
  EXPECT_EQ(streamed[0]->length, kMaxBufferedBodyBytes + 1);
  streamed[0]->DisableReplay();
  std::uint64_t taken = 0;
  EXPECT_TRUE(RunUntil(io, [&] {
    taken += streamed[0]->DataFrom(taken).size();
    streamed[0]->ConsumeUpTo(taken);
    return streamed[0]->ended();
  }));
  EXPECT_EQ(streamed[0]->size(), kMaxBufferedBodyBytes + 1);
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].result, Result::kSuccess);
  EXPECT_EQ(responses[0].body, nullptr);
  EXPECT_EQ(upstream().open_connections(), 1U);  // stays open for reuse
}

TEST_F(UpstreamTest, StreamsResponseWhenMemoryBudgetIsSpent) {
  budget->Reserve(1024 * 1024);
  ScriptedServer server(
      io, [&](Peer& peer) { peer.Write(Reply("200 OK", std::string(kMaxBufferedBodyBytes, 'x'))); });
  ApplyServer(server.address);
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return !streamed.empty(); }));
  RunFor(io, 50ms);
  EXPECT_LE(streamed[0]->size(), 2 * kBlockBytes);
  streamed[0]->Abandon();
  ASSERT_TRUE(RunUntil(io, [&] { return !responses.empty(); }));
  EXPECT_EQ(responses[0].result, Result::kCancelled);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

// Regression test for a crash: the complete response was in the buffer, and consuming the body from within
// the callback that started the streaming ended the attempt during that callback.
TEST_F(UpstreamTest, ConsumingBodyInStartCallbackDoesNotEndAttemptReentrantly) {
  budget->Reserve(2 * 1024 * 1024);
  ScriptedServer server(io, [&](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" +
               std::string(kBlockBytes, 'x') + "\r\n0\r\n\r\n");
  });
  ApplyServer(server.address);
  bool done = false;
  bool ended_meanwhile = false;
  const auto take = [](Body& body) {
    body.DisableReplay();
    body.ConsumeUpTo(body.size());
  };
  Upstream::Events events;
  events.done = [&](UpstreamResponse) { done = true; };
  events.response_started = [&](const ResponseHead&, const BodyPtr& response_body) {
    streamed.push_back(response_body);
    take(*response_body);
    ended_meanwhile = done;
  };
  upstream().Send("s1", {RequestHead(http::verb::get, "/api", 11), Body::FromString("")}, events);
  ASSERT_TRUE(RunUntil(io, [&] {
    if (!streamed.empty()) take(*streamed[0]);
    return done;
  }));
  EXPECT_FALSE(ended_meanwhile);
  EXPECT_EQ(streamed[0]->size(), kBlockBytes);
}

TEST_F(UpstreamTest, FailureAfterLastRequestByteIsReset) {
  EXPECT_EQ(ResultOfReply("", /*close=*/true), Result::kReset);
  EXPECT_EQ(ResultOfReply("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", /*close=*/true),
            Result::kReset);
  EXPECT_EQ(
      ResultOfReply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", /*close=*/true),
      Result::kReset);
  EXPECT_EQ(ResultOfReply("HTTP/1.1 200 OK\r\nContent-Le", /*close=*/true), Result::kReset);
}

TEST_F(UpstreamTest, OnlyCloseCompletesResponseWithoutLength) {
  EXPECT_EQ(ResultOfReply("HTTP/1.1 200 OK\r\n\r\nshort", /*close=*/true), Result::kSuccess);
  // The peer resets only after its data has been read, as the kernel would discard unread data.
  std::shared_ptr<Peer> peer;
  ScriptedServer server(io, [&](Peer& accepted) {
    accepted.Write("HTTP/1.1 200 OK\r\n\r\nshort");
    peer = accepted.shared_from_this();
  });
  ApplyServer(server.address);
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return !streamed.empty(); }));
  EXPECT_EQ(streamed[0]->size(), 5U);
  const std::size_t before = responses.size();
  peer->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return responses.size() > before; }));
  EXPECT_EQ(responses.back().result, Result::kReset);
  EXPECT_TRUE(streamed[0]->failed()) << "the client must be able to tell that the body is truncated";
}

TEST_F(UpstreamTest, WritesNothingOnConnectionEstablishedTooLate) {
  ScriptedServer server(io, Serves("x"));
  ApplyServer(server.address);
  begin_within = 1;  // no connection is established within a microsecond
  EXPECT_EQ(SendAndWait(), Result::kNeverSent);
  begin_within = 60'000'000;
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(server.requests(), 1);
}

TEST_F(UpstreamTest, RefusedConnectionIsUnreachable) {
  ScriptedServer server(io);
  server.StopListening();
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kUnreachable);
  EXPECT_EQ(SendAndWait("unknown"), Result::kUnreachable);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, DialTimeoutIsUnreachable) {
  limits.dial_timeout = 100'000;
  Tcp::acceptor full(io, Tcp::v4());
  full.bind(Loopback());
  full.listen(0);
  Tcp::socket filler(io);
  filler.connect(full.local_endpoint());  // fills the accept queue; later connections are not answered
  Tcp::socket filler2(io);
  filler2.async_connect(full.local_endpoint(), [](ErrorCode) {});
  RunFor(io, 20ms);
  ApplyServer(full.local_endpoint());
  EXPECT_EQ(SendAndWait(), Result::kUnreachable);
}

TEST_F(UpstreamTest, FailureBeforeLastRequestByteIsUnreachable) {
  Tcp::acceptor acceptor(io, Loopback());
  std::unique_ptr<Peer> peer;
  acceptor.async_accept(
      [&](ErrorCode, Tcp::socket socket) { peer = std::make_unique<Peer>(std::move(socket)); });
  ApplyServer(acceptor.local_endpoint());
  Send("s1", 64U * 1024 * 1024);  // far more than the kernel's buffers hold; the peer does not read
  ASSERT_TRUE(RunUntil(io, [&] { return peer != nullptr; }));
  RunFor(io, 50ms);
  EXPECT_TRUE(responses.empty());
  peer->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return !responses.empty(); }));
  EXPECT_EQ(responses.back().result, Result::kUnreachable);
}

TEST_F(UpstreamTest, ReusesMostRecentlyUsedConnection) {
  ScriptedServer server(io, Serves("ok"));
  ApplyServer(server.address);
  Send();
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return responses.size() == 2; }));
  EXPECT_EQ(server.peers.size(), 2U);  // a connection carries one request at a time
  for (int i = 0; i < 3; ++i) EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
  EXPECT_EQ(std::max(server.peers[0]->requests(), server.peers[1]->requests()), 4);
}

TEST_F(UpstreamTest, ResetOfReusedConnectionIsReportedWithoutRetry) {
  ScriptedServer server(io, [](Peer& peer) {
    if (peer.requests() == 1) return peer.Write(Reply("200 OK", "first"));
    peer.Reset();
  });
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(SendAndWait(), Result::kReset);
  RunFor(io, 100ms);
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(UpstreamTest, DoesNotReuseIdleConnectionClosedByPeer) {
  ScriptedServer server(io, Serves("ok"));
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  server.peers[0]->Close();  // not handled by the event loop before the next request
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(UpstreamTest, DoesNotReuseConnectionWithUnreadData) {
  ScriptedServer server(io, [](Peer& peer) { peer.Write(Reply("200 OK", "a") + Reply("200 OK", "stray")); });
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(responses.back().body->DataFrom(0), "a");
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, CancelClosesConnection) {
  ScriptedServer server(io);
  ApplyServer(server.address);
  const auto attempt = Send();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  upstream().Cancel(attempt);
  EXPECT_EQ(upstream().open_connections(), 0U);
  ASSERT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(responses.empty());
  server.on_data = Serves("ok");
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(UpstreamTest, CancelSuppressesPendingFailure) {
  upstream().Cancel(Send("unknown"));
  RunFor(io, 30ms);
  EXPECT_TRUE(responses.empty());
}

TEST_F(UpstreamTest, RetireClosesIdleConnectionsAndFailsDials) {
  ScriptedServer server(io, Serves("ok"));
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  server.on_data = {};
  Send();  // written to the idle connection
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  Send();  // still connecting
  upstream().Retire("s1");
  ASSERT_TRUE(RunUntil(io, [&] { return responses.size() == 2; }));
  EXPECT_EQ(responses.back().result, Result::kUnreachable);
  server.peers[0]->Write(Reply("200 OK", "late"));
  ASSERT_TRUE(RunUntil(io, [&] { return responses.size() == 3; }));
  EXPECT_EQ(responses.back().result, Result::kSuccess);
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(UpstreamTest, DrainLetsRequestsInFlightFinish) {
  ScriptedServer server(io, Serves("ok"));
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  server.on_data = {};
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  ApplyServer(server.address, "draining");
  EXPECT_EQ(upstream().open_connections(), 1U);
  server.peers[0]->Write(Reply("200 OK", "finished"));
  ASSERT_TRUE(RunUntil(io, [&] { return responses.size() == 2; }));
  EXPECT_EQ(responses.back().body->DataFrom(0), "finished");
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_EQ(SendAndWait(), Result::kUnreachable);
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(UpstreamTest, DrainClosesIdleConnections) {
  ScriptedServer server(io, Serves("ok"));
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(upstream().open_connections(), 1U);
  ApplyServer(server.address, "draining");
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
}

TEST_F(UpstreamTest, WritesNothingIfServerChangesDuringDial) {
  ScriptedServer server(io, Serves("ok"));
  ScriptedServer moved(io, Serves("ok"));
  const std::function<void()> changes[] = {
      [&] { ApplyServer(server.address, "draining"); }, [&] { ApplyServer(server.address, "removed"); },
      [&] { ApplyServer(server.address, "up", 1'700'000'000'000); }, [&] { ApplyServer(moved.address); }};
  for (const auto& change : changes) {
    ApplyServer(server.address);
    const std::size_t before = responses.size();
    Send();
    change();
    ASSERT_TRUE(RunUntil(io, [&] { return responses.size() > before; }));
    EXPECT_EQ(responses.back().result, Result::kUnreachable);
  }
  EXPECT_EQ(server.requests() + moved.requests(), 0);
}

TEST_F(UpstreamTest, FullListRemovesMissingServers) {
  ScriptedServer server(io, Serves("ok"));
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  upstream().Apply({true, 2, {}});
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_EQ(SendAndWait(), Result::kUnreachable);
}

TEST_F(UpstreamTest, UsesNewAddressOfServer) {
  ScriptedServer before(io, Serves("before"));
  ScriptedServer after(io, Serves("after"));
  ApplyServer(before.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  ApplyServer(after.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_EQ(responses.back().body->DataFrom(0), "after");
  EXPECT_EQ(upstream().open_connections(), 1U);
}

// The timer that starts the streaming of a response (150 ms) expires in the loop iteration in which the last
// byte arrives, and the next request uses the connection before the handler of the timer runs.
TEST_F(UpstreamTest, ExpiredTimerDoesNotAffectNextAttemptOnConnection) {
  ScriptedServer server(io, [](Peer& peer) {
    if (peer.requests() > 1) return peer.Write(Reply("200 OK", "second"));
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  });
  ApplyServer(server.address);
  Upstream::Events events;
  events.done = [&](UpstreamResponse response) {
    responses.push_back(std::move(response));
    if (responses.size() == 1) Send();
  };
  events.response_started = [&](const ResponseHead&, const BodyPtr& response_body) {
    streamed.push_back(response_body);
  };
  upstream().Send("s1", {RequestHead(http::verb::get, "/api", 11), Body::FromString("")}, events);
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  io.restart();
  while (io.poll() > 0) {  // the first part of the response is read, and the timer starts
  }
  asio::post(io, [&, read = std::chrono::steady_clock::now()] {
    HoldUntil(read + 200ms);
    server.peers[0]->Write("0\r\n\r\n");
  });
  ASSERT_TRUE(RunUntil(io, [&] { return responses.size() == 2; }));
  EXPECT_TRUE(streamed.empty());
  EXPECT_EQ(server.peers.size(), 1U);  // the scenario requires that both use one connection
  EXPECT_EQ(responses[1].result, Result::kSuccess);
}

// A server sends an unsolicited second response. It is read as soon as the first one is complete, but its
// handler runs when the connection already carries the next request: it must not be taken for the response
// to that.
TEST_F(UpstreamTest, DataReadBeforeRequestIsNotItsResponse) {
  const std::string body(kMaxBufferedBodyBytes + 1, 'x');  // long enough to be streamed
  ScriptedServer server(io, [&](Peer& peer) {
    if (peer.requests() == 1) peer.Write(Reply("200 OK", body));
  });
  ApplyServer(server.address);
  Upstream::Events events;
  events.done = [&](UpstreamResponse response) {
    responses.push_back(std::move(response));
    if (responses.size() == 1) Send();
  };
  events.response_started = [&](const ResponseHead&, const BodyPtr& response_body) {
    streamed.push_back(response_body);
    response_body->DisableReplay();
    response_body->on_data = [&, taken = response_body.get()] {
      taken->ConsumeUpTo(taken->size());
      if (taken->ended()) server.peers[0]->Write(Reply("200 OK", "unsolicited"));
    };
  };
  upstream().Send("s1", {RequestHead(http::verb::get, "/api", 11), Body::FromString("")}, events);
  ASSERT_TRUE(RunUntil(io, [&] { return responses.size() == 2; }));
  streamed[0]->on_data = nullptr;
  EXPECT_EQ(server.peers.size(), 1U);              // the scenario requires one connection
  EXPECT_EQ(responses[1].result, Result::kReset);  // it may have been executed
  EXPECT_EQ(responses[1].body, nullptr);
}

TEST_F(UpstreamTest, ClosesConnectionsAfterIdleTimeout) {
  limits.idle_timeout = 60'000;
  ScriptedServer server(io, Serves("ok"));
  ApplyServer(server.address);
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, ObservesMaximumConnections) {
  limits.max_connections = 1;
  ScriptedServer one(io, Serves("ok"));
  ScriptedServer two(io);
  ApplyServer(one.address);
  ApplyServer(two.address, "up", 0, "s2");
  EXPECT_EQ(SendAndWait(), Result::kSuccess);
  Send("s2");  // closes the idle connection to s1
  ASSERT_TRUE(RunUntil(io, [&] { return two.requests() == 1; }));
  EXPECT_EQ(upstream().open_connections(), 1U);
  EXPECT_EQ(SendAndWait(), Result::kNoDescriptor);  // all are in use; not a failure of the server
  EXPECT_EQ(one.requests(), 1);
}

}  // namespace
}  // namespace violetwing::sidecar
