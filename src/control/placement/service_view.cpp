#include "control/placement/service_view.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace violetwing {
namespace {

// Evicting the last replica of a model that was requested just now costs as much as evicting one that is
// requested once per this many seconds.
constexpr double kRecentRequestIntervalS = 6;
// Idle time assumed for a model that was never requested, in seconds.
constexpr double kNeverRequestedIdleS = 1e3;
// Number of replicas beyond the target that still count as used, because the target fluctuates by one.
constexpr int kSpareReplicas = 1;
// Fraction of a replica's requests that are late when other replicas have to serve them after its eviction.
constexpr double kLateFraction = 0.15;
// Eviction cost of all unused replicas of a model together, and minimum eviction cost of a replica that is
// used, in requests per second.
constexpr double kUnusedReplicaCost = 0.01;
constexpr double kMinUsedReplicaCost = 0.02;
// Mean duration of a request, in seconds. Most requests are streams.
constexpr double kMeanRequestS = 1.5;
// An additional replica that would serve fewer requests per second than this would be idle.
constexpr double kMinReplicaRequestsPerSecond = 0.5;

}  // namespace

ServiceView::ServiceView(const configuration::Backend& backend, const PlacementState& state,
                         const DemandTracker& demand, Micros now)
    : backend_(backend), now_(now) {
  AddModels(demand);
  AddServers(state);
  SetTargetReplicas();
  SetMeanTokensPerSecond();
}

void ServiceView::AddModels(const DemandTracker& demand) {
  const std::vector<configuration::Model>& specs = backend_.runtime->models;
  models_.reserve(specs.size());
  model_index_.reserve(specs.size());
  for (const configuration::Model& spec : specs) {
    model_index_.emplace(spec.name, models_.size());
    models_.push_back({&spec, demand.Get(backend_.name, spec.name, now_), 0, 0});
  }
}

void ServiceView::AddServers(const PlacementState& state) {
  for (const auto& [id, server] : state.servers()) {
    if (server.service != backend_.name) continue;
    servers_.push_back(MakeServer(id, server));
    if (server.in_flight) CountLoadingReplicas(*server.in_flight);
  }
}

ServiceView::Server ServiceView::MakeServer(const std::string& id, const ServerPlacement& state) {
  Server server;
  server.id = &id;
  server.state = &state;
  double used_mb = 0;
  for (const HeldModel& held : state.models) {
    Model* model = Find(held.name);
    if (model == nullptr) continue;
    ++model->replicas;
    server.models.push_back(static_cast<std::size_t>(model - models_.data()));
    used_mb += model->spec->weights_mb + static_cast<double>(held.adapters.size()) * model->spec->adapter_mb;
  }
  server.free_mb = backend_.runtime->weights_mb - used_mb;
  return server;
}

void ServiceView::CountLoadingReplicas(const InFlightOrder& order) {
  if (order.call.kind == PlacementCall::Kind::kLoad && order.call.adapter.empty())
    CountReplica(order.call.model);
  if (order.next_load && order.next_load->adapter.empty()) CountReplica(order.next_load->model);
}

void ServiceView::CountReplica(const std::string& name) {
  if (Model* model = Find(name)) ++model->replicas;
}

// The models of a server share its compute time. The load is balanced if each model's share of the replicas
// equals its share of the tokens.
void ServiceView::SetTargetReplicas() {
  double total_tokens_per_second = 0;
  for (const Model& model : models_) total_tokens_per_second += model.demand.tokens_per_second;
  if (total_tokens_per_second <= 0) return;
  for (Model& model : models_) {
    const double share = model.demand.tokens_per_second / total_tokens_per_second;
    const auto balanced = std::lround(share * static_cast<double>(servers_.size()));
    const auto max_busy = static_cast<long>(model.demand.requests_per_second / kMinReplicaRequestsPerSecond);
    model.target_replicas = static_cast<int>(std::min(balanced, std::max(1L, max_busy)));
  }
}

void ServiceView::SetMeanTokensPerSecond() {
  double total_tokens_per_second = 0;
  for (const Server& server : servers_) total_tokens_per_second += TokensPerSecond(server);
  if (!servers_.empty())
    mean_tokens_per_second_ = std::max(1.0, total_tokens_per_second / static_cast<double>(servers_.size()));
}

ServiceView::Model* ServiceView::Find(std::string_view name) {
  const auto it = model_index_.find(name);
  return it == model_index_.end() ? nullptr : &models_[it->second];
}

// If one of several replicas is evicted, the others take over its load. If the last one is evicted, all
// requests for the model fail.
double ServiceView::EvictionCost(const Model& model) const {
  const int replicas = std::max(model.replicas, 1);
  const DemandStats& demand = model.demand;
  if (replicas > 1) {
    if (replicas > std::max(model.target_replicas + kSpareReplicas, 1)) return kUnusedReplicaCost / replicas;
    return std::max(kLateFraction * demand.requests_per_second / replicas, kMinUsedReplicaCost);
  }
  const double idle_s = demand.last_request_at == 0
                            ? kNeverRequestedIdleS
                            : static_cast<double>(now_ - demand.last_request_at) / 1e6;
  const double requests_per_second = std::max(demand.requests_per_second, demand.steady_requests_per_second);
  return requests_per_second + 1 / (kRecentRequestIntervalS + idle_s);
}

double ServiceView::ReplicaGain(const Model& model) {
  return kLateFraction * model.demand.requests_per_second / std::max(model.replicas, 1);
}

// Returns the probability that a replica is running a request.
double ServiceView::BusyProbability(const Model& model) {
  return std::min(1.0, model.demand.requests_per_second / std::max(model.replicas, 1) * kMeanRequestS);
}

std::optional<ServiceView::EvictionCandidate> ServiceView::CheapestEviction(const Server& server,
                                                                            double drain_cost) const {
  std::optional<EvictionCandidate> cheapest;
  for (const std::size_t index : server.models) {
    const Model& model = models_[index];
    if (server.state->JustLoaded(model.spec->name, now_)) continue;
    const EvictionCandidate candidate{index, EvictionCost(model), drain_cost * BusyProbability(model)};
    if (!cheapest || candidate.TotalCost() < cheapest->TotalCost()) cheapest = candidate;
  }
  return cheapest;
}

double ServiceView::TokensPerSecond(const Server& server) const {
  double tokens_per_second = 0;
  for (const std::size_t index : server.models)
    tokens_per_second += models_[index].demand.tokens_per_second / std::max(models_[index].replicas, 1);
  return tokens_per_second;
}

double ServiceView::RelativeReplicaLoad(const Model& model) const {
  return model.demand.tokens_per_second / std::max(model.replicas, 1) / mean_tokens_per_second_;
}

}  // namespace violetwing
