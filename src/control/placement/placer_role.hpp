// When this process places models: while it leads the configuration's shard, one after the other over all
// processes. Its term is the fencing token, as it rises with each leader and no second one has it. A new
// placer keeps still until no order of the one before can be on its way. A core: it holds no clock, socket,
// file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/state.hpp"
#include "control/consensus/replica.hpp"
#include "control/placement/placer.hpp"

namespace violetwing {

class PlacerRole {
 public:
  struct Outputs {
    std::function<void(const PlacementCall&, consensus::Term fencing_token)> order;
    std::function<void(const PlacementCall&)> ask_report;
  };

  // `lease` in microseconds: the shortest time between orders of two placers.
  PlacerRole(Micros lease, Outputs outputs) : lease_(lease), outputs_(std::move(outputs)) {}

  void CountDemand(const std::vector<ModelDemand>& demand, Micros now);
  // Gives the orders that are due, if this process may.
  void Tick(const consensus::Replica& replica, const configuration::State& configuration,
            InstanceTable& table, Micros now);
  // When the next order is due; empty if none is, or if this process does not give them.
  std::optional<Micros> NextDueAt() const { return acting_ ? placer_.NextDueAt() : std::nullopt; }
  void OnOrderAnswered(const PlacementCall& order, int status, Micros now) {
    placer_.OnAnswer(order, status, now);
  }
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
    placer_.OnReport(instance, report, now);
  }

 private:
  const Micros lease_;
  const Outputs outputs_;
  Placer placer_;
  consensus::Term term_ = 0;  // in which this process leads; 0 if it does not
  Micros acts_from_ = 0;
  bool acting_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_ROLE_HPP_
