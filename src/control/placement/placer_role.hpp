// Runs the placer of this process while it holds the lease of the placement duty (RULES.md, "Model servers",
// ONE). A core: it holds no clock, socket, file or thread.
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

/// Starts a `Placer` anew with each token that this process is granted. Not thread-safe.
class PlacerRole {
 public:
  /// Where calls to servers go.
  struct Outputs {
    std::function<void(const PlacementCall&, duties::FencingToken)> send_order;
    std::function<void(const PlacementCall&)> request_report;
  };

  /// A role without a lease yet.
  explicit PlacerRole(Outputs outputs) : outputs_(std::move(outputs)) {}

  /// Adds sidecars' reports on the demand for models.
  void RecordDemand(const std::vector<ModelDemand>& demand, Micros now);
  /// Plans, unless it has planned so lately that plans would take most of the process's time, and makes the
  /// calls that are due. To be called only while this process holds the lease under `token`.
  void Tick(duties::FencingToken token, const configuration::State& configuration, InstanceTable& table,
            Micros now);
  /// When the next call is due, as far as this process still holds the lease; empty if none is.
  std::optional<Micros> NextDueAt() const { return token_ == 0 ? std::nullopt : placer_.NextDueAt(); }
  /// Handles the answer to an order: its HTTP status, 0 for no answer.
  void OnOrderAnswered(const PlacementCall& call, int http_status, Micros now) {
    placer_.OnOrderAnswered(call, OrderStatusOf(http_status), now);
  }
  /// Handles a server's report; empty if the server did not answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
    placer_.OnReport(instance, report, now);
  }

 private:
  void Send(const std::vector<PlacementCall>& calls) const;
  void Send(const PlacementCall& call) const;

  const Outputs outputs_;
  Placer placer_;
  Micros next_plan_at_ = 0;         // not before
  duties::FencingToken token_ = 0;  // under which the placer has begun; 0: none
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_
