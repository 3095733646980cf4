#include "control/placement/server_placement.hpp"

#include <algorithm>

namespace violetwing {
namespace {

using Kind = PlacementCall::Kind;

// Requests that were waiting for a model start running on it within this time after the load.
constexpr Micros kJustLoadedPeriod = 2'000'000;

}  // namespace

bool InFlightOrder::Loads(const std::string& model, const std::string& adapter) const {
  const bool loads = call.kind == Kind::kLoad && call.model == model && call.adapter == adapter;
  return loads || (next_load && next_load->model == model && next_load->adapter == adapter);
}

bool InFlightOrder::LoadsModel() const {
  return (call.kind == Kind::kLoad && call.adapter.empty()) || (next_load && next_load->adapter.empty());
}

bool ServerPlacement::Holds(const std::string& model) const {
  return std::any_of(models.begin(), models.end(), [&](const HeldModel& held) { return held.name == model; });
}

bool ServerPlacement::JustLoaded(const std::string& model, Micros now) const {
  const auto it = loaded_at.find(model);
  return it != loaded_at.end() && now - it->second < kJustLoadedPeriod;
}

std::size_t ServerPlacement::AdapterCount() const {
  std::size_t count = 0;
  for (const HeldModel& held : models) count += held.adapters.size();
  return count;
}

void ServerPlacement::SetHeld(const std::string& model, const std::string& adapter, bool held) {
  if (adapter.empty()) {
    std::erase_if(models, [&](const HeldModel& held_model) { return held_model.name == model; });
    if (held) models.push_back({model, 0, {}});
    return;
  }
  for (HeldModel& held_model : models) {
    if (held_model.name != model) continue;
    std::erase(held_model.adapters, adapter);
    if (held) held_model.adapters.push_back(adapter);
  }
}

}  // namespace violetwing
