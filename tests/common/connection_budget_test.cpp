// What connections may hold together, and which of them gives way.
#include "common/connection_budget.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace violetwing {
namespace {

constexpr std::size_t kMb = 1'000'000;
constexpr Micros kOverdue = ConnectionBudget::kMinPhaseTime;

// A connection that gives way as it is asked to.
struct Connection {
  Connection(ConnectionBudget& budget, Micros now)
      : claim(
            budget,
            [this](Eviction why) {
              eviction = why;
              if (why == Eviction::kMemory) REQUIRE(claim.Resize(0, 0));
            },
            now) {}

  std::optional<Eviction> eviction;
  ConnectionClaim claim;
};

}  // namespace

TEST_CASE("A connection holds what fits into the budget, and no more") {
  ConnectionBudget budget({10, 4 * kMb});
  Connection connection(budget, 0);
  CHECK(connection.claim.Resize(3 * kMb, 0));
  CHECK_FALSE(connection.claim.Resize(5 * kMb, 0));
  CHECK(connection.claim.bytes() == 3 * kMb);
  CHECK(connection.claim.Resize(1, 0));
  CHECK(budget.bytes() == 1);
}

TEST_CASE("Large claims leave a quarter of the budget to small ones") {
  ConnectionBudget budget({10, 4 * kMb});
  Connection large(budget, 0);
  Connection other_large(budget, 0);
  Connection small(budget, 0);
  CHECK(large.claim.Resize(3 * kMb, 0));
  CHECK_FALSE(other_large.claim.Resize(kMb / 2, 0));
  CHECK(small.claim.Resize(ConnectionBudget::kSmallClaimBytes, 0));
}

TEST_CASE("The request that has been arriving for the longest time gives way, once it is overdue") {
  ConnectionBudget budget({10, 4 * kMb});
  Connection first(budget, 0);
  Connection second(budget, 0);
  Connection next(budget, 0);
  first.claim.Enter(ConnectionPhase::kReading, 0);
  second.claim.Enter(ConnectionPhase::kReading, 1);
  REQUIRE(first.claim.Resize(kMb, 1));
  REQUIRE(second.claim.Resize(kMb, 1));
  CHECK_FALSE(next.claim.Resize(2 * kMb, kOverdue - 1));
  CHECK(next.claim.Resize(2 * kMb, kOverdue + 1));
  CHECK(first.eviction == Eviction::kMemory);
  CHECK_FALSE(second.eviction);
}

TEST_CASE("A request that is being served never gives way for memory") {
  ConnectionBudget budget({10, 4 * kMb});
  Connection served(budget, 0);
  Connection next(budget, 0);
  REQUIRE(served.claim.Resize(3 * kMb, 0));
  served.claim.Enter(ConnectionPhase::kServing, 0);
  CHECK_FALSE(next.claim.Resize(kMb, 100 * kOverdue));
  CHECK_FALSE(served.eviction);
}

TEST_CASE("A response that its peer does not take gives way") {
  ConnectionBudget budget({10, 4 * kMb});
  Connection written(budget, 0);
  Connection next(budget, 0);
  REQUIRE(written.claim.Resize(3 * kMb, 0));
  written.claim.Enter(ConnectionPhase::kWriting, 0);
  CHECK(next.claim.Resize(kMb, kOverdue));
  CHECK(written.eviction == Eviction::kMemory);
}

TEST_CASE("A large claim makes no small one give way") {
  ConnectionBudget budget({100, 4 * kMb});
  std::vector<std::unique_ptr<Connection>> small;
  for (int i = 0; i < 16; ++i) {
    small.push_back(std::make_unique<Connection>(budget, 0));
    small.back()->claim.Enter(ConnectionPhase::kReading, 0);
    REQUIRE(small.back()->claim.Resize(kMb / 4, 0));
  }
  Connection large(budget, 0);
  CHECK_FALSE(large.claim.Resize(kMb / 2, kOverdue));
  CHECK(std::none_of(small.begin(), small.end(), [](const auto& c) { return c->eviction.has_value(); }));
  Connection next(budget, 0);
  CHECK(next.claim.Resize(kMb / 4, kOverdue));
  CHECK(small.front()->eviction == Eviction::kMemory);
}

TEST_CASE("A new connection takes the place of one that is closing, then of the oldest idle one") {
  ConnectionBudget budget({3, kMb});
  Connection idle(budget, 0);
  Connection later_idle(budget, 1);
  Connection closing(budget, 2);
  closing.claim.Enter(ConnectionPhase::kClosing, 2);
  CHECK(budget.AdmitConnection(3));
  CHECK(closing.eviction == Eviction::kConnection);
  const Connection new_connection(budget, 3);
  CHECK(budget.AdmitConnection(4));
  CHECK(idle.eviction == Eviction::kConnection);
  CHECK_FALSE(later_idle.eviction);
}

TEST_CASE("A connection is refused while all others are busy") {
  ConnectionBudget budget({2, kMb});
  Connection served(budget, 0);
  Connection read(budget, 0);
  served.claim.Enter(ConnectionPhase::kServing, 0);
  read.claim.Enter(ConnectionPhase::kReading, 0);
  REQUIRE(read.claim.Resize(1, 0));
  CHECK_FALSE(budget.AdmitConnection(kOverdue - 1));
  CHECK(budget.AdmitConnection(kOverdue));
  CHECK(read.eviction == Eviction::kConnection);
}

TEST_CASE("Whatever connections do, they never hold more than the budget") {
  constexpr ConnectionBudget::Limits kLimits{20, 4 * kMb};
  constexpr int kSteps = 20'000;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    ConnectionBudget budget(kLimits);
    std::vector<std::unique_ptr<Connection>> open;
    Micros now = 0;
    for (int step = 0; step < kSteps; ++step) {
      now += static_cast<Micros>(random() % 50'000);
      const auto closed = [](const auto& c) { return c->eviction == Eviction::kConnection; };
      if (random() % 8 == 0 && budget.AdmitConnection(now)) {
        std::erase_if(open, closed);
        open.push_back(std::make_unique<Connection>(budget, now));
      }
      std::erase_if(open, closed);
      if (open.empty()) continue;
      const std::size_t picked = random() % open.size();
      ConnectionClaim& claim = open[picked]->claim;
      claim.Enter(static_cast<ConnectionPhase>(random() % 5), now);
      const std::size_t before = claim.bytes();
      const std::size_t wanted = random() % (random() % 4 == 0 ? 2 * kMb : kMb / 8);
      const bool granted = claim.Resize(wanted, now);
      INFO("seed " << seed << ", step " << step);
      REQUIRE(claim.bytes() == (granted ? wanted : before));
      if (random() % 16 == 0) open.erase(open.begin() + static_cast<std::ptrdiff_t>(picked));
      std::size_t sum = 0;
      for (const auto& connection : open) sum += connection->claim.bytes();
      REQUIRE(budget.bytes() == sum);
      REQUIRE(sum <= kLimits.max_bytes);
      REQUIRE(budget.connections() == open.size());
      REQUIRE(open.size() <= kLimits.max_connections);
    }
  }
}

}  // namespace violetwing
