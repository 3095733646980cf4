#include "control/placement/placer.hpp"

#include <algorithm>
#include <cmath>

#include "control/placement/weights_name.hpp"

namespace violetwing {
namespace {

// Maximum burst of loads from the weight store. The limit allows 10% and three loads above the configured
// rate (RULES.md, "Model servers").
constexpr double kStoreLoadBurst = 3;
// Rate of loads from the weight store if the configuration does not set one.
constexpr double kDefaultStoreLoadsPerSecond = 1;
// Expected duration of an adapter load, in seconds: an adapter is transferred within milliseconds.
constexpr double kAdapterLoadS = 0.025;
// Duration of a load from the server's local disk, as a fraction of one from the weight store.
constexpr double kLocalDiskTimeFraction = 0.22;
// A model is evicted in favor of an additional replica only if the gain is at least this many times the cost.
constexpr double kMinGainPerCost = 1.5;
// Models whose replicas have at least this many times the mean load of a server get replicas before models
// that single requests are waiting for, because all requests to an overloaded model are late.
constexpr double kOverloadedRelativeLoad = 1.3;
// Models that requests are waiting for are loaded in the order of their first request, but those with at
// least this many requests per second come first: after a period without a placer, more models are waiting
// than can be loaded at once.
constexpr double kHighDemandRequestsPerSecond = 1.5;
// Cost of loading a model on a server with the mean load, in requests per second. The cost is proportional to
// the server's load.
constexpr double kServerLoadCost = 0.1;
// Additional cost of a load from the weight store over one from the server's local disk, in requests per
// second.
constexpr double kStoreLoadCost = 0.05;
// Fraction of a model's value that is lost while an unload waits for running requests: this takes 2 to 3 s of
// the roughly 5 s for which the server does not hold the evicted model.
constexpr double kDrainValueFraction = 0.5;

// The weight store is shared by all services, so the highest configured rate applies.
double StoreLoadsPerSecond(const configuration::Configuration& configuration) {
  double rate = 0;
  for (const configuration::Backend& backend : configuration.backends)
    if (backend.runtime != nullptr) rate = std::max(rate, backend.runtime->loads_per_s);
  return rate > 0 ? rate : kDefaultStoreLoadsPerSecond;
}

}  // namespace

Placer::Placer() : store_loads_(kStoreLoadBurst) {}

void Placer::BeginTerm(Micros now) {
  state_.Clear();
  store_loads_.Reset(now);
}

std::vector<PlacementCall> Placer::Plan(const configuration::Configuration& configuration,
                                        InstanceTable& table, Micros now) {
  store_loads_.Refill(StoreLoadsPerSecond(configuration), now);
  state_.ReconcileServers(configuration, table, now);
  for (const configuration::Backend& backend : configuration.backends) {
    if (backend.runtime == nullptr) continue;
    ServiceView service(backend, state_, demand_, now);
    AddReplicas(service, kOverloadedRelativeLoad, now);
    LoadAwaitedWeights(service, now);
    AddReplicas(service, 0, now);
  }
  state_.Publish(table);
  return TakeDueCalls(now);
}

void Placer::OnOrderAnswered(const PlacementCall& call, OrderStatus status, Micros now) {
  if (const auto loaded = state_.OnOrderAnswered(call, status, now))
    demand_.OnLoaded(loaded->service, WeightsName(loaded->model, loaded->adapter));
}

// ---- Choice of models ----

void Placer::LoadAwaitedWeights(ServiceView& service, Micros now) {
  std::vector<std::string> waiting = demand_.WaitingNames(service.name(), now);
  std::stable_partition(waiting.begin(), waiting.end(), [&](const std::string& name) {
    return demand_.Get(service.name(), name, now).requests_per_second >= kHighDemandRequestsPerSecond;
  });
  for (const std::string& name : waiting) {
    ServiceView::Model* model = service.Find(ModelIn(name));
    if (model == nullptr) continue;
    if (model->replicas == 0)
      LoadModel(service, *model, LoadReason::kRequestsWaiting, now);
    else if (const std::optional<std::string> adapter = AdapterIn(name))
      LoadAdapter(service, *model, *adapter, now);
  }
}

void Placer::AddReplicas(ServiceView& service, double min_relative_load, Micros now) {
  const auto needs_replicas = [&](const ServiceView::Model& model) {
    return model.replicas > 0 && model.replicas < model.target_replicas &&
           service.RelativeReplicaLoad(model) >= min_relative_load;
  };
  std::vector<ServiceView::Model*> models;
  for (ServiceView::Model& model : service.models())
    if (needs_replicas(model)) models.push_back(&model);
  std::sort(models.begin(), models.end(), [&](const auto* a, const auto* b) {
    return service.RelativeReplicaLoad(*a) > service.RelativeReplicaLoad(*b);
  });
  for (ServiceView::Model* model : models)
    while (needs_replicas(*model))
      if (!LoadModel(service, *model, LoadReason::kMoreReplicas, now)) break;
}

// ---- Choice of a server ----

bool Placer::LoadModel(ServiceView& service, ServiceView::Model& model, LoadReason reason, Micros now) {
  const bool requests_wait = reason == LoadReason::kRequestsWaiting;
  const double gain = ServiceView::ReplicaGain(model);
  const double value = requests_wait ? std::max(gain, model.demand.requests_per_second) : gain;
  const std::optional<PlacementOption> option = CheapestOption(service, model, value);
  if (!option) return false;
  const bool gain_justifies_cost =
      !option->eviction || gain >= kMinGainPerCost * option->eviction->eviction_cost;
  if (!requests_wait && !gain_justifies_cost) return false;
  StartModelLoad(service, model, *option, now);
  return true;
}

void Placer::StartModelLoad(ServiceView& service, ServiceView::Model& model, const PlacementOption& option,
                            Micros now) {
  if (!option.on_local_disk) store_loads_.Take();
  const double time_fraction = option.on_local_disk ? kLocalDiskTimeFraction : 1.0;
  const LoadRequest load{model.spec->name, {}, model.spec->load_time_s * time_fraction};
  ServiceView::Server& server = *option.server;
  if (option.eviction) {
    ServiceView::Model& evicted = service.models()[option.eviction->model];
    --evicted.replicas;
    std::erase(server.models, option.eviction->model);
    state_.StartUnload(*server.id, evicted.spec->name, {}, load, now);
  } else {
    state_.StartLoad(*server.id, load, now);
  }
  ++model.replicas;
}

std::optional<Placer::PlacementOption> Placer::CheapestOption(ServiceView& service,
                                                              const ServiceView::Model& model,
                                                              double value) const {
  const bool store_load_allowed = StoreLoadAllowed(service.runtime(), *model.spec);
  std::optional<PlacementOption> cheapest;
  for (ServiceView::Server& server : service.servers()) {
    const auto option = OptionAt(service, model, server, value, store_load_allowed);
    if (option && (!cheapest || option->cost < cheapest->cost)) cheapest = option;
  }
  return cheapest;
}

std::optional<Placer::PlacementOption> Placer::OptionAt(ServiceView& service, const ServiceView::Model& model,
                                                        ServiceView::Server& server, double value,
                                                        bool store_load_allowed) {
  const std::string& name = model.spec->name;
  if (!server.state->Idle() || server.state->Holds(name)) return std::nullopt;
  PlacementOption option;
  option.server = &server;
  option.on_local_disk = server.state->previously_held.count(name) > 0;
  if (!option.on_local_disk && !store_load_allowed) return std::nullopt;
  if (server.free_mb < model.spec->weights_mb) {
    option.eviction = service.CheapestEviction(server, kDrainValueFraction * value);
    if (!option.eviction) return std::nullopt;
    const double freed_mb = service.models()[option.eviction->model].spec->weights_mb;
    if (server.free_mb + freed_mb < model.spec->weights_mb) return std::nullopt;
    option.cost += option.eviction->TotalCost();
  }
  if (!option.on_local_disk) option.cost += kStoreLoadCost;
  option.cost += kServerLoadCost * service.TokensPerSecond(server) / service.MeanTokensPerSecond();
  return option;
}

bool Placer::StoreLoadAllowed(const configuration::Runtime& runtime,
                              const configuration::Model& model) const {
  const int max_concurrent =
      std::max(1, static_cast<int>(std::ceil(runtime.loads_per_s * model.load_time_s)));
  return store_loads_.HasToken() && state_.ModelLoadsInFlight() < max_concurrent;
}

// ---- Adapters ----

void Placer::LoadAdapter(ServiceView& service, const ServiceView::Model& model, const std::string& adapter,
                         Micros now) {
  const std::string& name = model.spec->name;
  if (state_.IsLoading(service.name(), name, adapter)) return;
  const auto max_adapters = static_cast<std::size_t>(std::max(service.runtime().max_adapters, 0));
  if (max_adapters == 0) return;
  ServiceView::Server* best = nullptr;  // the candidate with the fewest adapters
  for (ServiceView::Server& server : service.servers()) {
    if (!server.state->Idle() || !server.state->Holds(name)) continue;
    if (best == nullptr || server.state->AdapterCount() < best->state->AdapterCount()) best = &server;
  }
  if (best == nullptr) return;
  const LoadRequest load{name, adapter, kAdapterLoadS};
  if (best->state->AdapterCount() < max_adapters && best->free_mb >= model.spec->adapter_mb) {
    state_.StartLoad(*best->id, load, now);
  } else if (const auto evicted = LeastRecentlyRequestedAdapter(service, *best, now)) {
    state_.StartUnload(*best->id, evicted->model, evicted->adapter, load, now);
  }
}

std::optional<Placer::HeldAdapter> Placer::LeastRecentlyRequestedAdapter(const ServiceView& service,
                                                                         const ServiceView::Server& server,
                                                                         Micros now) const {
  std::optional<HeldAdapter> oldest;
  Micros oldest_request_at = 0;
  for (const HeldModel& held : server.state->models)
    for (const std::string& adapter : held.adapters) {
      const std::string name = WeightsName(held.name, adapter);
      const Micros last_request_at = demand_.Get(service.name(), name, now).last_request_at;
      if (oldest && last_request_at >= oldest_request_at) continue;
      oldest = HeldAdapter{held.name, adapter};
      oldest_request_at = last_request_at;
    }
  return oldest;
}

}  // namespace violetwing
