// Test utilities: a sink that records actions, and factories for settings and server lists.
#ifndef VIOLETWING_TESTS_BALANCER_HARNESS_HPP_
#define VIOLETWING_TESTS_BALANCER_HARNESS_HPP_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer::testing {

inline constexpr Micros kMs = 1000;
inline constexpr Micros kSec = 1000 * kMs;

struct Action {
  enum class Kind { kSend, kCancel, kReject, kFail, kTimer, kSubscribe } kind;
  std::string request;
  std::string server;
  Micros time = 0;  // timeout, Retry-After or delay
  std::uint64_t token = 0;
  Micros begin_within = 0;
};

class Recorder : public ActionSink {
 public:
  void Send(std::string_view request, const std::string& server, Micros timeout,
            Micros begin_within) override {
    actions.push_back({Action::Kind::kSend, std::string(request), server, timeout, 0, begin_within});
  }
  void Cancel(std::string_view request, int attempt) override {
    actions.push_back({Action::Kind::kCancel, std::string(request), "", attempt});
  }
  void Reject(std::string_view request, Micros retry_after) override {
    actions.push_back({Action::Kind::kReject, std::string(request), "", retry_after});
  }
  void Fail(std::string_view request) override {
    actions.push_back({Action::Kind::kFail, std::string(request), ""});
  }
  void SetTimer(Micros delay, std::uint64_t token) override {
    actions.push_back({Action::Kind::kTimer, "", "", delay, token});
  }
  void Subscribe() override { actions.push_back({Action::Kind::kSubscribe, "", ""}); }
  void Log(std::string_view) override {}

  // Returns and clears the recorded actions.
  std::vector<Action> Take() { return std::exchange(actions, {}); }

  std::vector<Action> actions;
};

inline RequestClass MakeClass(RetrySafety retry_safety, DedupGroup group = DedupGroup::kAll) {
  RequestClass c;
  c.name = "c";
  c.latency_target = 1 * kSec;
  c.deadline = 5 * kSec;
  c.retry_safety = retry_safety;
  c.group = group;
  c.dedup_window = 3 * kSec;
  return c;
}

// The classes are 0: safe to retry, 1: deduplicated in the zone, 2: never retried, 3: deduplicated
// everywhere.
inline Settings MakeSettings() {
  Settings s;
  s.classes = {MakeClass(RetrySafety::kSafe), MakeClass(RetrySafety::kDeduplicated, DedupGroup::kZone),
               MakeClass(RetrySafety::kNever), MakeClass(RetrySafety::kDeduplicated)};
  s.max_attempts = 5;
  s.max_retry_after = 2 * kSec;
  s.drain_grace = 500 * kMs;
  s.cold_share = 0.25;
  s.warm_after = 8 * kSec;
  s.overload_factor = 4;
  s.overload_window = 2 * kSec;
  s.max_subscribe_delay = 10 * kSec;
  s.tick = 5 * kMs;
  return s;
}

// Returns n servers s00, s01, ..., alternating between zones 0 and 1.
inline std::vector<ServerInfo> MakeServers(int n) {
  std::vector<ServerInfo> servers;
  for (int i = 0; i < n; ++i) {
    ServerInfo info;
    info.id = "s" + std::to_string(i / 10) + std::to_string(i % 10);
    info.zone = i % 2;
    info.cell = i / 2;
    servers.push_back(info);
  }
  return servers;
}

}  // namespace violetwing::balancer::testing

#endif  // VIOLETWING_TESTS_BALANCER_HARNESS_HPP_
