#include "control/placement/service_view.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing {
namespace {

// A model that was asked for just now is missed as much as one that is asked for once in so long.
constexpr double kRecentS = 6;
// Idle for so long, a model that nobody ever asked for counts as.
constexpr double kNeverAskedS = 1e3;
// Copies beyond the wanted ones that count as used: what is wanted varies by one from moment to moment.
constexpr int kSpareCopies = 1;
// Where one of several copies goes, its requests run elsewhere: the share of them that is late for it.
constexpr double kLateWithoutCopy = 0.15;
// What an unused copy, and a used one at least, is missed by.
constexpr double kUnusedCopy = 0.01;
constexpr double kUsedCopy = 0.02;
// A request runs for so long, streams in the mean.
constexpr double kRunS = 1.5;
// Requests a second below which a further copy of a model would stand idle.
constexpr double kRequestsPerCopy = 0.5;

}  // namespace

ServiceView::ServiceView(const configuration::Backend& backend, const PlacementState& orders,
                         const Demand& demand, Micros now)
    : backend_(backend), now_(now) {
  TakeModels(demand);
  TakeServers(orders);
  CountWanted();
  double all = 0;
  for (const Server& server : servers_) all += WorkAt(server);
  if (!servers_.empty()) mean_work_ = std::max(1.0, all / static_cast<double>(servers_.size()));
}

void ServiceView::TakeModels(const Demand& demand) {
  const std::vector<configuration::Model>& specs = backend_.runtime->models;
  models_.reserve(specs.size());
  places_.reserve(specs.size());
  for (const configuration::Model& spec : specs) {
    places_.emplace(spec.name, models_.size());
    models_.push_back({&spec, demand.Get(backend_.name, spec.name, now_), 0, 0});
  }
}

void ServiceView::TakeServers(const PlacementState& orders) {
  const auto on_its_way = [this](const std::string& name) {
    if (Model* model = Find(name)) ++model->copies;
  };
  for (const auto& [id, state] : orders.servers()) {
    if (state.service != backend_.name) continue;
    Server server;
    server.id = &id;
    server.state = &state;
    double used = 0;
    for (const HeldModel& held : state.models) {
      Model* model = Find(held.name);
      if (model == nullptr) continue;
      ++model->copies;
      server.held.push_back(static_cast<std::size_t>(model - models_.data()));
      used += model->spec->weights_mb + static_cast<double>(held.adapters.size()) * model->spec->adapter_mb;
    }
    server.free_mb = backend_.runtime->weights_mb - used;
    servers_.push_back(std::move(server));
    if (!state.work) continue;
    const PlacementState::Work& work = *state.work;
    if (work.order.kind == PlacementCall::Kind::kLoad && work.order.adapter.empty())
      on_its_way(work.order.model);
    if (work.then && work.then->adapter.empty()) on_its_way(work.then->model);
  }
}

// A server's models share its time: work is spread evenly if the copies of a model are to the servers as its
// work is to all work.
void ServiceView::CountWanted() {
  double all = 0;
  for (const Model& model : models_) all += model.demand.tokens;
  if (all <= 0) return;
  for (Model& model : models_) {
    const auto even = std::lround(model.demand.tokens / all * static_cast<double>(servers_.size()));
    const auto used = static_cast<long>(model.demand.requests / kRequestsPerCopy);
    model.wanted = static_cast<int>(std::min(even, std::max(1L, used)));
  }
}

ServiceView::Model* ServiceView::Find(std::string_view name) {
  const auto it = places_.find(name);
  return it == places_.end() ? nullptr : &models_[it->second];
}

// One copy of many is missed by the work that it takes off the others; the last one by all who ask.
double ServiceView::CostOfLosing(const Model& model) const {
  const int held = std::max(model.copies, 1);
  const Demand::Of& demand = model.demand;
  if (held > 1) {
    if (held > std::max(model.wanted + kSpareCopies, 1)) return kUnusedCopy / held;
    return std::max(kLateWithoutCopy * demand.requests / held, kUsedCopy);
  }
  const double idle_s =
      demand.asked_at == 0 ? kNeverAskedS : static_cast<double>(now_ - demand.asked_at) / 1e6;
  return std::max(demand.requests, demand.steady) + 1 / (kRecentS + idle_s);
}

double ServiceView::GainOfCopy(const Model& model) const {
  return kLateWithoutCopy * model.demand.requests / std::max(model.copies, 1);
}

// The chance that a request runs on a copy.
double ServiceView::Busy(const Model& model) const {
  return std::min(1.0, model.demand.requests / std::max(model.copies, 1) * kRunS);
}

std::optional<ServiceView::Victim> ServiceView::LeastMissed(const Server& server, double wait_cost) const {
  const auto whole = [](const Victim& victim) { return victim.cost + victim.wait; };
  std::optional<Victim> least;
  for (const std::size_t place : server.held) {
    if (server.state->JustLoaded(models_[place].spec->name, now_)) continue;
    const Victim victim{place, CostOfLosing(models_[place]), wait_cost * Busy(models_[place])};
    if (!least || whole(victim) < whole(*least)) least = victim;
  }
  return least;
}

double ServiceView::WorkAt(const Server& server) const {
  double work = 0;
  for (const std::size_t place : server.held)
    work += models_[place].demand.tokens / std::max(models_[place].copies, 1);
  return work;
}

}  // namespace violetwing
