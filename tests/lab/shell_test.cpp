// The emulated server on real sockets.
#include "lab/server/shell.hpp"

#include <gtest/gtest.h>

#include <thread>

#include "lab/clients/shell.hpp"
#include "lab/judge/core.hpp"

namespace violetwing::lab {
namespace {

class ServerShellTest : public ::testing::Test {
 protected:
  ServerShellTest()
      : scenario(ParseScenario(
            "name='a'\n[[class]]\nname='look'\nwork_ms=10\ncv=0\nattempt_noise=0\neffect='safe'\n"
            "[[machine]]\nname='m'\nhandshake_ms=0\n",
            "f")),
        plan(Draw(scenario, 1)),
        server({{io, clock, scenario, plan, records}, times}, 0, std::make_shared<KeyMemory>(0), {}) {
    server.Start("s1", /*cold=*/false);
  }
  Tcp::socket Ask(std::size_t arrival) {
    Tcp::socket socket(io);
    socket.connect(server.address());
    asio::write(socket, asio::buffer("GET /api HTTP/1.1\r\nReq-Id: " + TryId(arrival, 0) + "\r\n\r\n"));
    return socket;
  }
  bool Until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds(5));
      if (io.stopped()) io.restart();
    }
    return done();
  }

  asio::io_context io;
  Clock clock;
  Scenario scenario;
  Plan plan;
  SendTimes times;
  Records records;
  ServerShell server;
};

TEST_F(ServerShellTest, AnswersForTheRequestAndWritesItDown) {
  Tcp::socket socket = Ask(3);
  beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  bool done = false;
  http::async_read(socket, buffer, answer, [&](ErrorCode error, std::size_t) { done = !error; });
  ASSERT_TRUE(Until([&] { return done; }));
  EXPECT_EQ(answer.body(), "served " + TryId(3, 0) + " by s1\n");
  ASSERT_EQ(records.attempts.size(), 1U);
  EXPECT_EQ(records.attempts[0].outcome, Outcome::kServed);
  EXPECT_EQ(records.attempts[0].work_us, 10'000);
}

TEST_F(ServerShellTest, AnIdThatNoClientSentIsWrittenDownToo) {
  Tcp::socket socket(io);
  socket.connect(server.address());
  asio::write(socket, asio::buffer(std::string("GET /api HTTP/1.1\r\nReq-Id: none\r\n\r\n")));
  ASSERT_TRUE(Until([&] { return records.attempts.size() == 1; }));
  const Verdict verdict = Judge(scenario, plan, records);
  EXPECT_EQ(verdict.figures.at("broken.doubled"), 1);
}

// The client's end and the answer's time come in one round of the loop: the answer has nowhere to go. This
// ended a run of the lab with a crash.
TEST_F(ServerShellTest, AClientThatLeavesAsItsAnswerIsDue) {
  for (std::size_t i = 0; i < 20; ++i) {
    Tcp::socket socket = Ask(i);
    ASSERT_TRUE(Until([&] { return records.attempts.size() == i + 1; }));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(12));  // the work is done, and the loop has not seen it
    ErrorCode ignored;
    socket.close(ignored);
    ASSERT_TRUE(Until([&] { return records.attempts[i].outcome == Outcome::kServed; }));
  }
}

// A client beside a sidecar that is played by hand.
class ClientShellTest : public ::testing::Test {
 protected:
  ClientShellTest()
      : scenario(
            ParseScenario("name='a'\n[[class]]\nname='look'\neffect='safe'\naim_ms=100\ndeadline_ms=150\n"
                          "[[machine]]\nname='m'\n[clients]\ntries=1\n",
                          "f")),
        plan(Draw(scenario, 1)),
        acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
        application({{io, clock, scenario, plan, records},
                     [](const std::string&) { return true; },
                     [](std::size_t) {}},
                    acceptor.local_endpoint()) {
    for (Arrival& one : plan.arrivals) one.leaves = 0, one.hangs_up = false;
  }
  void Begin(std::size_t arrival) {
    plan.arrivals[arrival].at = clock.Now() - clock.load_begin();
    application.Begin(arrival);
  }
  void Until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds(5));
      if (io.stopped()) io.restart();
    }
    ASSERT_TRUE(done());
  }
  void Answer(Tcp::socket& socket, std::size_t arrival) {
    const std::string body = "served " + TryId(arrival, 0) + " by s1\n";
    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                     "\r\n\r\n" + body));
  }

  asio::io_context io;
  Clock clock;
  Scenario scenario;
  Plan plan;
  Records records;
  Tcp::acceptor acceptor;
  Application application;
};

// The answer comes to a try that has given up, on a connection that was used before: both the wait for its
// end between requests and the read of the answer see it. The wait then read what had been taken, and stood
// still with the whole lab: nothing was reaped or ended any more.
TEST_F(ClientShellTest, AnAnswerThatComesLateIsWrittenDownAndHoldsNothingUp) {
  Begin(0);
  Tcp::socket sidecar = acceptor.accept();
  Until([&] { return records.tries[0].sent != kNever; });
  Answer(sidecar, 0);
  Until([&] { return records.tries[0].end == TryEnd::kAnswered; });
  Begin(1);
  Until([&] { return records.tries.size() == 2 && records.tries[1].end == TryEnd::kGaveUp; });
  EXPECT_FALSE(records.tries[1].first_on_connection);
  EXPECT_EQ(application.open(), 1U);  // it listens on
  Answer(sidecar, 1);
  Until([&] { return application.open() == 0; });
  EXPECT_GE(records.tries[1].answered_late, records.tries[1].gives_up);
}

TEST_F(ClientShellTest, AnAnswerThatIsNoHttpResponseIsHeldAgainstTheSidecar) {
  Begin(0);
  Tcp::socket sidecar = acceptor.accept();
  Until([&] { return records.tries[0].sent != kNever; });
  asio::write(sidecar, asio::buffer(std::string("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")));
  Until([&] { return records.tries[0].end == TryEnd::kAnswered; });
  EXPECT_TRUE(records.tries[0].invented);
}

TEST_F(ClientShellTest, WhoListensInVainGoesHalfASecondLater) {
  Begin(0);
  Tcp::socket sidecar = acceptor.accept();
  Until([&] { return records.tries[0].end == TryEnd::kGaveUp; });
  Until([&] { return application.open() == 0; });
  EXPECT_EQ(records.tries[0].answered_late, kNever);
  EXPECT_GE(clock.Now(), records.tries[0].gives_up + kLateAnswer);
}

}  // namespace
}  // namespace violetwing::lab
