// Tests of the decision module. Each guards against a failure, most of them observed in simulated
// deployments.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "balancer/harness.hpp"

namespace violetwing::balancer::testing {
namespace {

using Kind = Action::Kind;

// Drives a balancer with servers one event at a time.
class BalancerTest : public ::testing::Test {
 protected:
  // Returns the actions since the last call, without the timer that follows each send for its latency target.
  std::vector<Action> TakeActions() {
    std::vector<Action> actions = sink_.Take();
    for (std::size_t i = 1; i < actions.size(); ++i)
      if (actions[i - 1].kind == Kind::kSend && actions[i].kind == Kind::kTimer)
        actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(i));
    return actions;
  }
  void Start(const Settings& settings, int servers, std::uint64_t seed = 7) {
    std::string error;
    balancer_ = Balancer::Create(settings, seed, now_, sink_, error);
    ASSERT_NE(balancer_, nullptr) << error;
    List(ListUpdate::Kind::kStale, MakeServers(servers));
    sink_.Take();
  }
  void List(ListUpdate::Kind kind, const std::vector<ServerInfo>& servers) {
    balancer_->OnServers(now_, {kind, 1, servers});
  }
  void Deliver(const std::string& id, int request_class = 0, Micros budget = 5 * kSec,
               const std::string& key = "") {
    Request request;
    request.key = key;
    request.id = id;
    request.request_class = request_class;
    request.budget = budget;
    balancer_->OnRequest(now_, request);
  }
  std::vector<Action> Arrive(const std::string& id, int request_class = 0, Micros budget = 5 * kSec,
                             const std::string& key = "") {
    Deliver(id, request_class, budget, key);
    return TakeActions();
  }
  std::vector<Action> Resolve(const std::string& id, int attempt, Result result, bool settled = false) {
    balancer_->OnOutcome(now_, {id, attempt, result, 10 * kMs, settled});
    return TakeActions();
  }
  void Complete(const std::string& id, Micros ms, Result result = Result::kSuccess) {
    balancer_->OnOutcome(now_, {id, 0, result, ms * kMs, true});
  }
  // Delivers this many immediate responses in the first window, which raises the initial concurrency limit by
  // as many.
  void RampUp(int answers) {
    for (int i = 0; i < answers; ++i) {
      const std::string id = "carried" + std::to_string(i);
      Deliver(id);
      Resolve(id, 0, Result::kSuccess, true);
    }
  }
  std::vector<Action> FireTimer(const Action& timer) {
    now_ += timer.time;
    balancer_->OnTimer(now_, timer.token);
    return TakeActions();
  }

  Micros now_ = 100 * kSec;
  Recorder sink_;
  std::unique_ptr<Balancer> balancer_;
};

TEST_F(BalancerTest, SendsImmediatelyAndDropsServedRequests) {
  Start(MakeSettings(), 20);
  const auto sent = Arrive("r1");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].kind, Kind::kSend);
  EXPECT_TRUE(Resolve("r1", 0, Result::kSuccess, true).empty());
  EXPECT_EQ(balancer_->tracked_requests(), 0u);
}

TEST_F(BalancerTest, RetriesRejectedRequestOnAnotherServerAfterBackoff) {
  Start(MakeSettings(), 20);
  const std::string first = Arrive("r1")[0].server;
  const auto wait = Resolve("r1", 0, Result::kRejected);
  ASSERT_EQ(wait.size(), 1u);
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  const auto again = FireTimer(wait[0]);
  ASSERT_EQ(again.size(), 1u);
  ASSERT_EQ(again[0].kind, Kind::kSend);
  EXPECT_NE(again[0].server, first);
}

// Otherwise clients run out of connections and get no response at all.
TEST_F(BalancerTest, RejectsRequestsNearMaxOpenRequests) {
  Settings settings = MakeSettings();
  settings.max_open_requests = 20;
  Start(settings, 20);
  RampUp(20);
  std::vector<std::string> sent;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id);
    ASSERT_EQ(actions.size(), 1u);
    if (actions[0].kind == Kind::kSend) sent.push_back(id);
    if (actions[0].kind == Kind::kReject) {
      EXPECT_GT(actions[0].time, 0);
    }
  }
  EXPECT_EQ(sent.size(), 17u);
  ASSERT_EQ(Arrive("more")[0].kind, Kind::kReject);
  Resolve(sent[0], 0, Result::kSuccess, true);
  EXPECT_EQ(Arrive("again")[0].kind, Kind::kSend);
}

// The predecessor process holds most of the open requests until it has answered them.
TEST_F(BalancerTest, RaisesOpenRequestLimitGraduallyAfterTakeover) {
  Settings settings = MakeSettings();
  settings.max_open_requests = 20;
  Start(settings, 20);
  const auto servers = MakeServers(20);
  balancer_->OnServers(now_, {ListUpdate::Kind::kStale, 1, servers, /*awaited=*/true});
  const auto count_admitted = [&](const std::string& name) {
    int count = 0;
    for (int i = 0; i < 20; ++i) count += Arrive(name + std::to_string(i))[0].kind != Kind::kReject;
    return count;
  };
  EXPECT_EQ(count_admitted("a"), 3);
  now_ += settings.classes[0].latency_target / 2;
  EXPECT_EQ(count_admitted("b"), 7);
  now_ += settings.classes[0].latency_target;
  EXPECT_EQ(count_admitted("c"), 7);
}

TEST_F(BalancerTest, RejectsWithRetryAfterAtAttemptLimit) {
  Settings settings = MakeSettings();
  settings.max_attempts = 3;
  Start(settings, 20);
  auto actions = Arrive("r1");
  for (int attempt = 0;; ++attempt) {
    ASSERT_EQ(actions.size(), 1u);
    ASSERT_EQ(actions[0].kind, Kind::kSend);
    actions = Resolve("r1", attempt, Result::kRejected);
    ASSERT_EQ(actions.size(), 1u);
    if (attempt == 2) break;
    ASSERT_EQ(actions[0].kind, Kind::kTimer);
    actions = FireTimer(actions[0]);
  }
  EXPECT_EQ(actions[0].kind, Kind::kReject);
  EXPECT_GT(actions[0].time, 0);
  EXPECT_LE(actions[0].time, settings.max_retry_after);
  EXPECT_EQ(balancer_->tracked_requests(), 0u);
}

TEST_F(BalancerTest, RejectsWhenBackoffExceedsRemainingBudget) {
  Start(MakeSettings(), 20);
  Arrive("r1", 0, 6 * kMs);
  now_ += 5 * kMs;
  const auto end = Resolve("r1", 0, Result::kRejected);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kReject);
}

TEST_F(BalancerTest, RejectsBeforeDeadlineWithoutServers) {
  Start(MakeSettings(), 0);
  auto actions = Arrive("r1");
  while (actions.size() == 1 && actions[0].kind == Kind::kTimer) actions = FireTimer(actions[0]);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kReject);
  EXPECT_LT(now_, 105 * kSec);
  EXPECT_EQ(balancer_->tracked_requests(), 0u);
}

TEST_F(BalancerTest, NeverRetriesUnsafeRequestThatMayHaveRun) {
  for (const Result result : {Result::kReset, Result::kError, Result::kTimeout, Result::kCancelled}) {
    Start(MakeSettings(), 20);
    Arrive("r", 2);
    const auto end = Resolve("r", 0, result);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].kind, Kind::kFail);
  }
  // These prove that it did not run, so it may be retried.
  for (const Result result : {Result::kUnreachable, Result::kNoDescriptor}) {
    Start(MakeSettings(), 20);
    Arrive("r", 2);
    const auto wait = Resolve("r", 0, result);
    ASSERT_EQ(wait.size(), 1u);
    EXPECT_EQ(wait[0].kind, Kind::kTimer);
  }
}

// In two deployments, a rejection was taken as proof that the request had not run, which it was not there.
TEST_F(BalancerTest, FailsUnsafeRequestWhenRejectionProvesNothing) {
  Settings settings = MakeSettings();
  settings.rejected_may_have_run = true;
  Start(settings, 20);
  Arrive("unsafe", 2);
  const auto end = Resolve("unsafe", 0, Result::kRejected);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kFail);
}

// The window may contain no other server of the group; the retry then goes to one outside the window.
TEST_F(BalancerTest, RetryReachesDedupGroupOutsideWindow) {
  Settings settings = MakeSettings();
  settings.rejected_may_have_run = true;
  settings.classes[1].group = DedupGroup::kCell;
  auto servers = MakeServers(20);
  for (std::size_t i = 0; i < servers.size(); ++i) servers[i].cell = static_cast<std::int64_t>(i % 10);
  Start(settings, 0);
  List(ListUpdate::Kind::kFull, servers);  // the cell's other server is 10 positions away, outside the window
  const std::string first = Arrive("r", 1)[0].server;
  const auto wait = Resolve("r", 0, Result::kRejected);
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  const auto again = FireTimer(wait[0]);
  ASSERT_EQ(again[0].kind, Kind::kSend);
  EXPECT_EQ(std::abs(std::stoi(again[0].server.substr(1)) - std::stoi(first.substr(1))), 10);
}

TEST_F(BalancerTest, RunsRequestsOfOneKeySequentially) {
  Settings settings = MakeSettings();
  settings.classes[0].sequential = true;
  settings.sequential_settle_time = 300 * kMs;
  Start(settings, 20);
  EXPECT_EQ(Arrive("a", 0, 5 * kSec, "k")[0].kind, Kind::kSend);
  EXPECT_EQ(Arrive("b", 0, 5 * kSec, "k")[0].kind, Kind::kTimer);
  EXPECT_EQ(Arrive("c", 0, 5 * kSec, "k")[0].kind, Kind::kTimer);
  EXPECT_EQ(Arrive("other", 0, 5 * kSec, "j")[0].kind, Kind::kSend);
  EXPECT_EQ(Arrive("free", 0)[0].kind, Kind::kSend);
  const auto next = Resolve("a", 0, Result::kSuccess, true);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].kind, Kind::kSend);
  EXPECT_EQ(next[0].request, "b");
  // The client of the running request disconnects. Its attempt may still be running, even after the reset.
  balancer_->OnClientDisconnected(now_, "b");
  EXPECT_TRUE(sink_.Take().empty());
  const auto settle = Resolve("b", 0, Result::kReset, true);
  ASSERT_EQ(settle.size(), 1u);
  ASSERT_EQ(settle[0].kind, Kind::kTimer);
  EXPECT_EQ(settle[0].time, 300 * kMs);
  const auto last = FireTimer(settle[0]);
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].request, "c");
  Resolve("c", 0, Result::kSuccess, true);
  Resolve("other", 0, Result::kSuccess, true);
  Resolve("free", 0, Result::kSuccess, true);
  EXPECT_EQ(balancer_->tracked_requests(), 0u);
}

TEST_F(BalancerTest, RejectsRequestQueuedForKeyBeforeItsDeadline) {
  Settings settings = MakeSettings();
  settings.classes[2].sequential = true;
  Start(settings, 20);
  Arrive("a", 2, 5 * kSec, "k");
  const auto wait = Arrive("b", 2, 1 * kSec, "k");
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  EXPECT_LT(wait[0].time, 1 * kSec);
  const auto end = FireTimer(wait[0]);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kReject);  // safe, as it never ran
  EXPECT_EQ(end[0].request, "b");
}

TEST_F(BalancerTest, RetriesDeduplicatedRequestOnlyInGroupAndDedupWindow) {
  Start(MakeSettings(), 20);
  std::map<std::string, int> zone;
  for (const ServerInfo& info : MakeServers(20)) zone[info.id] = info.zone;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sent = Arrive(id, 1);
    ASSERT_EQ(sent[0].kind, Kind::kSend);
    const auto wait = Resolve(id, 0, Result::kReset);
    ASSERT_EQ(wait[0].kind, Kind::kTimer);
    const auto again = FireTimer(wait[0]);
    ASSERT_EQ(again[0].kind, Kind::kSend);
    EXPECT_EQ(zone[again[0].server], zone[sent[0].server]);
    now_ += 3 * kSec;  // past the deduplication window
    const auto end = Resolve(id, 1, Result::kReset);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].kind, Kind::kFail);
  }
}

TEST_F(BalancerTest, SendsNothingToDrainingOrRemovedServer) {
  Start(MakeSettings(), 4);
  Arrive("waits");
  const auto wait = Resolve("waits", 0, Result::kRejected);
  auto servers = MakeServers(4);
  servers[0].state = ServerInfo::State::kDraining;
  servers[1].state = ServerInfo::State::kRemoved;
  List(ListUpdate::Kind::kDelta, {servers[0], servers[1]});
  std::set<std::string> used;
  used.insert(FireTimer(wait[0])[0].server);
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id);
    if (actions[0].kind == Kind::kSend) used.insert(actions[0].server);
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_EQ(used, (std::set<std::string>{"s02", "s03"}));
}

// In an overload, the sends far exceeded the servers' capacity, and a cold server's share of the sends made
// it fail. Its share is therefore based on successes.
TEST_F(BalancerTest, SlowStartFollowsSuccessesOfWarmServers) {
  Start(MakeSettings(), 10);
  auto servers = MakeServers(10);
  servers[0].started = now_;
  List(ListUpdate::Kind::kDelta, {servers[0]});
  int cold = 0;
  int served = 0;
  for (int i = 0; i < 4000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sent = Arrive(id);
    if (sent.empty() || sent[0].kind != Kind::kSend) continue;
    if (sent[0].server == "s00") ++cold;
    const bool serve = i % 4 == 0;  // one of four sends is served
    served += serve && sent[0].server != "s00";
    Resolve(id, 0, serve ? Result::kSuccess : Result::kReset, true);
  }
  EXPECT_GT(cold, 0);
  EXPECT_LE(cold, 1 + served / 2.0 * MakeSettings().cold_share);  // 2 = warm servers in the window
}

// With 100 sidecars and six in ten servers replaced, each cold server got its share of an average that the
// cold servers themselves kept low. They idled at 6 requests per second while the warm ones were overloaded.
TEST_F(BalancerTest, ServersInSlowStartDoNotLowerEachOthersShare) {
  Start(MakeSettings(), 3);
  auto servers = MakeServers(3);
  servers[0].started = servers[1].started = now_;
  List(ListUpdate::Kind::kDelta, {servers[0], servers[1]});
  std::map<std::string, int> sent;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id);
    if (actions[0].kind != Kind::kSend) continue;
    ++sent[actions[0].server];
    Resolve(id, 0, Result::kSuccess, true);
  }
  const double share = MakeSettings().cold_share * sent["s02"];
  for (const char* const cold : {"s00", "s01"}) {
    EXPECT_GE(sent[cold], 0.75 * share);
    EXPECT_LE(sent[cold], share + 1);
  }
}

// In the same runs, overloaded servers served almost nothing, and the average over them starved the cold
// servers.
TEST_F(BalancerTest, EjectedServerDoesNotLowerSlowStartShare) {
  Start(MakeSettings(), 3);
  auto servers = MakeServers(3);
  servers[0].started = now_;
  List(ListUpdate::Kind::kDelta, {servers[0]});
  std::map<std::string, int> sent;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id);
    if (actions[0].kind != Kind::kSend) continue;
    ++sent[actions[0].server];
    Resolve(id, 0, actions[0].server == "s01" ? Result::kUnreachable : Result::kSuccess, true);
  }
  const double share = MakeSettings().cold_share * sent["s02"];
  EXPECT_LT(sent["s01"], 20);
  EXPECT_GE(sent["s00"], 0.75 * share);
  EXPECT_LE(sent["s00"], share + 1);
}

// Otherwise no credit arises without warm servers, and cold servers idle next to overloaded ones.
TEST_F(BalancerTest, SlowStartIsLimitedByConcurrencyWithoutHealthyWarmServer) {
  Start(MakeSettings(), 3);
  auto servers = MakeServers(3);
  servers[0].started = now_;
  List(ListUpdate::Kind::kDelta, {servers[0]});
  int served = 0;
  std::vector<std::string> in_flight;
  for (int i = 0; i < 600; ++i) {
    now_ += 1 * kMs;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id);
    if (actions[0].kind == Kind::kSend && actions[0].server != "s00") Resolve(id, 0, Result::kTimeout);
    if (actions[0].kind == Kind::kSend && actions[0].server == "s00") in_flight.push_back(id);
    // cold_share of the limit while the others are slow, and the initial credit.
    EXPECT_LE(in_flight.size(), 7u);
    if (i % 10 > 0) continue;
    for (const std::string& done : std::exchange(in_flight, {})) {
      Resolve(done, 0, Result::kSuccess, true);
      ++served;
    }
  }
  EXPECT_GT(served, 20);
}

// A restarted sidecar has only its stored list, and many servers may be in slow start at once.
TEST_F(BalancerTest, RestartedSidecarDoesNotFloodColdServers) {
  auto servers = MakeServers(4);
  servers[0].started = servers[1].started = now_ - 100 * kMs;
  std::string error;
  balancer_ = Balancer::Create(MakeSettings(), 3, now_, sink_, error);
  List(ListUpdate::Kind::kStale, servers);
  std::map<std::string, int> sent;
  for (int i = 0; i < 300; ++i) {
    const auto actions = Arrive("r" + std::to_string(i), 2);
    if (actions[0].kind == Kind::kSend) ++sent[actions[0].server];
  }
  EXPECT_LE(sent["s00"], 1);
  EXPECT_LE(sent["s01"], 1);
  EXPECT_EQ(sent["s02"] + sent["s03"], 12);  // their parts of the initial limit of ten and its slack
}

TEST_F(BalancerTest, ChoosesRandomlyByCapacityShareWhenAllServersAreCold) {
  Start(MakeSettings(), 4);
  auto servers = MakeServers(4);
  for (auto& server : servers) server.started = now_;
  List(ListUpdate::Kind::kDelta, servers);
  int sent = 0;
  for (int i = 0; i < 400; ++i) sent += Arrive("r" + std::to_string(i))[0].kind == Kind::kSend;
  EXPECT_GE(sent, 12);  // three each, of the initial limit of ten and its slack
}

// In overloads, all responses were late, and clients retried each of them on top of the load.
TEST_F(BalancerTest, RejectsLowestValueFirstUnderOverload) {
  Settings settings = MakeSettings();
  settings.classes[3].value = 10;
  Start(settings, 10);
  std::map<int, int> rejected;
  for (int i = 0; i < 600; ++i) {
    const int request_class = i % 2 == 0 ? 0 : 3;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id, request_class);
    if (actions[0].kind == Kind::kReject) {
      EXPECT_GT(actions[0].time, 0);
      ++rejected[request_class];
      continue;
    }
    // Responses are late while more than half of the load, the servers' capacity, is admitted.
    const Micros elapsed = rejected[0] * 2 < i / 2 ? 900 * kMs : 200 * kMs;
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(rejected[0], 100);
  EXPECT_LT(rejected[3], rejected[0] / 5);
  // After the overload, everything is admitted again.
  for (int i = 0; i < 400; ++i) {
    const std::string id = "q" + std::to_string(i);
    if (Arrive(id)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 50 * kMs, true});
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Arrive("z" + std::to_string(i))[0].kind, Kind::kSend);
}

// At low load, low-value requests were rejected permanently where idle servers take a fifth of the latency
// target.
TEST_F(BalancerTest, UnloadedLatencyIsNoOverload) {
  Settings settings = MakeSettings();
  settings.classes[3].value = 10;
  Start(settings, 10);
  int rejected = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, i % 2 == 0 ? 0 : 3)[0].kind != Kind::kSend) {
      ++rejected;
      continue;
    }
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 200 * kMs, true});
  }
  EXPECT_LT(rejected, 4);
}

// At low load, one expensive request made a sidecar reject the next ones.
TEST_F(BalancerTest, SingleLateResponseCausesNoRejection) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 50; ++i) {
    const std::string id = "r" + std::to_string(i);
    ASSERT_EQ(Arrive(id)[0].kind, Kind::kSend);
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, (i == 45 ? 3000 : 50) * kMs, true});
  }
}

// Where crossing zones has a price, two thirds of the requests crossed without need.
TEST_F(BalancerTest, PrefersOwnZoneAndSpillsOverUnderOverload) {
  Settings settings = MakeSettings();
  settings.zone = 0;
  settings.price_cross_zone = 0.2;
  settings.classes[0].value = 0.1;  // below the price of crossing, as the mean value is near 1
  Start(settings, 20);
  std::map<std::string, int> zone;
  for (const ServerInfo& info : MakeServers(20)) zone[info.id] = info.zone;
  int own_zone = 0;
  int other_zone = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const int request_class = i % 6 == 0 ? 0 : 2;
    const auto actions = Arrive(id, request_class);
    if (actions[0].kind != Kind::kSend) continue;
    const bool crossed = zone[actions[0].server] == 1;
    if (i < 100) {
      EXPECT_FALSE(crossed);
    } else if (crossed) {
      EXPECT_NE(request_class, 0) << "not worth the price";
    }
    ++(crossed ? other_zone : own_zone);
    const Micros elapsed = !crossed && i >= 100 ? 2000 * kMs : 50 * kMs;  // the own zone becomes overloaded
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(own_zone, 100);
  EXPECT_GT(other_zone, 200);
}

// Some servers have a rate limit on one class, with capacity for the others.
TEST_F(BalancerTest, RejectionsOfOneClassDoNotAffectOtherClasses) {
  Start(MakeSettings(), 4);
  int rejected = 0;
  int others = 0;
  for (int i = 0; i < 800; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const int request_class = i % 2 == 0 ? 2 : 0;
    const auto sent = Arrive(id, request_class);
    ASSERT_EQ(sent[0].kind, Kind::kSend);
    if (request_class == 2 && sent[0].server == "s01") {
      ++rejected;
      Resolve(id, 0, Result::kRejected);
      balancer_->OnClientDisconnected(now_, id);
    } else {
      others += sent[0].server == "s01";
      Resolve(id, 0, Result::kSuccess, true);
    }
  }
  EXPECT_LT(rejected, 25);  // 100 without learning from rejections
  EXPECT_GT(rejected, 2);   // enough attempts to detect the end of the limit
  EXPECT_GT(others, 60);    // the mean is 100 of the other class
}

// With sequential classes, the key of a disconnected client stayed blocked until its attempt timed out.
TEST_F(BalancerTest, CancelsAttemptsOfEndedRequest) {
  Settings settings = MakeSettings();
  settings.cancel = true;
  Start(settings, 4);
  Arrive("r1");
  balancer_->OnClientDisconnected(now_, "r1");
  const auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kCancel);
  balancer_->OnClientDisconnected(now_, "r1");
  EXPECT_TRUE(sink_.Take().empty());  // cancelled only once
  EXPECT_TRUE(Resolve("r1", 0, Result::kCancelled, true).empty());
  EXPECT_EQ(balancer_->tracked_requests(), 0u);
}

// After a crash, the list contains the dead server for seconds, and each attempt to it is lost.
TEST_F(BalancerTest, EjectsDeadServerWithExponentialBackoff) {
  Start(MakeSettings(), 4);
  int attempts = 0;
  for (int i = 0; i < 400; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const std::string server = Arrive(id)[0].server;
    if (server == "s01") {
      ++attempts;
      Resolve(id, 0, Result::kUnreachable);
      balancer_->OnClientDisconnected(now_, id);
    } else {
      Resolve(id, 0, Result::kSuccess, true);
    }
  }
  EXPECT_LT(attempts, 25);  // 100 without ejection
  EXPECT_GT(attempts, 2);
  int back = 0;
  for (int i = 0; i < 4000; ++i) {  // it is back: one successful trial ends the ejection
    now_ += 50 * kMs;
    const std::string id = "q" + std::to_string(i);
    back += Arrive(id)[0].server == "s01";
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_GT(back, 100);
}

// With 100 sidecars, each tried an overloaded server occasionally, and together they kept it from recovering.
TEST_F(BalancerTest, EjectionTimeGrowsWithSidecarsPerServer) {
  // Attempts to s30, which is dead, in 10 s.
  const auto count_attempts = [&](std::uint32_t sidecar_count, std::uint32_t rank) {
    int count = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Settings settings = MakeSettings();
      settings.sidecar_count = sidecar_count;
      settings.rank = rank;
      Start(settings, 60, seed);
      for (int i = 0; i < 1000; ++i) {
        now_ += 10 * kMs;
        const std::string id = "r" + std::to_string(i);
        const bool dead = Arrive(id, 2)[0].server == "s30";
        count += dead;
        Resolve(id, 0, dead ? Result::kUnreachable : Result::kSuccess, true);
      }
    }
    return count;
  };
  const int alone = count_attempts(2, 1);
  const int shared = count_attempts(100, 50);
  EXPECT_GT(shared, 20);  // each sidecar keeps trying
  EXPECT_LT(shared, 0.8 * alone);
}

// When a zone came back, its servers were ejected for failures of their previous processes.
TEST_F(BalancerTest, RestartedServerIsNotEjectedForItsOldProcess) {
  Start(MakeSettings(), 3);
  for (int i = 0; i < 2000; ++i) {
    now_ += 10 * kMs;
    const std::string id = "r" + std::to_string(i);
    Resolve(id, 0, Arrive(id, 2)[0].server == "s01" ? Result::kUnreachable : Result::kSuccess, true);
  }
  auto servers = MakeServers(3);
  servers[1].started = now_ - MakeSettings().warm_after;
  List(ListUpdate::Kind::kDelta, {servers[1]});
  int sent = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string id = "q" + std::to_string(i);
    sent += Arrive(id, 2)[0].server == "s01";
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_GT(sent, 5);  // its share is 10
}

// Where connections break occasionally on all paths, ejecting servers for it overloaded the others.
TEST_F(BalancerTest, ResetConnectionsDoNotEjectServer) {
  Start(MakeSettings(), 4);
  std::map<std::string, int> sent;
  for (int i = 0; i < 400; ++i) {
    now_ += 10 * kMs;
    const std::string id = "r" + std::to_string(i);
    const std::string server = Arrive(id, 2)[0].server;
    const bool broken = server == "s01" && ++sent[server] % 4 == 0;
    Resolve(id, 0, broken ? Result::kReset : Result::kSuccess, !broken);
  }
  EXPECT_GT(sent["s01"], 75);  // its share is 100
}

// A sidecar without free descriptors cannot connect to any server, which says nothing about the servers.
TEST_F(BalancerTest, MissingDescriptorsDoNotEjectServer) {
  Start(MakeSettings(), 4);
  int sent = 0;
  for (int i = 0; i < 400; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const bool no_descriptor = Arrive(id, 2)[0].server == "s01";
    sent += no_descriptor;
    Resolve(id, 0, no_descriptor ? Result::kNoDescriptor : Result::kSuccess, !no_descriptor);
    if (no_descriptor) balancer_->OnClientDisconnected(now_, id);
  }
  EXPECT_GT(sent, 75);  // its share is 100
}

// With 100 sidecars, servers that returned 500 immediately had nothing in flight and got twice their share.
TEST_F(BalancerTest, SkipsServerThatFailsImmediatelyUntilItRecovers) {
  Start(MakeSettings(), 3);
  std::map<std::string, int> sent;
  const auto run_requests = [&](const std::string& round, Result s01_result) {
    sent.clear();
    for (int i = 0; i < 300; ++i) {
      now_ += 10 * kMs;
      const std::string id = round + std::to_string(i);
      const std::string server = Arrive(id)[0].server;
      ++sent[server];
      Resolve(id, 0, server == "s01" ? s01_result : Result::kSuccess, true);
    }
  };
  run_requests("failing", Result::kError);
  EXPECT_LT(sent["s01"], 30);  // its share is 100
  EXPECT_GT(sent["s01"], 3);   // otherwise its recovery would go unnoticed
  run_requests("recovering", Result::kSuccess);
  run_requests("recovered", Result::kSuccess);
  EXPECT_GT(sent["s01"], 60);
}

// After the loss of a zone, half of the window was ejected, and the other servers got dozens of requests each
// and were overloaded.
TEST_F(BalancerTest, DelaysRequestsWhenServersReachConcurrencyLimit) {
  Start(MakeSettings(), 4);
  std::map<std::string, int> in_flight;
  int waiting = 0;
  for (int i = 0; i < 100; ++i) {
    const auto actions = Arrive("r" + std::to_string(i));
    ASSERT_EQ(actions.size(), 1u);
    if (actions[0].kind == Kind::kSend)
      ++in_flight[actions[0].server];
    else
      waiting += actions[0].kind == Kind::kTimer;
  }
  ASSERT_EQ(in_flight.size(), 4u);
  for (const auto& [server, count] : in_flight) EXPECT_EQ(count, 3) << server;
  EXPECT_EQ(waiting, 88);
  Resolve("r0", 0, Result::kSuccess, true);  // frees capacity
  EXPECT_EQ(Arrive("next")[0].kind, Kind::kSend);
}

// With 100 sidecars, each kept its own limit, but together they had 40 attempts in flight to a server of four
// cores.
TEST_F(BalancerTest, ConcurrencyPerServerStaysLimitedAcrossSidecars) {
  constexpr std::uint32_t kSidecars = 100;
  int in_flight = 0;
  for (std::uint32_t rank = 0; rank < kSidecars; ++rank) {
    Settings settings = MakeSettings();
    settings.rank = rank;
    settings.sidecar_count = kSidecars;
    Start(settings, 60, rank);
    for (int i = 0; i < 20; ++i) {  // in the first second, before the hang is detected
      const std::string id = "r" + std::to_string(i);
      const auto actions = Arrive(id);
      if (actions[0].kind != Kind::kSend) continue;
      if (actions[0].server == "s30")
        ++in_flight;  // it hangs: no outcome
      else
        Resolve(id, 0, Result::kSuccess, true);
    }
  }
  EXPECT_GE(in_flight, 5);
  EXPECT_LE(in_flight, 16);
}

TEST_F(BalancerTest, CommonFailureDoesNotEmptyWindow) {
  Start(MakeSettings(), 4);
  for (int i = 0; i < 100; ++i) {
    now_ += 10 * kMs;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id, 2);
    ASSERT_EQ(actions[0].kind, Kind::kSend);
    Resolve(id, 0, Result::kReset);  // an immediate failure says nothing about load
  }
}

TEST_F(BalancerTest, TimesOutAtLatencyTargetOnlyIfLateResponseHasNoValue) {
  Settings settings = MakeSettings();
  settings.classes[3].late_value = 0.25;
  Start(settings, 4);
  EXPECT_EQ(Arrive("r1", 0)[0].time, settings.classes[0].latency_target);
  EXPECT_EQ(Arrive("r2", 3)[0].time, 0);
}

// With 100 sidecars, and with servers of one core, a busy sidecar with one server per four attempts in flight
// overloaded the few servers of its window, which it shared with the windows of its neighbors.
TEST_F(BalancerTest, BusySidecarUsesThreeServersPerFourAttemptsInFlight) {
  Settings settings = MakeSettings();
  settings.price_connection = 0.05;
  Start(settings, 60);
  RampUp(60);
  std::set<std::string> used;
  for (int i = 0; i < 400; ++i) {
    // 40 in flight from then on.
    if (i >= 40) Resolve("r" + std::to_string(i - 40), 0, Result::kSuccess, true);
    used.insert(Arrive("r" + std::to_string(i))[0].server);
  }
  EXPECT_EQ(used.size(), 30u);
}

TEST_F(BalancerTest, QuietSidecarKeepsMinimumWindowForAnyServerCount) {
  for (const int servers : {6, 60}) {
    Start(MakeSettings(), servers);
    std::set<std::string> used;
    for (int i = 0; i < 100; ++i) {
      const std::string id = "r" + std::to_string(i);
      used.insert(Arrive(id)[0].server);
      Resolve(id, 0, Result::kSuccess, true);
    }
    EXPECT_EQ(used.size(), 3u);
  }
}

// In three incidents, an overload was noticed only with the responses, seconds after they were due.
TEST_F(BalancerTest, OverdueAttemptsCountAsOverloadImmediately) {
  Settings settings = MakeSettings();
  settings.classes[2].late_value = 0.5;
  Start(settings, 10);
  std::vector<std::uint64_t> timers;
  for (int i = 0; i < 12; ++i) {
    Deliver("r" + std::to_string(i), 2);
    for (const Action& action : sink_.Take())
      if (action.kind == Kind::kTimer) {
        EXPECT_EQ(action.time, settings.classes[2].latency_target);
        timers.push_back(action.token);
      }
  }
  ASSERT_EQ(timers.size(), 12u);
  now_ += settings.classes[2].latency_target;
  for (const std::uint64_t token : timers) {
    balancer_->OnTimer(now_, token);
    balancer_->OnTimer(now_, token);  // counts only once
  }
  EXPECT_TRUE(sink_.Take().empty());  // the attempts themselves continue
  int rejected = 0;
  for (int i = 0; i < 20; ++i) rejected += Arrive("q" + std::to_string(i), 2)[0].kind == Kind::kReject;
  EXPECT_GT(rejected, 10);  // before any of the twelve has a response
}

// Some requests timed out on silent connections, and admission control shed load as in an overload although
// all other responses were as fast as usual.
TEST_F(BalancerTest, FewSilentConnectionsCauseNoRejections) {
  Start(MakeSettings(), 10);
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
    ++sent;
    const bool silent = i % 8 == 7;
    Complete(id, silent ? 1000 : 100, silent ? Result::kTimeout : Result::kSuccess);
  }
  EXPECT_GT(sent, 980);
}

// Traffic is bursty: a quiet second between two bursts says nothing about the servers' capacity while
// responses are timely.
TEST_F(BalancerTest, ConcurrencyLimitFallsSlowlyWhileResponsesAreTimely) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 100; ++i) {
    Deliver("first" + std::to_string(i));
    Complete("first" + std::to_string(i), 100);
  }
  for (int second = 0; second < 3; ++second) {
    now_ += kSec + kMs;
    std::vector<std::string> in_flight;
    for (int i = 0; i < 60; ++i) {
      const std::string id = std::to_string(second) + "r" + std::to_string(i);
      if (Arrive(id)[0].kind == Kind::kSend) in_flight.push_back(id);
    }
    EXPECT_LT(in_flight.size(), 45u);  // each burst reaches the limit and is the only traffic of its second
    for (const std::string& id : in_flight) Complete(id, 100);
  }
  now_ += kSec + kMs;
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += Arrive("q" + std::to_string(i))[0].kind == Kind::kSend;
  EXPECT_GE(sent, 18);  // of 32; 9 if the limit were halved in each window
}

// Otherwise an overload only moves from the servers' queues to the sidecar's.
TEST_F(BalancerTest, WaitInSidecarCountsAsOverload) {
  Start(MakeSettings(), 10);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
    ++sent;
    now_ += 900 * kMs;
    Complete(id, 50);  // the rest of the time it waited in the sidecar
  }
  EXPECT_LT(sent, 60);
}

// Requests above the servers' capacity within the target latency wait in the sidecar. The limit follows from
// Little's law and the responses of the last window, whatever the servers are.
TEST_F(BalancerTest, ConcurrencyLimitFollowsResponseRate) {
  Settings settings = MakeSettings();
  std::map<int, int> in_flight;
  for (const int per_second : {50, 400}) {
    Start(settings, 4);
    std::deque<std::pair<Micros, std::string>> sent;
    for (int i = 0; i < 3 * per_second; ++i) {
      now_ += kSec / per_second;
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id)[0].kind == Kind::kSend) sent.emplace_back(now_, id);
      for (; now_ - sent.front().first >= 100 * kMs; sent.pop_front()) Complete(sent.front().second, 100);
    }
    for (int i = 0; i < 100; ++i)
      in_flight[per_second] += Arrive("q" + std::to_string(i))[0].kind == Kind::kSend;
  }
  EXPECT_LT(in_flight[50], 25);  // 50 per second times the target latency, and the slack
  EXPECT_GT(in_flight[400], 60);
}

// Near the capacity limit, attempts on silent connections used up the concurrency limit, and the rest was
// rejected.
TEST_F(BalancerTest, OverdueAttemptsDoNotCountAgainstConcurrencyLimit) {
  Settings settings = MakeSettings();
  settings.classes[2].late_value = 0.5;
  Start(settings, 10);
  std::vector<std::uint64_t> timers;
  int sent = 0;
  for (int i = 0; i < 40; ++i) {
    Deliver("r" + std::to_string(i), 2);
    const auto actions = sink_.Take();
    if (actions[0].kind != Kind::kSend) continue;
    ++sent;
    timers.push_back(actions[1].token);
  }
  EXPECT_LT(sent, 20);
  now_ += settings.classes[2].latency_target;
  balancer_->OnTimer(now_, timers[0]);
  balancer_->OnTimer(now_, timers[1]);
  sink_.Take();
  sent = 0;
  for (int i = 0; i < 20; ++i) sent += Arrive("q" + std::to_string(i), 2)[0].kind == Kind::kSend;
  EXPECT_EQ(sent, 2);
}

// In a soak test, one client with a long budget made its class seem late, and the own zone admitted none of
// it.
TEST_F(BalancerTest, LongBudgetOfOneClientDoesNotMakeOthersLate) {
  Settings settings = MakeSettings();
  settings.classes[0].deadline = 5 * kSec;
  Start(settings, 10);
  Arrive("patient", 0, 5 * kSec);
  Resolve("patient", 0, Result::kSuccess, true);
  int sent = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, 0, 3500 * kMs)[0].kind != Kind::kSend) continue;
    sent += i >= 200;
    // Half of the load exceeds the capacity; the other half of the class must still be admitted.
    Complete(id, sent * 2 > i - 200 ? 900 : 100);
  }
  EXPECT_GT(sent, 120);
}

// In the same soak test, a pool with a low admitted share got no requests and so did not learn of its
// recovery.
TEST_F(BalancerTest, AdmittedShareOfIdlePoolRecovers) {
  Settings settings = MakeSettings();
  settings.zone = 0;
  settings.price_cross_zone = 0.2;
  // Arrives only during the overload, and then keeps the other class out of the own zone.
  settings.classes[0].value = 3;
  Start(settings, 20);
  int own_zone = 0;
  for (int i = 0; i < 1000; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id, i < 400 && i % 8 > 0 ? 0 : 2);
    if (actions[0].kind != Kind::kSend) continue;
    const bool in_own_zone = (actions[0].server.back() - '0') % 2 == 0;
    own_zone += in_own_zone && i >= 600 && i < 800;
    const bool overloaded = in_own_zone && i < 400;
    Complete(id, overloaded ? 1500 : 50, overloaded ? Result::kTimeout : Result::kSuccess);
  }
  EXPECT_EQ(own_zone, 200);
}

// If the goal includes the worst served class, that class takes precedence over classes of a higher value.
TEST_F(BalancerTest, WorstServedClassTakesPrecedenceAccordingToGoal) {
  std::map<double, double> share;
  for (const double worst_class : {0.0, 0.5}) {
    Settings settings = MakeSettings();
    settings.goal_worst_class = worst_class;
    settings.classes[0].value = 3;  // the other class has value 1 and the same work
    Start(settings, 10);
    std::map<int, int> sent;
    int all = 0;
    for (int i = 0; i < 4000; ++i) {
      const std::string id = "r" + std::to_string(i);
      const int request_class = i % 2 == 0 ? 0 : 2;
      if (Arrive(id, request_class)[0].kind != Kind::kSend) continue;
      ++all;
      sent[request_class] += i >= 2000;
      const bool overloaded = i >= 200 && all > i / 2 + 100;  // half of the load can be served
      Complete(id, overloaded ? 900 : 100);
    }
    share[worst_class] = static_cast<double>(sent[2]) / (sent[0] + sent[2]);
  }
  EXPECT_LT(share[0.0], 0.25);
  EXPECT_GT(share[0.5], 0.4);
}

// Overloaded servers need a pause to recover, but one fast response at the minimum share admitted everything
// again.
TEST_F(BalancerTest, SingleFastResponseDoesNotEndHeavyShedding) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, 2)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 4 * kSec, true, {}});
  }
  std::string id;
  for (int i = 0; i < 1000; ++i) {
    id = "q" + std::to_string(i);
    if (Arrive(id, 2)[0].kind == Kind::kSend) break;
  }
  balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 10 * kMs, true, {}});
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += Arrive("z" + std::to_string(i), 2)[0].kind == Kind::kSend;
  EXPECT_GT(sent, 10);
  EXPECT_LT(sent, 70);
}

// A slow or degrading server that does respond in the end kept getting its full share.
TEST_F(BalancerTest, EjectsServerWithOverdueAttemptAndRetriesItWithOneAttempt) {
  Settings settings = MakeSettings();
  settings.classes[0].late_value = 0.5;
  Start(settings, 3);
  RampUp(60);
  std::string id;
  std::uint64_t timer = 0;
  for (int i = 0; timer == 0; ++i) {
    id = "r" + std::to_string(i);
    Deliver(id);
    const auto actions = sink_.Take();
    if (actions[0].server == "s01") timer = actions[1].token;
    if (timer == 0) Resolve(id, 0, Result::kSuccess, true);
  }
  balancer_->OnTimer(now_ += 1 * kSec, timer);
  const auto sends_to = [&](const std::string& server, const std::string& prefix) {
    int n = 0;
    for (int i = 0; i < 10; ++i) n += Arrive(prefix + std::to_string(i))[0].server == server;
    return n;
  };
  // A late response does not end the trial.
  balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 1100 * kMs, true, {}});
  EXPECT_EQ(sends_to("s01", "a"), 0);
  now_ += 500 * kMs;  // its ejection is over
  EXPECT_EQ(sends_to("s01", "b"), 1);
}

// Returns how many of the last 100 of `total` requests are admitted. The first 100 responses take
// `unloaded_ms`, the others `loaded_ms`.
class AdmissionTarget : public BalancerTest {
 protected:
  int CountAdmitted(int unloaded_ms, int loaded_ms, int total = 400) {
    Start(MakeSettings(), 10);
    int sent = 0;
    for (int i = 0; i < total; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
      sent += i >= total - 100;
      Complete(id, i < 100 ? unloaded_ms : loaded_ms);
    }
    return sent;
  }
};

TEST_F(AdmissionTarget, IsTwoAndAHalfTimesUnloadedLatency) {
  EXPECT_EQ(CountAdmitted(50, 100), 100);
  EXPECT_LT(CountAdmitted(50, 200), 60);
}

TEST_F(AdmissionTarget, IsLimitedToOneLateResponseInTen) {
  EXPECT_EQ(CountAdmitted(200, 400), 100);  // the latency target is 1 s
  EXPECT_LT(CountAdmitted(200, 480), 60);
}

TEST_F(AdmissionTarget, StaysAboveUnloadedLatency) { EXPECT_EQ(CountAdmitted(400, 580), 100); }

TEST_F(AdmissionTarget, DoesNotMistakeInitialOverloadForUnloadedLatency) {
  EXPECT_LT(CountAdmitted(900, 900, 4000), 60);
}

// Rejections of one of several classes indicate a rate limit on it; rejections of all classes indicate
// overload.
TEST_F(BalancerTest, RejectionsOfOneClassAreNoOverload) {
  for (const bool all : {false, true}) {
    Start(MakeSettings(), 4, 9);
    int rejected = 0;
    for (int i = 0; i < 400; ++i) {
      now_ += 20 * kMs;
      const std::string id = (all ? "a" : "r") + std::to_string(i);
      const auto actions = Arrive(id, i % 2 == 0 ? 2 : 0);
      if (actions[0].kind != Kind::kSend) {
        ++rejected;
        continue;
      }
      const bool full = all || i % 2 == 0;
      balancer_->OnOutcome(now_, {id, 0, full ? Result::kRejected : Result::kSuccess, 10 * kMs, !full, {}});
      if (full) balancer_->OnClientDisconnected(now_, id);
      sink_.Take();
    }
    if (all) {
      EXPECT_GT(rejected, 100);
    } else {
      EXPECT_EQ(rejected, 0);
    }
  }
}

// In overloads, retries that had exceeded the latency target already were served before fresh requests.
TEST_F(BalancerTest, PrefersFreshRequestsToLateOnesUnderOverload) {
  Settings settings = MakeSettings();
  settings.classes[0].late_value = 0.25;
  Start(settings, 10);
  int fresh = 0;
  int late = 0;
  for (int i = 0; i < 900; ++i) {
    const std::string id = "r" + std::to_string(i);
    // Tries have a budget of 3 s of the deadline of 5 s. One with 1 s left has used 4 s; the latency target
    // is 1 s.
    const bool is_late = i % 3 == 0;
    const auto actions = Arrive(id, 0, is_late && i > 3 ? 1 * kSec : 3 * kSec);
    if (actions[0].kind != Kind::kSend) continue;
    ++(is_late ? late : fresh);
    const Micros elapsed = (late + fresh) * 2 > i ? 900 * kMs : 100 * kMs;  // half of the load can be served
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(fresh, 250);
  // Half as many late requests arrive.
  EXPECT_LT(late * 2, fresh / 2) << late << " late, " << fresh << " fresh";
}

TEST_F(BalancerTest, PrefersServerWithFewerOwnAttemptsInFlight) {
  Start(MakeSettings(), 2);
  RampUp(20);
  std::map<std::string, int> in_flight;
  for (int i = 0; i < 20; ++i) ++in_flight[Arrive("r" + std::to_string(i))[0].server];
  EXPECT_NEAR(in_flight["s00"], 10, 2);
}

TEST_F(BalancerTest, WindowsOfAllRanksCoverRingEvenly) {
  std::map<std::string, int> hits;
  for (std::uint32_t rank = 0; rank < 40; ++rank) {
    Settings settings = MakeSettings();
    settings.rank = rank;
    settings.sidecar_count = 40;
    Start(settings, 20, rank);
    RampUp(60);
    std::set<std::string> used;
    for (int i = 0; i < 300; ++i) {
      const auto actions = Arrive("r" + std::to_string(i));
      if (actions[0].kind == Kind::kSend) used.insert(actions[0].server);
    }
    for (const std::string& server : used) ++hits[server];
  }
  ASSERT_EQ(hits.size(), 20u);
  for (const auto& [server, n] : hits) EXPECT_EQ(n, hits["s00"]) << server;
}

TEST_F(BalancerTest, ResubscribesAfterFailureWithinMaxSubscribeDelay) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  std::string error;
  balancer_ = Balancer::Create(settings, 7, now_, sink_, error);
  List(ListUpdate::Kind::kStale, MakeServers(4));
  auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_LT(actions[0].time, settings.max_subscribe_delay);
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(actions[0].kind, Kind::kTimer);
    const auto ask = FireTimer(actions[0]);
    ASSERT_EQ(ask.size(), 1u);
    EXPECT_EQ(ask[0].kind, Kind::kSubscribe);
    List(ListUpdate::Kind::kFailed, {});
    actions = sink_.Take();
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_LE(actions[0].time, settings.max_subscribe_delay);
  }
}

TEST_F(BalancerTest, BudgetOfIncompleteRequestStartsAtLastByte) {
  Start(MakeSettings(), 3);
  Request request;
  request.id = "r1";
  request.request_class = 2;
  request.budget = 2 * kSec;
  request.body_incomplete = true;
  balancer_->OnRequest(now_, request);
  auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);  // no timer for its latency target
  EXPECT_EQ(actions[0].kind, Kind::kSend);
  now_ += 20 * kSec;
  balancer_->OnRequestBodyComplete(now_, "r1", 2 * kSec);
  actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kTimer);
  EXPECT_EQ(actions[0].time, MakeSettings().classes[2].latency_target);
  EXPECT_EQ(Resolve("r1", 0, Result::kRejected)[0].kind, Kind::kTimer);  // the budget allows another attempt
}

TEST_F(BalancerTest, DoesNotRetryRequestWithDiscardedBody) {
  for (int request_class : {0, 1, 2, 3}) {
    Start(MakeSettings(), 3);
    Deliver("r1", request_class);
    balancer_->OnRequestBodyDiscarded(now_, "r1");
    sink_.Take();
    const auto end = Resolve("r1", 0, Result::kRejected);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].kind, Kind::kReject);  // still safe, as it never ran
  }
}

TEST_F(BalancerTest, StreamingResponsesDoNotCountAsLoad) {
  Start(MakeSettings(), 1);
  int sent = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id)[0].kind != Kind::kSend) continue;
    ++sent;
    balancer_->OnResponseStarted(now_, id, 0);
  }
  EXPECT_EQ(sent, 40);  // 15 without a response reach the limit
  for (int i = 0; i < 40; ++i) Resolve("r" + std::to_string(i), 0, Result::kSuccess, true);
  EXPECT_EQ(balancer_->tracked_requests(), 0u);
  int more = 0;
  for (int i = 0; i < 100; ++i) more += Arrive("s" + std::to_string(i))[0].kind == Kind::kSend;
  EXPECT_EQ(more, 59);  // the initial ten, 40 for the responses, and the slack
}

TEST_F(BalancerTest, IncompleteRequestsDoNotCountAsLoad) {
  Start(MakeSettings(), 1);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    Request request;
    request.id = id;
    request.budget = 5 * kSec;
    request.body_incomplete = true;
    balancer_->OnRequest(now_, request);
    EXPECT_EQ(TakeActions()[0].kind, Kind::kSend);
  }
  EXPECT_EQ(Arrive("s1")[0].kind, Kind::kSend);
  for (int i = 0; i < 14; ++i) balancer_->OnRequestBodyComplete(now_, "r" + std::to_string(i), 5 * kSec);
  sink_.Take();
  EXPECT_EQ(Arrive("s2")[0].kind, Kind::kTimer);  // the limit is reached: it waits
  for (int i = 0; i < 40; ++i) Resolve("r" + std::to_string(i), 0, Result::kSuccess, true);
  EXPECT_EQ(Arrive("s3")[0].kind, Kind::kSend);
}

TEST_F(BalancerTest, DisabledServerGetsNothingUntilEnabled) {
  Start(MakeSettings(), 3);
  const auto used = [&](const std::string& name) {
    std::set<std::string> servers;
    for (int i = 0; i < 60; ++i) {
      const std::string id = name + std::to_string(i);
      servers.insert(Arrive(id)[0].server);
      Resolve(id, 0, Result::kSuccess, true);
    }
    return servers;
  };
  EXPECT_EQ(used("a").size(), 3u);
  balancer_->Disable(now_, "s01");
  balancer_->Disable(now_, "s01");
  EXPECT_EQ(used("b"), (std::set<std::string>{"s00", "s02"}));
  EXPECT_EQ(balancer_->membership(now_).members, 3u);
  EXPECT_EQ(balancer_->membership(now_).unavailable, 1u);
  auto servers = MakeServers(3);
  List(ListUpdate::Kind::kFull, {servers[0], servers[2]});
  EXPECT_EQ(balancer_->membership(now_).unavailable, 0u);
  servers[1].started = now_ - 60 * kSec;  // restarted long enough ago to be warm
  List(ListUpdate::Kind::kFull, servers);
  EXPECT_EQ(used("c"), (std::set<std::string>{"s00", "s02"}));
  balancer_->Enable(now_, "s01");
  EXPECT_EQ(used("d").size(), 3u);
  EXPECT_TRUE(balancer_->WasListed("s01"));
  EXPECT_FALSE(balancer_->WasListed("s09"));
}

TEST_F(BalancerTest, RetryAvoidsServerDisabledDuringBackoff) {
  Start(MakeSettings(), 2);
  const std::string first = Arrive("r1")[0].server;
  const std::string other = first == "s00" ? "s01" : "s00";
  const auto wait = Resolve("r1", 0, Result::kRejected);
  balancer_->Disable(now_, other);
  const auto again = FireTimer(wait[0]);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].server, first);
}

TEST_F(BalancerTest, RejectsImmediatelyWithRetryAfterWhenAllServersAreDisabled) {
  Start(MakeSettings(), 2);
  Arrive("r1");
  balancer_->Disable(now_, "s00");
  balancer_->Disable(now_, "s01");
  auto actions = Arrive("r2");
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kReject);
  EXPECT_GT(actions[0].time, 0);
  actions = Resolve("r1", 0, Result::kRejected);  // does not wait for another attempt
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kReject);
}

TEST_F(BalancerTest, EnabledServerIsNotEjectedForOldFailures) {
  Start(MakeSettings(), 3);
  const std::string ejected = Arrive("r1", 2)[0].server;
  Resolve("r1", 0, Result::kTimeout);
  EXPECT_EQ(balancer_->membership(now_).unavailable, 1u);
  balancer_->Disable(now_, ejected);
  balancer_->Enable(now_, ejected);
  EXPECT_EQ(balancer_->membership(now_).unavailable, 0u);
}

// A change while no process was running counts as known 6 s after the change, not after the start.
TEST_F(BalancerTest, FirstSubscribeAfterStartIsSoonAndSpread) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  settings.max_subscribe_delay = 40 * kSec;
  std::string error;
  Micros shortest = settings.max_subscribe_delay;
  Micros longest = 0;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    balancer_ = Balancer::Create(settings, seed, now_, sink_, error);
    List(ListUpdate::Kind::kStale, MakeServers(4));
    const auto actions = sink_.Take();
    ASSERT_EQ(actions.size(), 1u);
    shortest = std::min(shortest, actions[0].time);
    longest = std::max(longest, actions[0].time);
  }
  EXPECT_LE(longest, 2 * kSec);
  EXPECT_LT(shortest, kSec / 2);
  EXPECT_GT(longest, 3 * kSec / 2);
}

// Discovery may recover right after a call began; its state then counts as known 6 s later.
TEST_F(BalancerTest, SubscribeIntervalIsLimitedWhateverThePreviousResult) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  settings.max_subscribe_delay = 40 * kSec;
  std::string error;
  for (const Micros call_duration :
       {0 * kSec, 1 * kSec, 4 * kSec}) {  // fails immediately, later, or by timeout
    balancer_ = Balancer::Create(settings, 7, now_, sink_, error);
    List(ListUpdate::Kind::kStale, MakeServers(4));
    auto actions = sink_.Take();
    Micros longest = 0;
    for (int i = 0; i < 200; ++i) {
      ASSERT_EQ(actions.size(), 1u);
      FireTimer(actions[0]);
      const Micros began = now_;
      now_ += call_duration;
      List(ListUpdate::Kind::kFailed, {});
      actions = sink_.Take();
      ASSERT_EQ(actions.size(), 1u);
      longest = std::max(longest, now_ + actions[0].time - began);
    }
    EXPECT_LE(longest, 5 * kSec) << call_duration;
    EXPECT_GT(longest, 4 * kSec) << call_duration;  // spread, so that the sidecars do not all call at once
  }
}

TEST_F(BalancerTest, SubscribesSoonDuringTakeover) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  std::string error;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    balancer_ = Balancer::Create(settings, seed, now_, sink_, error);
    const auto servers = MakeServers(4);
    balancer_->OnServers(now_, {ListUpdate::Kind::kStale, 1, servers, /*awaited=*/true});
    auto actions = sink_.Take();
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_LE(actions[0].time, 1 * kSec);  // of the allowed 10 s
    FireTimer(actions[0]);
    balancer_->OnServers(now_, {ListUpdate::Kind::kFailed, 1, {}, /*awaited=*/true});
    actions = sink_.Take();
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_LE(actions[0].time, 1 * kSec);
  }
}

TEST_F(BalancerTest, IgnoresUnknownRequestsAttemptsAndTimers) {
  Start(MakeSettings(), 4);
  EXPECT_TRUE(Resolve("nobody", 0, Result::kRejected).empty());
  Arrive("r1");
  EXPECT_TRUE(Resolve("r1", 3, Result::kRejected).empty());
  EXPECT_TRUE(Resolve("r1", -1, Result::kRejected).empty());
  EXPECT_TRUE(Arrive("r1").empty());
  balancer_->OnTimer(now_, 999);
  balancer_->OnClientDisconnected(now_, "nobody");
  balancer_->OnResponseStarted(now_, "nobody", 0);
  EXPECT_TRUE(sink_.Take().empty());
  EXPECT_EQ(Arrive("r2", 99)[0].kind, Kind::kFail);
  EXPECT_EQ(Resolve("r1", 0, Result::kRejected).size(), 1u);
  EXPECT_TRUE(Resolve("r1", 0, Result::kRejected).empty());  // duplicate outcome
}

TEST_F(BalancerTest, DropsDisconnectedRequestOnceItsAttemptIsResolved) {
  Start(MakeSettings(), 4);
  Arrive("r1");
  balancer_->OnClientDisconnected(now_, "r1");
  EXPECT_EQ(balancer_->tracked_requests(), 1u);
  EXPECT_TRUE(Resolve("r1", 0, Result::kReset).empty());
  EXPECT_EQ(balancer_->tracked_requests(), 0u);
}

TEST(BalancerSettings, RejectsInvalidSettings) {
  const std::vector<std::pair<std::string, void (*)(Settings&)>> cases = {
      {"no request classes", [](Settings& s) { s.classes.clear(); }},
      {"negative time in class c", [](Settings& s) { s.classes[1].deadline = -1; }},
      {"unknown repeat kind in class c",
       [](Settings& s) { s.classes[0].retry_safety = static_cast<RetrySafety>(9); }},
      {"max_attempts is below 1", [](Settings& s) { s.max_attempts = 0; }},
      {"rank is not below the number of sidecars", [](Settings& s) { s.rank = s.sidecar_count; }},
      {"cold_share is not in (0, 1]", [](Settings& s) { s.cold_share = 0; }},
      {"negative time", [](Settings& s) { s.warm_after = -1; }},
  };
  for (const auto& [expected, invalidate] : cases) {
    Settings settings = MakeSettings();
    invalidate(settings);
    Recorder sink;
    std::string error;
    EXPECT_EQ(Balancer::Create(settings, 1, 0, sink, error), nullptr);
    EXPECT_EQ(error, expected);
  }
}

}  // namespace
}  // namespace violetwing::balancer::testing
