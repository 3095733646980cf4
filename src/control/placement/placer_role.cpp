#include "control/placement/placer_role.hpp"

namespace violetwing {
namespace {

// Minimum interval between two plans, per model and server: 30 us. The cost of a plan grows with the number
// of both, and demand reports and answers to orders arrive hundreds of times per second.
constexpr Micros kPlanIntervalPerItem = 30;

Micros PlanInterval(const configuration::Configuration& configuration, const InstanceTable& table) {
  std::size_t items = table.size();
  for (const configuration::Backend& backend : configuration.backends)
    if (backend.runtime != nullptr) items += backend.runtime->models.size();
  return static_cast<Micros>(items) * kPlanIntervalPerItem;
}

}  // namespace

void PlacerRole::RecordDemand(const std::vector<ModelDemand>& demand, Micros now) {
  for (const ModelDemand& model : demand) placer_.RecordDemand(model, now);
}

void PlacerRole::Tick(duties::FencingToken token, const configuration::State& configuration,
                      InstanceTable& table, Micros now) {
  if (configuration.current() == nullptr) return;
  // If the token has changed, another holder of the lease may have sent orders in the meantime.
  if (std::exchange(token_, token) != token) {
    placer_.BeginTerm(now);
    next_plan_at_ = now;
  }
  if (now < next_plan_at_) return Send(placer_.TakeDueCalls(now));
  Send(placer_.Plan(*configuration.current(), table, now));
  next_plan_at_ = now + PlanInterval(*configuration.current(), table);
}

void PlacerRole::Send(const std::vector<PlacementCall>& calls) const {
  for (const PlacementCall& call : calls) Send(call);
}

void PlacerRole::Send(const PlacementCall& call) const {
  if (call.kind == PlacementCall::Kind::kReport)
    outputs_.request_report(call);
  else
    outputs_.send_order(call, token_);
}

}  // namespace violetwing
