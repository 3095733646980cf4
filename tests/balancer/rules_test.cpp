// Runs the decision module through seeded random, but legal, histories. A checker verifies the four rules as
// far as one sidecar can observe them. It depends only on events and actions and not on the module's state.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "balancer/harness.hpp"

namespace violetwing::balancer::testing {
namespace {

using Kind = Action::Kind;

// Records a description of each violation.
class RuleChecker {
 public:
  RuleChecker(Settings settings, Micros slack) : settings_(std::move(settings)), slack_(slack) {}

  void OnListed(Micros now, const ServerInfo& info) {
    KnownServer& server = servers_[info.id];
    const bool usable = info.state == ServerInfo::State::kHealthy;
    if (!usable && (server.usable || !server.listed_before)) server.unusable_since = now;
    server = {info, server.unusable_since, usable, true};
  }
  void OnUnlisted(Micros now, const std::string& id) {
    KnownServer& server = servers_[id];
    if (server.usable) server.unusable_since = now;
    server.usable = false;
  }
  void OnRequest(Micros now, const std::string& id, int request_class, Micros budget,
                 const std::string& key) {
    requests_[id] = {request_class, now + budget, false, {}};
    if (settings_.classes[static_cast<std::size_t>(request_class)].sequential && !key.empty()) {
      requests_[id].key = key;
      key_order_[key].push_back(id);
    }
  }
  void OnOutcome(Micros now, const std::string& id, int number, Result result, bool settled) {
    CheckedRequest& checked = requests_.at(id);
    CheckedAttempt& attempt = checked.attempts.at(static_cast<std::size_t>(number));
    attempt.in_flight = false;
    attempt.ran = (result != Result::kRejected || settings_.rejected_may_have_run) &&
                  result != Result::kUnreachable && result != Result::kNeverSent &&
                  result != Result::kNoDescriptor;
    if (result == Result::kTimeout || result == Result::kReset || result == Result::kCancelled)
      checked.key_settled_at = now + settings_.sequential_settle_time;
    if (settled) checked.ended = true;
  }
  void OnClientDisconnected(const std::string& id) { requests_.at(id).ended = true; }

  void OnAction(Micros now, const Action& action) {
    if (action.kind == Kind::kTimer || action.kind == Kind::kSubscribe || action.kind == Kind::kCancel)
      return;
    const auto it = requests_.find(action.request);
    if (it == requests_.end()) return AddViolation("action for an unknown request");
    CheckedRequest& checked = it->second;
    if (checked.ended) return AddViolation("action for an ended request");
    const RequestClass& c = settings_.classes[static_cast<std::size_t>(checked.request_class)];
    const CheckedAttempt* ran = nullptr;
    for (const CheckedAttempt& attempt : checked.attempts)
      if (ran == nullptr && attempt.ran) ran = &attempt;
    if (action.kind == Kind::kSend) {
      const KnownServer& server = servers_[action.server];
      if (!server.listed_before) AddViolation("sent to a server that was never listed");
      if (server.listed_before && !server.usable && now > server.unusable_since + settings_.drain_grace)
        AddViolation("sent to a draining server");
      for (const CheckedAttempt& attempt : checked.attempts)
        if (attempt.in_flight && !settings_.parallel_attempts) AddViolation("parallel attempts");
      if (static_cast<int>(checked.attempts.size()) >= settings_.max_attempts)
        AddViolation("more than max_attempts attempts");
      if (now > checked.deadline) AddViolation("sent after the deadline");
      for (const std::string& before : key_order_[checked.key]) {
        if (before == action.request) break;
        const CheckedRequest& earlier = requests_.at(before);
        for (const CheckedAttempt& attempt : earlier.attempts)
          if (attempt.in_flight) AddViolation("sent while an earlier request of the key was in flight");
        if (!earlier.ended) AddViolation("sent before an earlier request of the key had ended");
        if (now < earlier.key_settled_at) AddViolation("sent before the settle time of the key had passed");
      }
      if (ran != nullptr && c.retry_safety == RetrySafety::kNever)
        AddViolation("retried an at-most-once request that may have run");
      if (ran != nullptr && c.retry_safety == RetrySafety::kDeduplicated) {
        if (now >= ran->sent + c.dedup_window) AddViolation("retried after the deduplication window");
        if (action.begin_within <= 0 || now + action.begin_within > ran->sent + c.dedup_window)
          AddViolation("may be sent after the deduplication window");
        if (c.group == DedupGroup::kZone && ran->zone != server.info.zone)
          AddViolation("retried outside the deduplication group");
        if (c.group == DedupGroup::kCell && ran->cell != server.info.cell)
          AddViolation("retried outside the deduplication group");
      }
      checked.attempts.push_back({now, server.info.zone, server.info.cell, true, true});
      return;
    }
    if (now > checked.deadline + slack_) AddViolation("ended after the deadline");
    if (action.kind == Kind::kReject && ran != nullptr && c.retry_safety != RetrySafety::kSafe &&
        !(c.retry_safety == RetrySafety::kDeduplicated && c.group == DedupGroup::kAll))
      AddViolation("rejected a request that may have run");
    checked.ended = true;
  }
  void Finish() {
    for (const auto& [id, checked] : requests_)
      if (!checked.ended) AddViolation("request without an end");
  }
  const std::set<std::string>& violations() const { return violations_; }

 private:
  struct KnownServer {
    ServerInfo info;
    Micros unusable_since = 0;
    bool usable = false;
    bool listed_before = false;
  };
  struct CheckedAttempt {
    Micros sent;
    int zone;
    std::int64_t cell;
    bool in_flight;
    bool ran;
  };
  struct CheckedRequest {
    int request_class;
    Micros deadline;
    bool ended;
    std::vector<CheckedAttempt> attempts;
    std::string key = {};
    Micros key_settled_at = 0;
  };
  void AddViolation(const std::string& violation) { violations_.insert(violation); }

  Settings settings_;
  Micros slack_;
  std::map<std::string, KnownServer> servers_;
  std::map<std::string, CheckedRequest> requests_;
  std::map<std::string, std::vector<std::string>> key_order_;
  std::set<std::string> violations_;
};

// Alters actions between the module and the checker, to simulate a faulty module.
using Mutation = std::function<void(Action&)>;

struct HistoryResult {
  std::set<std::string> violations;
  int sends = 0, retries = 0, rejections = 0, failures = 0;
  std::size_t tracked = 0;
};

// Runs one random history of arrivals, outcomes of all kinds, list updates, client disconnects and timers.
// The checker uses `checker_settings` if given, and otherwise the settings of the module.
HistoryResult RunHistory(std::uint64_t seed, const Settings& settings, const Mutation& mutate,
                         const Settings* checker_settings = nullptr) {
  std::mt19937_64 random(seed);
  const auto below = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
  struct Pending {
    Micros at;
    int order;
    Action action;
    int attempt;
    bool operator<(const Pending& o) const { return std::pair(at, order) < std::pair(o.at, o.order); }
  };
  HistoryResult result;
  Recorder sink;
  std::string error;
  Micros now = 50 * kSec;
  auto balancer = Balancer::Create(settings, seed, now, sink, error);
  RuleChecker checker(checker_settings != nullptr ? *checker_settings : settings, 20 * kMs);
  std::set<Pending> pending;
  std::map<std::string, Micros> deadline;
  std::map<std::string, int> attempts;
  std::set<std::string> settled;
  int order = 0;
  const auto collect = [&] {
    for (Action action : sink.Take()) {
      if (mutate) mutate(action);
      checker.OnAction(now, action);
      if (action.kind == Kind::kSend) {
        ++result.sends;
        const int attempt = attempts[action.request]++;
        result.retries += attempt > 0;
        Micros at = now + 1 * kMs + below(3000) * kMs;
        if (action.time > 0) at = std::min(at, now + action.time);
        pending.insert({std::min(at, deadline[action.request]), order++, action, attempt});
      } else if (action.kind == Kind::kTimer) {
        pending.insert({now + action.time + 5 * kMs, order++, action, 0});
      } else if (action.kind == Kind::kReject || action.kind == Kind::kFail) {
        ++(action.kind == Kind::kReject ? result.rejections : result.failures);
        settled.insert(action.request);
      }
    }
  };
  std::vector<ServerInfo> servers = MakeServers(12);
  const auto deliver_list = [&](ListUpdate::Kind kind, const std::vector<ServerInfo>& entries) {
    for (const ServerInfo& info : entries) checker.OnListed(now, info);
    balancer->OnServers(now, {kind, 1, entries});
    collect();
  };
  deliver_list(ListUpdate::Kind::kStale, servers);
  std::vector<std::string> request_ids;
  for (int i = 0; i < 600; ++i) {
    now += below(20) * kMs;
    while (!pending.empty() && pending.begin()->at <= now) {
      const Pending next = *pending.begin();
      pending.erase(pending.begin());
      const Micros resume = now;
      now = std::max(next.at, now);
      if (next.action.kind == Kind::kTimer) {
        balancer->OnTimer(now, next.action.token);
      } else {
        static constexpr Result kResults[] = {Result::kSuccess,   Result::kSuccess,     Result::kSuccess,
                                              Result::kRejected,  Result::kRejected,    Result::kError,
                                              Result::kReset,     Result::kUnreachable, Result::kTimeout,
                                              Result::kCancelled, Result::kNoDescriptor};
        const std::string& id = next.action.request;
        const Result outcome = next.at >= deadline[id] ? Result::kTimeout : kResults[below(11)];
        if (outcome == Result::kSuccess) settled.insert(id);
        const bool done = settled.count(id) > 0;
        checker.OnOutcome(now, id, next.attempt, outcome, done);
        balancer->OnOutcome(now, {id, next.attempt, outcome, 10 * kMs, done});
      }
      collect();
      now = std::max(now, resume);
    }
    const int event = below(20);
    if (event == 0) {  // a server drains, is removed, or is added (again) cold
      ServerInfo& info = servers[static_cast<std::size_t>(below(12))];
      info.state = static_cast<ServerInfo::State>(below(3));
      if (info.state == ServerInfo::State::kHealthy) info.started = now - below(3000) * kMs;
      deliver_list(ListUpdate::Kind::kDelta, {info});
    } else if (event == 1) {  // the full list, without the removed servers
      std::vector<ServerInfo> present;
      for (const ServerInfo& info : servers) {
        if (info.state == ServerInfo::State::kRemoved) {
          checker.OnUnlisted(now, info.id);
        } else {
          present.push_back(info);
        }
      }
      deliver_list(ListUpdate::Kind::kFull, present);
    } else if (event == 2) {
      balancer->OnServers(now, {ListUpdate::Kind::kFailed, 0, {}});
      collect();
    } else if (event == 3 && !request_ids.empty()) {
      const std::string& id =
          request_ids[static_cast<std::size_t>(below(static_cast<int>(request_ids.size())))];
      if (settled.insert(id).second) {
        checker.OnClientDisconnected(id);
        balancer->OnClientDisconnected(now, id);
        collect();
      }
    } else {
      const std::string id = "r" + std::to_string(i);
      Request request;
      request.id = id;
      request.request_class = below(4);
      request.budget = (1 + below(4000)) * kMs;
      deadline[id] = now + request.budget;
      request_ids.push_back(id);
      const std::string key = below(4) == 0 ? "" : "k" + std::to_string(below(6));
      request.key = key;
      checker.OnRequest(now, id, request.request_class, request.budget, key);
      balancer->OnRequest(now, request);
      collect();
    }
  }
  while (!pending.empty()) {  // deliver all pending timers and outcomes
    const Pending next = *pending.begin();
    pending.erase(pending.begin());
    now = std::max(now, next.at);
    if (next.action.kind == Kind::kTimer) {
      balancer->OnTimer(now, next.action.token);
    } else {
      const std::string& id = next.action.request;
      const bool done = settled.count(id) > 0;
      checker.OnOutcome(now, id, next.attempt, Result::kTimeout, done);
      balancer->OnOutcome(now, {id, next.attempt, Result::kTimeout, 10 * kMs, done});
    }
    collect();
  }
  checker.Finish();
  result.violations = checker.violations();
  result.tracked = balancer->tracked_requests();
  return result;
}

std::vector<Settings> SettingsVariants() {
  Settings automatic = MakeSettings();
  Settings subscribing = MakeSettings();
  subscribing.must_subscribe = true;
  subscribing.zone = 0;
  subscribing.price_cross_zone = 0.2;
  for (RequestClass& c : subscribing.classes) c.value = 3;
  Settings by_cell = MakeSettings();
  by_cell.classes[1].group = DedupGroup::kCell;
  by_cell.max_attempts = 2;
  by_cell.max_retry_after = 0;
  Settings ambiguous_rejections = MakeSettings();
  ambiguous_rejections.rejected_may_have_run = true;
  Settings sequential = MakeSettings();
  sequential.sequential_settle_time = 40 * kMs;
  sequential.classes[0].sequential = sequential.classes[1].sequential = sequential.classes[2].sequential =
      true;
  Settings combined = sequential;
  combined.rejected_may_have_run = true;
  combined.classes[1].group = DedupGroup::kCell;
  combined.sequential_settle_time = 0;
  combined.must_subscribe = true;
  return {automatic, subscribing, by_cell, ambiguous_rejections, sequential, combined};
}

TEST(Rules, HoldInRandomHistories) {
  HistoryResult total;
  for (const Settings& settings : SettingsVariants()) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      const HistoryResult result = RunHistory(seed, settings, nullptr);
      ASSERT_TRUE(result.violations.empty()) << "seed " << seed << ": " << *result.violations.begin();
      ASSERT_EQ(result.tracked, 0u) << "seed " << seed;
      total.sends += result.sends;
      total.retries += result.retries;
      total.rejections += result.rejections;
      total.failures += result.failures;
    }
  }
  // The histories are meaningful only if each of these occurred often enough.
  EXPECT_GT(total.sends, 10000);
  EXPECT_GT(total.retries, 1000);
  EXPECT_GT(total.rejections, 1000);
  EXPECT_GT(total.failures, 1000);
}

// The violations of 20 histories together.
std::set<std::string> ViolationsOf(const Settings& settings, const Mutation& mutate,
                                   const Settings* checker_settings = nullptr) {
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    all.merge(RunHistory(seed, settings, mutate, checker_settings).violations);
  return all;
}

// Each mutation breaks one rule on purpose, which the checker must detect.
TEST(Rules, CheckerDetectsEachViolation) {
  const auto violations = [](const Mutation& mutate) { return ViolationsOf(MakeSettings(), mutate); };
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kReject;
              }).count("rejected a request that may have run"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kSend) a.server = "s03";
              }).count("sent to a draining server"));
  EXPECT_TRUE(violations([n = 0](Action& a) mutable {
                if (a.kind == Kind::kSend) a.server = n++ % 2 == 0 ? "s02" : "s03";
              }).count("retried outside the deduplication group"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kCancel;
              }).count("request without an end"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) {
                  a.kind = Kind::kSend;
                  a.server = "s01";
                }
              }).count("retried an at-most-once request that may have run"));
}

// A module whose settings lack the optional rules violates each of them.
TEST(Rules, CheckerDetectsViolationsOfOptionalRules) {
  Settings combined = SettingsVariants().back();
  combined.sequential_settle_time = 500 * kMs;
  Settings incomplete = combined;
  incomplete.rejected_may_have_run = false;
  incomplete.sequential_settle_time = 0;
  std::set<std::string> all = ViolationsOf(incomplete, nullptr, &combined);
  EXPECT_TRUE(all.count("rejected a request that may have run"));
  EXPECT_TRUE(all.count("retried an at-most-once request that may have run"));
  EXPECT_TRUE(all.count("retried outside the deduplication group"));
  EXPECT_TRUE(all.count("sent before the settle time of the key had passed"));
  for (RequestClass& c : incomplete.classes) c.sequential = false;
  all.merge(ViolationsOf(incomplete, nullptr, &combined));
  EXPECT_TRUE(all.count("sent while an earlier request of the key was in flight"));
  EXPECT_TRUE(all.count("sent before an earlier request of the key had ended"));
}

TEST(Rules, SameEventsGiveSameActions) {
  const HistoryResult first = RunHistory(5, MakeSettings(), nullptr);
  const HistoryResult second = RunHistory(5, MakeSettings(), nullptr);
  EXPECT_EQ(first.sends, second.sends);
  EXPECT_EQ(first.rejections, second.rejections);
  EXPECT_EQ(first.failures, second.failures);
}

}  // namespace
}  // namespace violetwing::balancer::testing
