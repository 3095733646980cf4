// Zone orders: stored, applied by the other process of an upgrade, and resumed by the next process.
#include "sidecar/operator_orders.hpp"

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

TEST(ZoneOrder, RoundTripsAsTextAndRejectsMalformedText) {
  const ZoneOrder order{true, 1'764'628'000'000'000, 60'000'000, 0.25};
  EXPECT_EQ(ParseOrder(ToText(order)), order);
  for (const char* bad : {"", "drain", "drain 1 2", "drain 1 2 x", "drain 1 2 1.5", "close 1 2 1",
                          "drain -1 2 1", "drain 1 -2 1", "drain 1 2 1 more"})
    EXPECT_FALSE(ParseOrder(bad)) << bad;
}

class OperatorOrdersTest : public ::testing::Test {
 protected:
  // The parts of a sidecar process that apply operators' orders.
  struct Process {
    Process(OperatorOrdersTest& test)
        : balancer(Balancer::Create(test.names.settings, 1, test.now, sink, error)),
          upstream(test.io, Upstream::Limits(), std::make_shared<BufferBudget>(std::size_t{1} << 20)),
          operator_orders(test.io, test.directory, test.names, *balancer, upstream,
                          [&test] { return test.now; }) {
      balancer->OnServers(test.now,
                          {ListUpdate::Kind::kFull, 1, violetwing::balancer::testing::MakeServers(4)});
    }
    std::string error;
    violetwing::balancer::testing::Recorder sink;
    std::unique_ptr<Balancer> balancer;
    Upstream upstream;
    OperatorOrders operator_orders;
  };

  OperatorOrdersTest() {
    names.settings = violetwing::balancer::testing::MakeSettings();
    names.zones = {"east", "west"};
    std::string name = (fs::temp_directory_path() / "by-hand-XXXXXX").string();
    EXPECT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
  }
  ~OperatorOrdersTest() override { fs::remove_all(directory); }

  asio::io_context io;
  bench_adapter::WireSettings names;
  std::string directory;
  Micros now = 1'764'628'000 * kSec;
};

TEST_F(OperatorOrdersTest, AppliesAnOrderInTheOtherProcessAndResumesItInTheNext) {
  Process one(*this);
  Process other(*this);
  one.operator_orders.Poll();
  other.operator_orders.Poll();
  EXPECT_EQ(one.operator_orders.OrderZone("moon", true, 0), Admin::OrderResult::kUnknown);
  EXPECT_EQ(one.operator_orders.OrderZone("west", true, 60 * kSec), Admin::OrderResult::kDone);
  EXPECT_EQ(one.operator_orders.OrderZone("east", true, 0), Admin::OrderResult::kDone);
  EXPECT_EQ(one.operator_orders.OrderZone("west", true, 0), Admin::OrderResult::kNoServerElsewhere);
  EXPECT_EQ(one.operator_orders.OrderZone("east", false, 0), Admin::OrderResult::kDone);
  now += 15 * kSec;
  EXPECT_TRUE(RunUntil(io, [&] { return other.balancer->ZoneTrafficShare(now, 1) == 0.75; }));
  EXPECT_EQ(other.operator_orders.ZoneMetrics(), "sidecar.zone.west.open=0.750000\n");
  now += 15 * kSec;
  Process next(*this);  // starts after both others ended
  next.operator_orders.Poll();
  EXPECT_DOUBLE_EQ(next.balancer->ZoneTrafficShare(now, 1), 0.5);
  EXPECT_EQ(next.operator_orders.OrderZone("west", false, 8 * kSec), Admin::OrderResult::kDone);
  EXPECT_DOUBLE_EQ(next.balancer->ZoneTrafficShare(now, 1), 0.5625);  // continues from its previous share
  now += 8 * kSec;
  EXPECT_TRUE(RunUntil(io, [&] { return fs::is_empty(directory); }));  // a completed return is deleted
  EXPECT_TRUE(RunUntil(io, [&] { return other.operator_orders.ZoneMetrics().empty(); }));
}

TEST_F(OperatorOrdersTest, LogsAMalformedOrderFileOnceAndIgnoresIt) {
  Process one(*this);
  std::ofstream(fs::path(directory) / "fennelhollow-zone-77657374") << "drain soon";  // "west"
  ::testing::internal::CaptureStderr();
  one.operator_orders.Poll();
  RunFor(io, 500ms);
  const std::string logged = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(std::count(logged.begin(), logged.end(), '\n'), 1) << logged;
  EXPECT_EQ(one.balancer->ZoneTrafficShare(now, 1), 1);
}

}  // namespace
}  // namespace violetwing::sidecar
