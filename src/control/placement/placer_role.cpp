#include "control/placement/placer_role.hpp"

#include <utility>

namespace violetwing {

void PlacerRole::CountDemand(const std::vector<ModelDemand>& demand, Micros now) {
  for (const ModelDemand& one : demand) placer_.CountDemand(one, now);
}

void PlacerRole::Tick(const consensus::Replica& replica, const configuration::State& configuration,
                      InstanceTable& table, Micros now) {
  if (!replica.leader() || term_ != replica.term()) {
    acting_ = false;
    term_ = replica.leader() ? replica.term() : 0;
    acts_from_ = now + lease_;
    return;
  }
  const bool may = replica.Ready() && replica.HasLease(now) && configuration.current() != nullptr;
  if (!may || now < acts_from_) return;
  if (!std::exchange(acting_, true)) placer_.Begin(now);
  for (const PlacementCall& call : placer_.Plan(*configuration.current(), table, now)) {
    if (call.kind == PlacementCall::Kind::kReport)
      outputs_.ask_report(call);
    else
      outputs_.order(call, term_);
  }
}

}  // namespace violetwing
