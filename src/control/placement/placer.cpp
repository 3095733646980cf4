#include "control/placement/placer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace violetwing {
namespace {

// Loads beyond the rate that may begin in a burst. The rule's window allows 10% and three more than the rate.
constexpr double kBurst = 3;
// Adapters come within some ms.
constexpr double kAdapterSeconds = 0.025;
// A server's own disk takes so much of the time that the weight store does.
constexpr double kWarmShare = 0.22;
// A model is unloaded for a further copy of another one only if that is worth clearly more.
constexpr double kWorthMore = 1.5;
// A model whose copies have so many times the work of a server in the mean goes before those that single
// requests wait for: all who ask for it are late.
constexpr double kOverloaded = 1.3;
// Models that are waited for get their place in the order in which they were asked for, those before that so
// many requests a second ask for: after a gap without a placer there are more than can be loaded at once.
constexpr double kManyAsk = 1.5;
// What a server that has twice the mean of all work to do counts as, beside one with the mean, in requests a
// second.
constexpr double kLoadCost = 0.1;
// A load from the weight store costs, in requests a second that go without their model, what its time and its
// price do; one from the server's own disk much less.
constexpr double kColdCost = 0.05;
// An unload waits for the model's runs, 2 to 3 s where there are any; without its victim a server goes
// without what the victim serves for some 5 s. So much of the new model's worth is lost by waiting.
constexpr double kWaitForRuns = 0.5;

std::string NameOf(const std::string& model, const std::string& adapter) {
  return adapter.empty() ? model : model + "/" + adapter;
}

}  // namespace

void Placer::Begin(Micros now) {
  orders_.Clear();
  loads_left_ = 0;
  refilled_at_ = now;
}

void Placer::Refill(const configuration::Configuration& configuration, Micros now) {
  double rate = 0;
  for (const configuration::Backend& backend : configuration.backends)
    if (backend.runtime != nullptr) rate = std::max(rate, backend.runtime->loads_per_s);
  if (rate <= 0) rate = 1;
  loads_left_ = std::min(kBurst, loads_left_ + rate * static_cast<double>(now - refilled_at_) / 1e6);
  refilled_at_ = now;
}

std::vector<PlacementCall> Placer::Plan(const configuration::Configuration& configuration,
                                        InstanceTable& table, Micros now) {
  Refill(configuration, now);
  orders_.Meet(configuration, table, now);
  for (const configuration::Backend& backend : configuration.backends) {
    if (backend.runtime == nullptr) continue;
    ServiceView service(backend, orders_, demand_, now);
    PlaceCopies(service, kOverloaded, now);
    PlaceWaiting(service, now);
    PlaceCopies(service, 0, now);
  }
  orders_.Publish(table);
  return orders_.DueCalls(now);
}

void Placer::PlaceWaiting(ServiceView& service, Micros now) {
  std::vector<std::string> waiting = demand_.Waiting(service.name(), now);
  const auto many = [&](const std::string& name) {
    return demand_.Get(service.name(), name, now).requests >= kManyAsk;
  };
  std::stable_partition(waiting.begin(), waiting.end(), many);
  for (const std::string& name : waiting) {
    const std::size_t slash = name.find('/');
    ServiceView::Model* model = service.Find(std::string_view(name).substr(0, slash));
    if (model == nullptr) continue;
    if (model->copies == 0)
      PlaceModel(service, *model, true, now);
    else if (slash != std::string::npos)
      PlaceAdapter(service, *model, name.substr(slash + 1), now);
  }
}

void Placer::PlaceCopies(ServiceView& service, double least_load, Micros now) {
  const auto short_of = [&](const ServiceView::Model& model) {
    return model.copies > 0 && model.copies < model.wanted && service.LoadOfCopy(model) >= least_load;
  };
  std::vector<ServiceView::Model*> models;
  for (ServiceView::Model& model : service.models())
    if (short_of(model)) models.push_back(&model);
  std::sort(models.begin(), models.end(),
            [&](const auto* a, const auto* b) { return service.LoadOfCopy(*a) > service.LoadOfCopy(*b); });
  for (ServiceView::Model* model : models)
    while (short_of(*model))
      if (!PlaceModel(service, *model, false, now)) break;
}

std::optional<Placer::Place> Placer::FindPlace(ServiceView& service, const ServiceView::Model& model,
                                               double worth) const {
  const std::string& name = model.spec->name;
  const configuration::Runtime& runtime = service.runtime();
  const int at_once = std::max(1, static_cast<int>(std::ceil(runtime.loads_per_s * model.spec->load_time_s)));
  const bool cold_allowed = loads_left_ >= 1 && orders_.LoadsUnderWay() < at_once;
  std::optional<Place> best;
  for (ServiceView::Server& server : service.servers()) {
    if (!server.state->Free() || server.state->Holds(name)) continue;
    Place place;
    place.server = &server;
    place.warm = server.state->ever_held.count(name) > 0;
    if (!place.warm && !cold_allowed) continue;
    if (server.free_mb < model.spec->weights_mb) {
      place.victim = service.LeastMissed(server, kWaitForRuns * worth);
      if (!place.victim) continue;
      const double freed = service.models()[place.victim->model].spec->weights_mb;
      if (server.free_mb + freed < model.spec->weights_mb) continue;
      place.cost += place.victim->cost + place.victim->wait;
    }
    if (!place.warm) place.cost += kColdCost;
    place.cost += kLoadCost * service.WorkAt(server) / service.MeanWork();
    if (!best || place.cost < best->cost) best = place;
  }
  return best;
}

bool Placer::PlaceModel(ServiceView& service, ServiceView::Model& model, bool waited_for, Micros now) {
  const double gain = service.GainOfCopy(model);
  const std::optional<Place> place =
      FindPlace(service, model, waited_for ? std::max(gain, model.demand.requests) : gain);
  if (!place) return false;
  const bool pays = !place->victim || gain >= kWorthMore * place->victim->cost;
  if (!waited_for && !pays) return false;
  if (!place->warm) loads_left_ -= 1;
  const PlacementState::Load load{
      model.spec->name, {}, model.spec->load_time_s * (place->warm ? kWarmShare : 1.0)};
  if (place->victim) {
    ServiceView::Model& goes = service.models()[place->victim->model];
    --goes.copies;
    std::erase(place->server->held, place->victim->model);
    orders_.StartUnload(*place->server->id, goes.spec->name, {}, load, now);
  } else {
    orders_.StartLoad(*place->server->id, load, now);
  }
  ++model.copies;
  return true;
}

bool Placer::PlaceAdapter(ServiceView& service, const ServiceView::Model& model, const std::string& adapter,
                          Micros now) {
  const std::string& name = model.spec->name;
  if (orders_.OnItsWay(service.name(), name, adapter)) return false;
  const auto most = static_cast<std::size_t>(std::max(service.runtime().max_adapters, 0));
  ServiceView::Server* best = nullptr;
  for (ServiceView::Server& server : service.servers()) {
    if (!server.state->Free() || !server.state->Holds(name)) continue;
    if (best == nullptr || server.state->Adapters() < best->state->Adapters()) best = &server;
  }
  if (best == nullptr || most == 0) return false;
  const PlacementState::Load load{name, adapter, kAdapterSeconds};
  if (best->state->Adapters() < most && best->free_mb >= model.spec->adapter_mb) {
    orders_.StartLoad(*best->id, load, now);
  } else {
    const std::optional<PlacementState::Load> oldest = OldestAdapter(service, *best, now);
    if (!oldest) return false;
    orders_.StartUnload(*best->id, oldest->model, oldest->adapter, load, now);
  }
  return true;
}

std::optional<PlacementState::Load> Placer::OldestAdapter(const ServiceView& service,
                                                          const ServiceView::Server& server,
                                                          Micros now) const {
  std::optional<PlacementState::Load> oldest;
  Micros asked_at = 0;
  for (const HeldModel& held : server.state->models)
    for (const std::string& adapter : held.adapters) {
      const Micros asked = demand_.Get(service.name(), NameOf(held.name, adapter), now).asked_at;
      if (oldest && asked >= asked_at) continue;
      oldest = PlacementState::Load{held.name, adapter, 0};
      asked_at = asked;
    }
  return oldest;
}

void Placer::OnAnswer(const PlacementCall& order, int status, Micros now) {
  if (const auto arrived = orders_.OnAnswer(order, status, now))
    demand_.Served(arrived->service, NameOf(arrived->model, arrived->adapter));
}

}  // namespace violetwing
