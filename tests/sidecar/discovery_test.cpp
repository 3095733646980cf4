// The watch, its reopening, and invalid lists.
#include "sidecar/discovery.hpp"

#include <algorithm>

#include "sidecar/loopback.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class DiscoveryTest : public ::testing::Test {
 protected:
  // Starts discovery. The server sends the n-th of `scripts` on the n-th watch, and the last one on all later
  // watches.
  void Start(std::vector<std::string> scripts, Discovery::Timing timing = {}) {
    server = std::make_unique<ScriptedServer>(io, [this, scripts](Peer& peer) {
      if (peer.requests() != 1) return;
      const std::size_t n = std::min(watches++, scripts.size() - 1);
      peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + scripts[n]);
      if (scripts[n].empty()) peer.Close();
    });
    timing.backoff_base = timing.backoff_max = 2'000;
    discovery = std::make_unique<Discovery>(
        io, std::vector{server->address}, names, timing, 1,
        Discovery::Events{
            {}, [this](const EndpointList& list) { lists.push_back(list); }, [this] { ++failures; }});
    discovery->Watch(41);
  }
  static std::string Line(std::int64_t generation, const std::string& id) {
    return List(generation, false, {Entry(id, {asio::ip::make_address("127.0.0.1"), 80})}).dump() + "\n";
  }

  asio::io_context io;
  bench_adapter::WireSettings names{{}, {"west", "east"}, {"std"}};
  std::unique_ptr<ScriptedServer> server;
  std::unique_ptr<Discovery> discovery;
  std::size_t watches = 0;
  std::vector<EndpointList> lists;
  int failures = 0;
};

TEST_F(DiscoveryTest, DeliversEachLineRegardlessOfChunkBoundaries) {
  const std::string line = Line(43, "s-b");
  Start({Chunk(Line(42, "s-a")) + Chunk("\n") + Chunk(line.substr(0, 20)) + Chunk(line.substr(20) + "\n")});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_NE(server->peers[0]->received.find("GET /v1/endpoints?stream=1&index=41 HTTP/1.1"),
            std::string::npos);
  EXPECT_EQ(lists[0].generation, 42);
  EXPECT_EQ(lists[1].endpoints[0].info.id, "s-b");
  EXPECT_EQ(lists[1].endpoints[0].info.zone, 1);
  EXPECT_FALSE(lists[1].complete);
  EXPECT_EQ(failures, 0);
}

TEST_F(DiscoveryTest, AcceptsIndentedLists) {
  // Covers brackets and quotes in a string, chunks of one byte, and a list that an empty line cuts off.
  const std::string list =
      List(42, false, {Entry("s\"]}", {asio::ip::make_address("127.0.0.1"), 80})}).dump(2) + "\n";
  std::string pieces;
  for (const char c : list) pieces += Chunk(std::string(1, c));
  const std::string broken = list.substr(0, list.size() / 2);
  ::testing::internal::CaptureStderr();
  Start({pieces + Chunk("\n" + Line(43, "s-b")) + Chunk(broken.substr(0, broken.rfind('\n') + 1) + "\n"),
         Chunk(Line(44, "s-c"))});
  const bool whole = RunUntil(io, [&] { return lists.size() == 3; });
  const std::string logged = ::testing::internal::GetCapturedStderr();
  ASSERT_TRUE(whole);
  EXPECT_EQ(lists[0].endpoints[0].info.id, "s\"]}");
  EXPECT_EQ(lists[1].generation, 43);
  EXPECT_EQ(lists[2].generation, 44);
  EXPECT_EQ(failures, 1);
  EXPECT_EQ(std::count(logged.begin(), logged.end(), '\n'), 1) << logged;
}

TEST_F(DiscoveryTest, ReopensAnEndedWatchFromTheLastGeneration) {
  Start({Chunk(Line(42, "s-a")) + "0\r\n\r\n", Chunk(Line(43, "s-b"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_NE(server->peers[1]->received.find("index=42 "), std::string::npos);
  EXPECT_EQ(failures, 1);
}

TEST_F(DiscoveryTest, ReopensAWatchThatFallsSilent) {
  Discovery::Timing timing;
  timing.silence_timeout = 100'000;
  Start({Chunk(Line(42, "s-a")), Chunk(Line(43, "s-b"))}, timing);
  EXPECT_TRUE(RunUntil(io, [&] { return lists.size() >= 2; }));
}

// Guards against a watch that is closed as silent while received data is unread: a blocked event loop runs
// the silence timer before it reads.
TEST_F(DiscoveryTest, UnreadDataPreventsTheSilenceTimeout) {
  Discovery::Timing timing;
  timing.silence_timeout = 100'000;
  Start({Chunk(Line(42, "s-a"))}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  asio::steady_timer data_timer(io, 1ms);
  data_timer.async_wait([&](ErrorCode) { server->peers[0]->Write(Chunk(Line(43, "s-b"))); });
  // Both timers have expired when the loop continues; the one for the data is the earlier one.
  asio::post(io, [] { HoldUntil(std::chrono::steady_clock::now() + 150ms); });
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_EQ(failures, 0);
}

// The connection is accepted, but the server sends no header, part of a header, or a header without a line.
TEST_F(DiscoveryTest, ReopensAWatchThatIsSilentFromTheStart) {
  const std::string header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& response : {std::string(), header, header.substr(0, 20)}) {
    ScriptedServer silent(io, [&](Peer& peer) {
      if (peer.requests() == 1)
        peer.Write(silent.peers.size() == 1 ? response : header + Chunk(Line(42, "s-a")));
    });
    Discovery::Timing timing;
    timing.silence_timeout = 100'000;
    timing.backoff_base = timing.backoff_max = 2'000;
    std::int64_t last = 0;
    Discovery follows(io, {silent.address}, names, timing, 1,
                      {{}, [&](const EndpointList& list) { last = list.generation; }, [] {}});
    follows.Watch(41);
    EXPECT_TRUE(RunUntil(io, [&] { return last == 42; })) << response;
  }
}

// Runs discovery whose first watch gets `response`, and each later one the list of generation 43. Returns the
// first generation that it takes.
std::int64_t FirstGenerationAfter(const std::string& response, const bench_adapter::WireSettings& names) {
  asio::io_context io;
  const std::string line = List(43, false, {Entry("s-b", {asio::ip::make_address("127.0.0.1"), 80})}).dump();
  ScriptedServer server(io, [&](Peer& peer) {
    if (peer.requests() != 1) return;
    const std::string valid = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(line + "\n");
    peer.Write(server.peers.size() == 1 ? response : valid);
  });
  Discovery::Timing timing;
  timing.backoff_base = timing.backoff_max = 2'000;
  std::int64_t first = 0;
  Discovery discovery(
      io, {server.address}, names, timing, 1,
      {{}, [&](const EndpointList& list) { first = first > 0 ? first : list.generation; }, [] {}});
  discovery.Watch(41);
  EXPECT_TRUE(RunUntil(io, [&] { return first > 0; }));
  return first;
}

TEST_F(DiscoveryTest, TakesNoListFromAResponseThatIsNotHttp) {
  const std::string list = "\r\n" + Chunk(Line(42, "s-a"));
  for (const char* head : {"HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n",
                           "HTTP/1.1 600 OK\r\nTransfer-Encoding: chunked\r\n",
                           "HTTP/1.1 200 OK\r\nX Blank: 1\r\nTransfer-Encoding: chunked\r\n",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
                           "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"})
    EXPECT_EQ(FirstGenerationAfter(head + list, names), 43) << head;
}

TEST_F(DiscoveryTest, SkipsInterimResponses) {
  const std::string head =
      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  EXPECT_EQ(FirstGenerationAfter(head + Chunk(Line(42, "s-a")), names), 42);
}

// Lists count as delivered 6 s after a watch fell silent. Of these, one second is for the module's wait and
// one for the response.
TEST(DiscoveryTiming, LeavesTimeToReopenAndReceiveTheList) {
  Settings settings;
  settings.must_subscribe = true;
  settings.drain_grace = 400'000;
  EXPECT_LE(Discovery::TimingFor(settings, 1).silence_timeout, 4'000'000);
  // Discovery sends a line every 2 s, which may be late.
  EXPECT_GT(Discovery::TimingFor(settings, 1).silence_timeout, 2'000'000 + 1'000'000);
  EXPECT_FALSE(Discovery::TimingFor(settings, 1).reopens);
  // Pushed lists count as delivered once the sidecar is reachable, so only the grace period remains.
  settings.must_subscribe = false;
  EXPECT_TRUE(Discovery::TimingFor(settings, 1).reopens);
  EXPECT_LE(Discovery::TimingFor(settings, 1).backoff_max, settings.drain_grace / 2);
  EXPECT_LE(Discovery::TimingFor(settings, 1).backoff_base, settings.drain_grace / 2);
}

TEST_F(DiscoveryTest, KeepsTheOldListOnBadInputAndReopens) {
  const nlohmann::json sideways = {{"instanceId", "s"}, {"lifecycle", "sideways"}};
  const nlohmann::json nowhere = {{"instanceId", "s"}, {"lifecycle", "up"}, {"hostPort", "there"}};
  const nlohmann::json number = {{"instanceId", 7}, {"lifecycle", "up"}};
  std::vector<std::string> bad = {"{nonsense\n", "[]\n", "{\"generation\":1}\n"};
  for (const auto& entry : {sideways, nowhere, number}) bad.push_back(List(50, false, {entry}).dump() + "\n");
  bad.push_back(List(50, true, {}).dump() + "\n");  // a complete list without servers would leave no target
  bad.push_back(Line(40, "s-old"));                 // older than generation 41, from which it watches
  std::vector<std::string> scripts;
  for (const std::string& line : bad) scripts.push_back(Chunk(line));
  scripts.push_back(Chunk(Line(51, "s-a")));
  ::testing::internal::CaptureStderr();
  Start(scripts);
  const bool served = RunUntil(io, [&] { return !lists.empty(); });
  const std::string logged = ::testing::internal::GetCapturedStderr();
  ASSERT_TRUE(served);
  // It is logged once, although it is received repeatedly.
  EXPECT_EQ(std::count(logged.begin(), logged.end(), '\n'), 1) << logged;
  EXPECT_EQ(lists[0].generation, 51);
  EXPECT_EQ(failures, static_cast<int>(bad.size()));
}

TEST_F(DiscoveryTest, ReopensTheWatchAfterAnOverlongLineAndKeepsTheList) {
  Start({Chunk(Line(42, "s-a")), Chunk(Line(43, "s-b"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  // More than the socket buffers hold, so it is written asynchronously: a blocking write would deadlock the
  // loop.
  const std::string line = Chunk(std::string(8'000'000, 'x'));
  ::testing::internal::CaptureStderr();
  asio::async_write(server->peers[0]->socket, asio::buffer(line), [](ErrorCode, std::size_t) {});
  const bool again = RunUntil(io, [&] { return lists.size() == 2; });
  const std::string logged = ::testing::internal::GetCapturedStderr();
  ASSERT_TRUE(again);
  EXPECT_EQ(std::count(logged.begin(), logged.end(), '\n'), 1) << logged;
  EXPECT_NE(server->peers[1]->received.find("index=42 "), std::string::npos);
}

// Three registries: the first is unreachable, the second sends a stale list, and the third is to be used.
TEST_F(DiscoveryTest, SwitchesAddressWhenOneIsUnreachableOrStale) {
  nlohmann::json old = List(41, false, {});
  old["stale"] = true;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  ScriptedServer gone(io);
  gone.StopListening();
  ScriptedServer stale(io, [&](Peer& peer) { peer.Write(head + Chunk(old.dump() + "\n")); });
  ScriptedServer fresh(io, [&](Peer& peer) { peer.Write(head + Chunk(Line(42, "s-a"))); });
  Discovery::Timing timing;
  timing.backoff_base = timing.backoff_max = 2'000;
  for (std::uint64_t seed = 0; seed < 8; ++seed) {  // with some seeds the stale one is tried first
    std::int64_t last = 0;
    Discovery follows(io, {gone.address, stale.address, fresh.address}, names, timing, seed,
                      {{}, [&](const EndpointList& list) { last = list.generation; }, [] {}});
    follows.Watch(41);
    ASSERT_TRUE(RunUntil(io, [&] { return last == 42; }));
    EXPECT_EQ(follows.address(), fresh.address);
    RunFor(io, 20ms);
    EXPECT_EQ(follows.address(), fresh.address);
  }
  EXPECT_GT(stale.peers.size(), 0U);
}

// If all are stale, no address is better: the watch stays open and receives the list as soon as its registry
// has one.
TEST_F(DiscoveryTest, StaysAtAStaleAddressWhenAllAreStale) {
  nlohmann::json old = List(41, false, {});
  old["stale"] = true;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto answer = [&](Peer& peer) { peer.Write(head + Chunk(old.dump() + "\n")); };
  ScriptedServer one(io, answer);
  ScriptedServer two(io, answer);
  Discovery::Timing timing;
  timing.backoff_base = timing.backoff_max = 2'000;
  timing.stale_retry = 3'600'000'000;
  std::int64_t last = 0;
  Discovery follows(io, {one.address, two.address}, names, timing, 1,
                    {{}, [&](const EndpointList& list) { last = list.generation; }, [] {}});
  follows.Watch(41);
  const auto asked = [&] { return one.requests() + two.requests(); };
  ASSERT_TRUE(RunUntil(io, [&] { return asked() == 3; }));  // each one, then the first again
  RunFor(io, 50ms);
  EXPECT_EQ(asked(), 3);
  ScriptedServer& at = follows.address() == one.address ? one : two;
  at.peers.back()->Write(Chunk(Line(42, "s-a")));
  ASSERT_TRUE(RunUntil(io, [&] { return last == 42; }));
  EXPECT_EQ(asked(), 3);
}

TEST_F(DiscoveryTest, DoesNotReopenByItselfWhenTheModuleRequestsLists) {
  Discovery::Timing timing;
  timing.reopens = false;
  Start({"0\r\n\r\n"}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  RunFor(io, 50ms);
  EXPECT_EQ(watches, 1U);
  discovery->Watch(41);
  EXPECT_TRUE(RunUntil(io, [&] { return watches == 2; }));
}

// If the start time differed between lists, each list would look like a restart and make the server cold.
TEST(ParseList, KeepsTheStartTimeAcrossLists) {
  std::string error;
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 80);
  for (int i = 0; i < 2; ++i) {
    const auto list =
        ParseList(List(i, true, {Entry("s", at, "up", 1'700'000'000'123), Entry("t", at)}), {}, error);
    ASSERT_TRUE(list) << error;
    EXPECT_EQ(list->endpoints[0].info.started, 1'700'000'000'123'000);
    EXPECT_EQ(list->endpoints[1].info.started, 0);
  }
}

TEST(ParseAddress, AcceptsOnlyAddressesWithAPort) {
  EXPECT_TRUE(ParseAddress("127.0.0.1:80"));
  for (const char* bad :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:8x", "host:80", ":80"})
    EXPECT_FALSE(ParseAddress(bad)) << bad;
}

}  // namespace
}  // namespace violetwing::sidecar
