// Runs the placer in this process while it holds the lease of the placement duty (RULES.md, "Model servers",
// ONE). Does no I/O, reads no clock and starts no threads.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/state.hpp"
#include "control/duties/duty.hpp"
#include "control/placement/placer.hpp"

namespace violetwing {

/// Starts a new term of the `Placer` for each fencing token that this process is granted. Times are in
/// microseconds of one steady clock. Not thread-safe.
class PlacerRole {
 public:
  /// Callbacks that send calls to servers.
  struct Outputs {
    std::function<void(const PlacementCall&, duties::FencingToken)> send_order;
    std::function<void(const PlacementCall&)> request_report;
  };

  /// Creates a role that holds no lease.
  explicit PlacerRole(Outputs outputs) : outputs_(std::move(outputs)) {}

  /// Records sidecars' reports on the demand for models.
  void RecordDemand(const std::vector<ModelDemand>& demand, Micros now);
  /// Makes the calls that are due. Plans first, unless the minimum interval since the last plan has not
  /// passed; otherwise planning could take most of the process's time. Must be called only while this process
  /// holds the lease under `token`.
  void Tick(duties::FencingToken token, const configuration::State& configuration, InstanceTable& table,
            Micros now);
  /// Returns the time at which the next call is due, provided that this process still holds the lease; empty
  /// if no call is scheduled.
  std::optional<Micros> NextDueAt() const { return token_ == 0 ? std::nullopt : placer_.NextDueAt(); }
  /// Handles the answer to an order. `http_status` is 0 if there was no answer.
  void OnOrderAnswered(const PlacementCall& call, int http_status, Micros now) {
    placer_.OnOrderAnswered(call, OrderStatusOf(http_status), now);
  }
  /// Handles a server's report; `report` is empty if the server did not answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
    placer_.OnReport(instance, report, now);
  }

 private:
  void Send(const std::vector<PlacementCall>& calls) const;
  void Send(const PlacementCall& call) const;

  const Outputs outputs_;
  Placer placer_;
  Micros next_plan_at_ = 0;         // earliest time of the next plan
  duties::FencingToken token_ = 0;  // token of the placer's current term; 0 if there is none
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_
