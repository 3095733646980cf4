#include "control/placement/service_view.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace violetwing {
namespace {

// Losing the last replica of a model requested just now costs as much as that of one requested once per this
// time, in seconds.
constexpr double kRecentRequestS = 6;
// Idle time assumed for a model that was never requested, in seconds.
constexpr double kNeverRequestedIdleS = 1e3;
// Replicas beyond the target that count as used: the target varies by one from moment to moment.
constexpr int kSpareReplicas = 1;
// Share of a replica's requests that are late after its loss while other replicas serve them.
constexpr double kLateShare = 0.15;
// Eviction cost of all the replicas of a model together that are not used, and at least of one that is, in
// requests per second.
constexpr double kUnusedReplicaCost = 0.01;
constexpr double kMinUsedReplicaCost = 0.02;
// Mean duration of a request, in seconds; most are streams.
constexpr double kMeanRequestS = 1.5;
// Requests per second below which a further replica would stand idle.
constexpr double kMinRequestsPerReplica = 0.5;

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

ServiceView::Server ServiceView::MakeServer(const std::string& id, const ServerState& state) {
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

// A server's models share its time: load is even if a model's share of the replicas is its share of the
// tokens.
void ServiceView::SetTargetReplicas() {
  double all_tokens = 0;
  for (const Model& model : models_) all_tokens += model.demand.tokens_per_second;
  if (all_tokens <= 0) return;
  for (Model& model : models_) {
    const double share = model.demand.tokens_per_second / all_tokens;
    const auto even = std::lround(share * static_cast<double>(servers_.size()));
    const auto busy = static_cast<long>(model.demand.requests_per_second / kMinRequestsPerReplica);
    model.target_replicas = static_cast<int>(std::min(even, std::max(1L, busy)));
  }
}

void ServiceView::SetMeanTokensPerSecond() {
  double all_tokens = 0;
  for (const Server& server : servers_) all_tokens += TokensPerSecond(server);
  if (!servers_.empty())
    mean_tokens_per_second_ = std::max(1.0, all_tokens / static_cast<double>(servers_.size()));
}

ServiceView::Model* ServiceView::Find(std::string_view name) {
  const auto it = model_index_.find(name);
  return it == model_index_.end() ? nullptr : &models_[it->second];
}

// Without one of several replicas, the others take over its load; without the last one, all requests for the
// model fail.
double ServiceView::EvictionCost(const Model& model) const {
  const int replicas = std::max(model.replicas, 1);
  const DemandStats& demand = model.demand;
  if (replicas > 1) {
    if (replicas > std::max(model.target_replicas + kSpareReplicas, 1)) return kUnusedReplicaCost / replicas;
    return std::max(kLateShare * demand.requests_per_second / replicas, kMinUsedReplicaCost);
  }
  const double idle_s = demand.last_request_at == 0
                            ? kNeverRequestedIdleS
                            : static_cast<double>(now_ - demand.last_request_at) / 1e6;
  const double requests_per_second = std::max(demand.requests_per_second, demand.steady_requests_per_second);
  return requests_per_second + 1 / (kRecentRequestS + idle_s);
}

double ServiceView::ReplicaGain(const Model& model) {
  return kLateShare * model.demand.requests_per_second / std::max(model.replicas, 1);
}

// The probability that a request runs on a replica.
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
