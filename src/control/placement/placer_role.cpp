#include "control/placement/placer_role.hpp"

namespace violetwing {

void PlacerRole::RecordDemand(const std::vector<ModelDemand>& demand, Micros now) {
  for (const ModelDemand& model : demand) placer_.RecordDemand(model, now);
}

bool PlacerRole::KeepsLeading(const consensus::Replica& replica, Micros now) {
  if (replica.leader() && term_ == replica.term()) return true;
  active_ = false;
  term_ = replica.leader() ? replica.term() : 0;
  acts_from_ = now + lease_;
  return false;
}

void PlacerRole::Tick(const consensus::Replica& replica, const configuration::State& configuration,
                      InstanceTable& table, Micros now) {
  if (!KeepsLeading(replica, now)) return;
  const bool may_act = replica.Ready() && replica.HasLease(now) && configuration.current() != nullptr;
  if (!may_act || now < acts_from_) return;
  if (!std::exchange(active_, true)) placer_.Begin(now);
  for (const PlacementCall& call : placer_.Plan(*configuration.current(), table, now)) Send(call);
}

void PlacerRole::Send(const PlacementCall& call) const {
  if (call.kind == PlacementCall::Kind::kReport)
    outputs_.request_report(call);
  else
    outputs_.send_order(call, term_);
}

}  // namespace violetwing
