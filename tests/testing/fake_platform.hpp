// A fake of the platform that receives the calls of duties, implemented from the users' page on duties. It
// checks the calls against that page's rules on holders and reports, and can be set to be down.
#ifndef VIOLETWING_TESTS_TESTING_FAKE_PLATFORM_HPP_
#define VIOLETWING_TESTS_TESTING_FAKE_PLATFORM_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/duties/duty.hpp"
#include "control/duties/platform_call.hpp"

namespace violetwing::testing {

/// Identifies holders by the machine that sent a call, not by the name in the call. Times are in
/// microseconds.
class FakePlatform {
 public:
  explicit FakePlatform(Micros lease) : lease_(lease) {}

  struct Arrival {
    std::size_t holder = 0;
    duties::FencingToken token = 0;
    Micros at = 0;
  };

  /// Whether calls fail without an answer. Their arrival is recorded nevertheless.
  bool down = false;

  /// Handles a call. Returns the HTTP status, 0 for no answer. Delays and losses of calls and answers are up
  /// to the caller.
  int HandleCall(std::size_t holder, const duties::PlatformCall& call, Micros now) {
    CheckAndRecord(arrivals_[call.duty], {holder, call.token, now});
    if (down) return 0;
    if (call.duty == duties::Duty::kUsage) HandleUsageReport(nlohmann::json::parse(call.body));
    return 200;
  }

  const std::vector<std::string>& violations() const { return violations_; }
  const std::vector<Arrival>& arrivals(duties::Duty duty) { return arrivals_[duty]; }
  /// The reported counts by window.
  const std::map<std::int64_t, nlohmann::json>& usage() const { return usage_; }

 private:
  void HandleUsageReport(const nlohmann::json& report) {
    const auto [known, is_new] = usage_.emplace(report.at("window").get<std::int64_t>(), report.at("counts"));
    if (!is_new && known->second != report.at("counts"))
      violations_.push_back("differing reports for window " + std::to_string(known->first));
  }

  // Checks the rules on holders and tokens for a call, and records it.
  void CheckAndRecord(std::vector<Arrival>& earlier, const Arrival& call) {
    bool other_within_lease = false;
    for (auto it = earlier.rbegin(); it != earlier.rend(); ++it) {
      const bool same_holder = it->holder == call.holder;
      if (it->token > call.token) AddViolation("the token decreased", *it, call);
      if (it->token == call.token && !same_holder) AddViolation("two holders with the same token", *it, call);
      if (call.at - it->at >= lease_) continue;
      if (same_holder && other_within_lease) AddViolation("holders alternating within a lease", *it, call);
      other_within_lease = other_within_lease || !same_holder;
    }
    earlier.push_back(call);
  }

  void AddViolation(const std::string& rule, const Arrival& before, const Arrival& call) {
    violations_.push_back(rule + ": holder " + std::to_string(before.holder) + " token " +
                          std::to_string(before.token) + " at " + std::to_string(before.at) + ", holder " +
                          std::to_string(call.holder) + " token " + std::to_string(call.token) + " at " +
                          std::to_string(call.at));
  }

  const Micros lease_;
  std::map<duties::Duty, std::vector<Arrival>> arrivals_;
  std::map<std::int64_t, nlohmann::json> usage_;
  std::vector<std::string> violations_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_FAKE_PLATFORM_HPP_
