// Links and addresses of the lab on real sockets.
#include <gtest/gtest.h>

#include <array>
#include <set>
#include <string>

#include "lab/link/datagram.hpp"
#include "lab/link/stream.hpp"

namespace violetwing::lab {
namespace {

constexpr Micros kMs = 1'000;

class LinkTest : public ::testing::Test {
 protected:
  // Runs the loop until the condition holds; false if it does not within a time that is ample on a busy
  // machine.
  bool Until(const std::function<bool()>& done, std::chrono::milliseconds most = std::chrono::seconds(20)) {
    const auto end = std::chrono::steady_clock::now() + most;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.run_one_for(std::chrono::milliseconds(10));
      if (io.stopped()) io.restart();
    }
    return true;
  }

  asio::io_context io;
  Clock clock;
};

// Reads into `text` until the connection ends, and then says how.
struct Reader : std::enable_shared_from_this<Reader> {
  explicit Reader(Tcp::socket connected) : socket(std::move(connected)) {}
  void Read() {
    socket.async_read_some(asio::buffer(input),
                           [self = shared_from_this()](ErrorCode error, std::size_t size) {
                             self->text.append(self->input.data(), size);
                             self->end = error;
                             if (!error) self->Read();
                           });
  }
  Tcp::socket socket;
  std::array<char, 4096> input{};
  std::string text;
  ErrorCode end;
};

class StreamLinkTest : public LinkTest {
 protected:
  StreamLinkTest()
      : far_door(io, [this](Tcp::socket socket) { far = Began(std::move(socket)); }),
        link(io, clock, far_door.address(), 1, times) {
    far_door.Set(Door::State::kOpen);
    link.FollowFar(Door::State::kOpen);
  }
  static std::shared_ptr<Reader> Began(Tcp::socket socket) {
    const auto reader = std::make_shared<Reader>(std::move(socket));
    reader->Read();
    return reader;
  }
  void Connect() {
    Tcp::socket socket(io);
    socket.connect(link.address());
    near = Began(std::move(socket));
    ASSERT_TRUE(Until([&] { return far != nullptr; }));
  }
  static void Say(const std::shared_ptr<Reader>& from, const std::string& text) {
    asio::write(from->socket, asio::buffer(text));
  }

  SendTimes times;
  Door far_door;
  StreamLink link;
  std::shared_ptr<Reader> near;
  std::shared_ptr<Reader> far;
};

TEST_F(StreamLinkTest, PassesBytesBothWaysAndTheEnd) {
  Connect();
  Say(near, "there");
  Say(far, "back");
  EXPECT_TRUE(Until([&] { return far->text == "there" && near->text == "back"; }));
  near->socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_TRUE(Until([&] { return far->end == asio::error::eof; }));
}

TEST_F(StreamLinkTest, DelaysOneDirectionAndKnowsWhenBytesSetOut) {
  Connect();
  link.Set({.delay = 60 * kMs}, {});
  Say(far, "back");
  ASSERT_TRUE(Until([&] { return near->text == "back"; }));
  const Micros said = clock.Now();
  Say(near, "there");
  ASSERT_TRUE(Until([&] { return far->text == "there"; }));
  EXPECT_GE(clock.Now() - said, 60 * kMs);
  const auto sent = times.Of(far->socket.remote_endpoint().port(), 0);
  ASSERT_TRUE(sent);
  EXPECT_LT(*sent, said + 60 * kMs);
}

TEST_F(StreamLinkTest, ACutIsSilentOneWayAndHoldsBackWhatItHas) {
  Connect();
  link.Set({.cut = true}, {});
  Say(near, "there");
  Say(far, "back");
  ASSERT_TRUE(Until([&] { return near->text == "back"; }));
  EXPECT_FALSE(Until([&] { return !far->text.empty() || far->end; }, std::chrono::milliseconds(50)));
  link.Set({}, {});
  EXPECT_TRUE(Until([&] { return far->text == "there"; }));
}

TEST_F(StreamLinkTest, ConnectionsNeverComeUpThroughACut) {
  link.Set({}, {.cut = true});
  Tcp::socket socket(io);
  bool up = false;
  bool ended = false;
  socket.async_connect(link.address(), [&](ErrorCode error) {
    up = !error;
    ended = true;
  });
  // The plug may not have come first: then this one is up, and just as silent.
  const bool soon = Until([&] { return ended; }, std::chrono::milliseconds(100));
  EXPECT_EQ(up, soon);
  EXPECT_EQ(far, nullptr);
  link.Set({}, {});
  Connect();
}

TEST_F(StreamLinkTest, ResetsBothEnds) {
  Connect();
  link.Reset();
  EXPECT_TRUE(Until([&] { return near->end == asio::error::connection_reset; }));
  EXPECT_TRUE(Until([&] { return far->end == asio::error::connection_reset; }));
}

TEST_F(StreamLinkTest, TheNearEndOfAHalfOpenConnectionHearsNothing) {
  Connect();
  link.HalfOpen();
  ASSERT_TRUE(Until([&] { return far->end == asio::error::connection_reset; }));
  Say(near, "there");
  EXPECT_FALSE(Until([&] { return static_cast<bool>(near->end); }, std::chrono::milliseconds(50)));
  link.Reset();
  EXPECT_TRUE(Until([&] { return static_cast<bool>(near->end); }));
}

TEST_F(StreamLinkTest, TheNearEndShowsWhetherSomebodyListensAtTheFarEnd) {
  link.FollowFar(Door::State::kRefusing);
  Tcp::socket socket(io);
  ErrorCode error;
  socket.connect(link.address(), error);
  EXPECT_EQ(error, asio::error::connection_refused);
}

TEST_F(StreamLinkTest, KeepsToItsRate) {
  Connect();
  link.Set({.bytes_per_s = 100'000}, {});
  const Micros begun = clock.Now();
  Say(near, std::string(10'000, 'x'));
  ASSERT_TRUE(Until([&] { return far->text.size() == 10'000; }));
  EXPECT_GE(clock.Now() - begun, 95 * kMs);
}

TEST_F(LinkTest, ADoorKeepsItsAddressWhetherItIsOpenOrNot) {
  int accepted = 0;
  Door door(io, [&](Tcp::socket) { ++accepted; });
  const auto connect = [&] {
    Tcp::socket socket(io);
    ErrorCode error;
    socket.connect(door.address(), error);
    return error;
  };
  for (int round = 0; round < 3; ++round) {
    EXPECT_EQ(connect(), asio::error::connection_refused);
    door.Set(Door::State::kOpen);
    EXPECT_EQ(connect(), ErrorCode());
    EXPECT_TRUE(Until([&] { return accepted == round + 1; }));
    door.Set(Door::State::kSilent);
    door.Set(Door::State::kRefusing);
  }
}

// Sends `count` numbered datagrams through a link, and returns them in the order in which they came.
class DatagramLinkTest : public LinkTest {
 protected:
  DatagramLinkTest()
      : far(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0)),
        near(io, far.local_endpoint().protocol()) {
    near.bind(Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  }
  std::vector<int> Through(const LaneState& state, int count, std::uint64_t seed) {
    DatagramLink link(io, clock, far.local_endpoint(), seed);
    link.Set(state, {});
    std::vector<int> came;
    std::array<char, 16> input{};
    Udp::endpoint sender;
    std::function<void()> read = [&] {
      far.async_receive_from(asio::buffer(input), sender, [&](ErrorCode error, std::size_t size) {
        if (error) return;
        came.push_back(std::stoi(std::string(input.data(), size)));
        read();
      });
    };
    read();
    for (int i = 0; i < count; ++i) {
      near.send_to(asio::buffer(std::to_string(i)), link.address());
      io.poll();
    }
    near.send_to(asio::buffer(std::to_string(-1)), far.local_endpoint());  // does not go through the link
    std::size_t last = 0;
    Until([&] { return static_cast<int>(came.size()) > count; }, std::chrono::milliseconds(100));
    while (last != came.size()) {
      last = came.size();
      Until([] { return false; }, std::chrono::milliseconds(30));
    }
    far.cancel();
    Until([] { return false; }, std::chrono::milliseconds(1));
    std::erase(came, -1);
    return came;
  }
  Udp::socket far;
  Udp::socket near;
};

TEST_F(DatagramLinkTest, PassesAllInOrderWithoutFaults) {
  const auto came = Through({}, 100, 1);
  EXPECT_EQ(came.size(), 100U);
  EXPECT_TRUE(std::is_sorted(came.begin(), came.end()));
}

TEST_F(DatagramLinkTest, LosesItsShare) {
  const auto came = Through({.loss = 0.3}, 200, 1);
  EXPECT_GT(came.size(), 110U);
  EXPECT_LT(came.size(), 170U);
}

TEST_F(DatagramLinkTest, LetsSomeBeOvertaken) {
  const auto came = Through({.reorder = 0.2}, 100, 1);
  EXPECT_EQ(came.size(), 100U);
  EXPECT_FALSE(std::is_sorted(came.begin(), came.end()));
}

TEST_F(DatagramLinkTest, ACutTakesAll) { EXPECT_TRUE(Through({.cut = true}, 50, 1).empty()); }

TEST_F(DatagramLinkTest, AnswersFindTheirWayBack) {
  DatagramLink link(io, clock, far.local_endpoint(), 1);
  near.send_to(asio::buffer("ask", 3), link.address());
  std::array<char, 16> input{};
  Udp::endpoint sender;
  std::size_t got = 0;
  far.async_receive_from(asio::buffer(input), sender, [&](ErrorCode, std::size_t size) { got = size; });
  ASSERT_TRUE(Until([&] { return got == 3; }));
  far.send_to(asio::buffer("answer", 6), sender);
  std::size_t back = 0;
  near.async_receive_from(asio::buffer(input), sender, [&](ErrorCode, std::size_t size) { back = size; });
  EXPECT_TRUE(Until([&] { return back == 6; }));
  EXPECT_EQ(sender, link.address());
}

}  // namespace
}  // namespace violetwing::lab
