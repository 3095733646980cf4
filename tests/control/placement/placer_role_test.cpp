// When the placer role plans, and when it makes the calls of earlier plans.
#include "control/placement/placer_role.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace violetwing {
namespace {

using nlohmann::json;
using Kind = PlacementCall::Kind;

constexpr Micros kSecond = 1'000'000;
constexpr duties::FencingToken kToken = 1;

std::string ModelName(int i) { return "m" + std::to_string(i); }

// A service with the given number of models and servers, and a placer role that has received each server's
// report.
class LargeService {
 public:
  LargeService(int models, int servers) {
    json specs = json::array();
    for (int i = 0; i < models; ++i)
      specs.push_back({{"name", ModelName(i)}, {"weights_mb", 10}, {"load_time_s", 1.0}});
    const json document{
        {"version", 1},
        {"routes", json::array()},
        {"backends",
         {{{"name", "llm"}, {"runtime", {{"models", specs}, {"weights_mb", 100}, {"loads_per_s", 100}}}}}}};
    configuration::Change change;
    change.body = document.dump();
    REQUIRE(configuration_.Apply(change).status == configuration::ChangeStatus::kAccepted);
    for (int i = 0; i < servers; ++i) {
      Instance instance;
      instance.id = "i-" + std::to_string(i);
      instance.backend = "llm";
      instance.address = "10.0.0.1:" + std::to_string(i + 1);
      table_.Heartbeat(instance, now);
    }
    Tick();
    for (int i = 0; i < servers; ++i)
      role_.OnReport("i-" + std::to_string(i), ServerReport{false, 0, {}}, now);
    now += kSecond;
    Tick();
  }

  void Tick() { role_.Tick(kToken, configuration_, table_, now); }
  void AddWaitingRequest(int model) { role_.RecordDemand({{"llm", ModelName(model), 1, 10, 1}}, now); }
  // The latest order stays without an answer; the placer requests the server's report 250 ms later.
  void LoseLatestAnswer() { role_.OnOrderAnswered(orders.back(), 0, now); }

  Micros now = 10 * kSecond;
  std::vector<PlacementCall> orders;
  int report_requests = 0;

 private:
  configuration::State configuration_;
  InstanceTable table_{"control", 10 * kSecond};
  PlacerRole role_{{[this](const PlacementCall& call, duties::FencingToken) { orders.push_back(call); },
                    [this](const PlacementCall&) { ++report_requests; }}};
};

}  // namespace

TEST_CASE("DRAIN: the placer does not plan for each of hundreds of demand reports per second") {
  LargeService service(1200, 320);
  service.AddWaitingRequest(0);
  service.Tick();
  CHECK(service.orders.empty());  // it has already planned at this time
  service.now += 10'000;
  service.Tick();
  CHECK(service.orders.empty());
  service.now += 40'000;
  service.Tick();
  REQUIRE(service.orders.size() == 1);
  CHECK(service.orders.back().model == ModelName(0));
}

TEST_CASE("Between two plans, calls of the earlier plan are made when they are due") {
  LargeService service(1200, 320);
  service.now += 50'000;
  service.AddWaitingRequest(0);
  service.Tick();
  REQUIRE(service.orders.size() == 1);
  service.LoseLatestAnswer();
  service.now += 240'000;
  service.Tick();
  const int before = service.report_requests;
  service.now += 10'000;  // the report is due, the next plan is not
  service.Tick();
  CHECK(service.report_requests == before + 1);
}

TEST_CASE("With few models and servers, the placer plans for each waiting request") {
  LargeService service(4, 4);
  for (int model = 0; model < 3; ++model) {
    service.now += 1'000;
    service.AddWaitingRequest(model);
    service.Tick();
    CHECK(service.orders.size() == static_cast<std::size_t>(model) + 1);
  }
}

}  // namespace violetwing
