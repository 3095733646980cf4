// What operators say of zones: kept, followed by the other process, and taken up by the next.
#include "sidecar/by_hand.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "balancer/harness.hpp"
#include "sidecar/loopback.hpp"

namespace violetwing::sidecar {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using violetwing::balancer::testing::kSec;
namespace fs = std::filesystem;

TEST(ZoneOrder, IsReadAsItWasWrittenAndNonsenseIsNone) {
  const ZoneOrder order{true, 1'764'628'000'000'000, 60'000'000, 0.25};
  EXPECT_EQ(ParseOrder(ToText(order)), order);
  for (const char* bad : {"", "drain", "drain 1 2", "drain 1 2 x", "drain 1 2 1.5", "close 1 2 1",
                          "drain -1 2 1", "drain 1 -2 1", "drain 1 2 1 more"})
    EXPECT_FALSE(ParseOrder(bad)) << bad;
}

class ByHandTest : public ::testing::Test {
 protected:
  // A process of the sidecar, as far as this goes.
  struct Process {
    Process(ByHandTest& test)
        : balancer(Balancer::Create(test.names.settings, 1, test.now, sink, error)),
          upstream(test.io, Upstream::Limits(), std::make_shared<Budget>(std::size_t{1} << 20)),
          by_hand(test.io, test.directory, test.names, *balancer, upstream, [&test] { return test.now; }) {
      balancer->OnServers(test.now,
                          {ListUpdate::Kind::kFull, 1, violetwing::balancer::testing::MakeServers(4)});
    }
    std::string error;
    violetwing::balancer::testing::Recorder sink;
    std::unique_ptr<Balancer> balancer;
    Upstream upstream;
    ByHand by_hand;
  };

  ByHandTest() {
    names.settings = violetwing::balancer::testing::MakeSettings();
    names.zones = {"east", "west"};
    std::string name = (fs::temp_directory_path() / "by-hand-XXXXXX").string();
    EXPECT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
  }
  ~ByHandTest() override { fs::remove_all(directory); }

  asio::io_context io;
  bench_adapter::WireSettings names;
  std::string directory;
  Micros now = 1'764'628'000 * kSec;
};

TEST_F(ByHandTest, AnOrderIsFollowedByTheOtherProcessAndGoesOnInTheNext) {
  Process one(*this);
  Process other(*this);
  one.by_hand.Follow();
  other.by_hand.Follow();
  EXPECT_EQ(one.by_hand.OrderZone("moon", true, 0), Admin::Verdict::kNeverListed);
  EXPECT_EQ(one.by_hand.OrderZone("west", true, 60 * kSec), Admin::Verdict::kDone);
  EXPECT_EQ(one.by_hand.OrderZone("east", true, 0), Admin::Verdict::kDone);
  EXPECT_EQ(one.by_hand.OrderZone("west", true, 0), Admin::Verdict::kLast);
  EXPECT_EQ(one.by_hand.OrderZone("east", false, 0), Admin::Verdict::kDone);
  now += 15 * kSec;
  EXPECT_TRUE(RunUntil(io, [&] { return other.balancer->ZoneTrafficShare(now, 1) == 0.75; }));
  EXPECT_EQ(other.by_hand.Figures(), "sidecar.zone.west.open=0.750000\n");
  now += 15 * kSec;
  Process next(*this);  // after both are gone
  next.by_hand.Follow();
  EXPECT_DOUBLE_EQ(next.balancer->ZoneTrafficShare(now, 1), 0.5);
  EXPECT_EQ(next.by_hand.OrderZone("west", false, 8 * kSec), Admin::Verdict::kDone);
  EXPECT_DOUBLE_EQ(next.balancer->ZoneTrafficShare(now, 1), 0.5625);  // from where it was
  now += 8 * kSec;
  EXPECT_TRUE(RunUntil(io, [&] { return fs::is_empty(directory); }));  // nothing is left of it
  EXPECT_TRUE(RunUntil(io, [&] { return other.by_hand.Figures().empty(); }));
}

TEST_F(ByHandTest, AFileThatHoldsNoOrderIsOneLineAndNoOrder) {
  Process one(*this);
  std::ofstream(fs::path(directory) / "fennelhollow-zone-77657374") << "drain soon";  // "west"
  ::testing::internal::CaptureStderr();
  one.by_hand.Follow();
  RunFor(io, 500ms);
  const std::string said = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << said;
  EXPECT_EQ(one.balancer->ZoneTrafficShare(now, 1), 1);
}

}  // namespace
}  // namespace violetwing::sidecar
