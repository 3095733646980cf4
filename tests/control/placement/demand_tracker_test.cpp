// Averages of the demand for models, and the order of the models that requests are waiting for.
#include "control/placement/demand_tracker.hpp"

#include <catch2/catch.hpp>

#include "control/placement/weights_name.hpp"

namespace violetwing {
namespace {

constexpr Micros kSecond = 1'000'000;
using Names = std::vector<std::string>;

TEST_CASE("Demand averages decay, the steady average more slowly") {
  DemandTracker demand;
  demand.Record({"llm", "m", 6, 600, 0}, 10 * kSecond);
  const DemandStats first = demand.Get("llm", "m", 10 * kSecond);
  CHECK(first.requests_per_second == Approx(6 / 1.5));
  CHECK(first.tokens_per_second == Approx(600 / 1.5));
  CHECK(first.steady_requests_per_second == Approx(6 / 15.0));
  const DemandStats later = demand.Get("llm", "m", 20 * kSecond);
  CHECK(later.requests_per_second < 0.01);
  CHECK(later.steady_requests_per_second > 0.2);
  CHECK(later.last_request_at == 10 * kSecond);
}

TEST_CASE("Demand for an adapter counts for its model, and a name that was never requested has no demand") {
  DemandTracker demand;
  demand.Record({"llm", WeightsName("m", "a1"), 3, 300, 0}, kSecond);
  CHECK(demand.Get("llm", "m", kSecond).requests_per_second == Approx(2));
  CHECK(demand.Get("llm", "m/a1", kSecond).requests_per_second == Approx(2));
  CHECK(demand.Get("llm", "other", kSecond).requests_per_second == 0);
  CHECK(demand.Get("other", "m", kSecond).last_request_at == 0);
}

TEST_CASE(
    "Names are listed as waiting, the longest waiting first, until they are loaded or no longer reported") {
  DemandTracker demand;
  demand.Record({"llm", "m2", 1, 10, 1}, 10 * kSecond);
  demand.Record({"llm", "m1", 1, 10, 1}, 10 * kSecond + 1);
  demand.Record({"llm", "m2", 0, 0, 1}, 10 * kSecond + kSecond / 2);
  CHECK(demand.WaitingNames("llm", 10 * kSecond + kSecond / 2) == Names{"m2", "m1"});
  CHECK(demand.WaitingNames("llm", 11 * kSecond + 1) == Names{"m2"});
  demand.OnLoaded("llm", "m2");
  CHECK(demand.WaitingNames("llm", 11 * kSecond + 1).empty());
  CHECK(demand.WaitingNames("other", 11 * kSecond).empty());
}

}  // namespace
}  // namespace violetwing
