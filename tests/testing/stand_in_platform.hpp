// A stand-in of the platform that takes duties' calls, written from the users' page on duties. It judges what
// arrives by their rules on holders and reports, and may be down, slow or lose answers.
#ifndef VIOLETWING_TESTS_TESTING_STAND_IN_PLATFORM_HPP_
#define VIOLETWING_TESTS_TESTING_STAND_IN_PLATFORM_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/duties/duty.hpp"
#include "control/duties/platform_call.hpp"

namespace violetwing::testing {

/// Holders are machines, whatever name their calls bear. Times in microseconds.
class StandInPlatform {
 public:
  explicit StandInPlatform(Micros lease) : lease_(lease) {}

  struct Arrival {
    std::size_t holder = 0;
    duties::FencingToken token = 0;
    Micros at = 0;
  };

  bool down = false;

  /// Returns the HTTP status. Answers that get lost are the caller's affair.
  int Take(std::size_t holder, const duties::PlatformCall& call, Micros now) {
    Judge(arrivals_[call.duty], {holder, call.token, now});
    if (down) return 0;
    if (call.duty == duties::Duty::kUsage) TakeUsage(nlohmann::json::parse(call.body));
    return 200;
  }

  const std::vector<std::string>& violations() const { return violations_; }
  const std::vector<Arrival>& arrivals(duties::Duty duty) { return arrivals_[duty]; }
  /// The counts taken, by window.
  const std::map<std::int64_t, nlohmann::json>& usage() const { return usage_; }

 private:
  void TakeUsage(const nlohmann::json& report) {
    const auto [known, is_new] = usage_.emplace(report.at("window").get<std::int64_t>(), report.at("counts"));
    if (!is_new && known->second != report.at("counts"))
      violations_.push_back("two reports for window " + std::to_string(known->first));
  }

  void Judge(std::vector<Arrival>& earlier, const Arrival& call) {
    bool other_within_lease = false;
    for (auto it = earlier.rbegin(); it != earlier.rend(); ++it) {
      const bool same_holder = it->holder == call.holder;
      if (it->token > call.token) Report("a lower token", *it, call);
      if (it->token == call.token && !same_holder) Report("a token of two holders", *it, call);
      if (call.at - it->at >= lease_) continue;
      if (same_holder && other_within_lease) Report("holders by turns", *it, call);
      other_within_lease = other_within_lease || !same_holder;
    }
    earlier.push_back(call);
  }

  void Report(const std::string& rule, const Arrival& before, const Arrival& call) {
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

#endif  // VIOLETWING_TESTS_TESTING_STAND_IN_PLATFORM_HPP_
