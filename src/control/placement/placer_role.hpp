// Decides when this process is the placer: while it leads the configuration's shard and holds the leader's
// lease. The leader's term is the fencing token of its orders, since it rises with each leader and no two
// leaders share one (RULES.md, "Model servers", ONE). A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/state.hpp"
#include "control/consensus/replica.hpp"
#include "control/placement/placer.hpp"

namespace violetwing {

/// Starts and stops a `Placer` with the leadership of this process. Not thread-safe.
class PlacerRole {
 public:
  /// Where calls to servers go.
  struct Outputs {
    std::function<void(const PlacementCall&, consensus::Term fencing_token)> send_order;
    std::function<void(const PlacementCall&)> request_report;
  };

  /// `lease`: the shortest time between orders of two placers (setting `lease_ms`).
  PlacerRole(Micros lease, Outputs outputs) : lease_(lease), outputs_(std::move(outputs)) {}

  /// Adds sidecars' reports on the demand for models.
  void RecordDemand(const std::vector<ModelDemand>& demand, Micros now);
  /// Makes the calls that are due, if this process is the placer.
  void Tick(const consensus::Replica& replica, const configuration::State& configuration,
            InstanceTable& table, Micros now);
  /// When the next call is due; empty if none is, or if this process is not the placer.
  std::optional<Micros> NextDueAt() const { return active_ ? placer_.NextDueAt() : std::nullopt; }
  /// Handles the answer to an order: its HTTP status, 0 for no answer.
  void OnOrderAnswered(const PlacementCall& call, int http_status, Micros now) {
    placer_.OnOrderAnswered(call, OrderStatusOf(http_status), now);
  }
  /// Handles a server's report; empty if the server did not answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
    placer_.OnReport(instance, report, now);
  }

 private:
  // Whether this process has led in the same term since the tick before.
  bool KeepsLeading(const consensus::Replica& replica, Micros now);
  void Send(const PlacementCall& call) const;

  const Micros lease_;
  const Outputs outputs_;
  Placer placer_;
  consensus::Term term_ = 0;  // in which this process leads; 0 if it does not
  Micros acts_from_ = 0;      // no order of the placer before can be on its way from this time on
  bool active_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_
