#include "control/placement/placer_role.hpp"

namespace violetwing {

void PlacerRole::RecordDemand(const std::vector<ModelDemand>& demand, Micros now) {
  for (const ModelDemand& model : demand) placer_.RecordDemand(model, now);
}

void PlacerRole::Tick(duties::FencingToken token, const configuration::State& configuration,
                      InstanceTable& table, Micros now) {
  if (configuration.current() == nullptr) return;
  // Under another token others may have ordered meanwhile.
  if (std::exchange(token_, token) != token) placer_.Begin(now);
  for (const PlacementCall& call : placer_.Plan(*configuration.current(), table, now)) Send(call);
}

void PlacerRole::Send(const PlacementCall& call) const {
  if (call.kind == PlacementCall::Kind::kReport)
    outputs_.request_report(call);
  else
    outputs_.send_order(call, token_);
}

}  // namespace violetwing
