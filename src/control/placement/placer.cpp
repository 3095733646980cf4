#include "placer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace violetwing {
namespace {

using configuration::Model;

// Loads beyond the rate that may begin in a burst. The rule's window allows 10% and three more than the rate.
constexpr double kBurst = 3;
// Sidecars learn within this time that a model is about to go.
constexpr Placer::Micros kBeforeUnload = 60'000;
// An order that is under way is asked after again by repeating it.
constexpr Placer::Micros kAskAgain = 120'000;
// One that found the server at another order, or got no answer.
constexpr Placer::Micros kTryAgain = 250'000;
constexpr Placer::Micros kGiveUpAfter = 12'000'000;
// Adapters come within some ms.
constexpr double kAdapterSeconds = 0.025;
// A server's own disk is so much faster than the weight store.
constexpr double kWarmShare = 0.22;
// Tokens a second that one copy of a model is given: a server reads some 38 a ms when it does nothing else,
// and latency rises long before that.
constexpr double kTokensPerCopy = 16'000;
// A model asked for within this time is unloaded only for one that is worth clearly more.
constexpr double kRecentS = 6;
constexpr double kWorthMore = 1.5;

bool Holds(const Instance& instance, const std::string& model) {
  return std::any_of(instance.models.begin(), instance.models.end(),
                     [&](const HeldModel& held) { return held.name == model; });
}

std::size_t AdapterCount(const Instance& instance) {
  std::size_t count = 0;
  for (const HeldModel& held : instance.models) count += held.adapters.size();
  return count;
}

void SetHeld(InstanceTable& table, const std::string& id, const std::string& model,
             const std::string& adapter, bool held) {
  const InstanceTable::Record* record = table.Find(id);
  if (record == nullptr) return;
  std::vector<HeldModel> models = record->instance.models;
  if (adapter.empty()) {
    std::erase_if(models, [&](const HeldModel& one) { return one.name == model; });
    if (held) models.push_back({model, 0, {}});
  } else {
    for (HeldModel& one : models) {
      if (one.name != model) continue;
      std::erase(one.adapters, adapter);
      if (held) one.adapters.push_back(adapter);
    }
  }
  table.SetModels(id, std::move(models));
}

}  // namespace

void Placer::Begin(Micros now) {
  work_.clear();
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

Placer::Service Placer::Look(const configuration::Backend& backend, const InstanceTable& table) const {
  Service service;
  service.backend = &backend;
  service.runtime = backend.runtime.get();
  table.ForEach([&](const InstanceTable::Record& record) {
    if (record.instance.backend != backend.name || record.instance.phase != Phase::kReady) return;
    double used = 0;
    for (const HeldModel& held : record.instance.models) {
      ++service.copies[held.name];
      const Model* model = FindModel(service, held.name);
      if (model == nullptr) continue;
      used += model->weights_mb + static_cast<double>(held.adapters.size()) * model->adapter_mb;
    }
    service.servers.push_back({&record, service.runtime->weights_mb - used});
  });
  std::sort(service.servers.begin(), service.servers.end(),
            [](const Server& a, const Server& b) { return a.record->id < b.record->id; });
  for (const auto& [id, work] : work_) {
    const InstanceTable::Record* record = table.Find(id);
    if (record == nullptr || record->instance.backend != backend.name) continue;
    if (work.order.load && work.order.adapter.empty()) ++service.copies[work.order.model];
    if (!work.then_model.empty() && work.then_adapter.empty()) ++service.copies[work.then_model];
  }
  return service;
}

const Model* Placer::FindModel(const Service& service, const std::string& name) const {
  for (const Model& model : service.runtime->models)
    if (model.name == name) return &model;
  return nullptr;
}

bool Placer::OnItsWay(const std::string& model, const std::string& adapter) const {
  return std::any_of(work_.begin(), work_.end(), [&](const auto& entry) {
    const Work& work = entry.second;
    return (work.order.load && work.order.model == model && work.order.adapter == adapter) ||
           (work.then_model == model && work.then_adapter == adapter);
  });
}

int Placer::LoadsUnderWay() const {
  return static_cast<int>(std::count_if(work_.begin(), work_.end(), [](const auto& entry) {
    const Work& work = entry.second;
    return (work.order.load && work.order.adapter.empty()) ||
           (!work.then_model.empty() && work.then_adapter.empty());
  }));
}

std::vector<PlacementOrder> Placer::Plan(const configuration::Configuration& configuration,
                                         InstanceTable& table, Micros now) {
  Refill(configuration, now);
  table.ForEach([&](const InstanceTable::Record& record) {
    for (const HeldModel& held : record.instance.models) held_[record.id].insert(held.name);
  });
  std::erase_if(held_, [&](const auto& entry) { return table.Find(entry.first) == nullptr; });
  std::erase_if(work_, [&](const auto& entry) {
    const InstanceTable::Record* record = table.Find(entry.first);
    return record == nullptr || record->instance.phase != Phase::kReady || now > entry.second.given_up_at;
  });
  for (const configuration::Backend& backend : configuration.backends) {
    if (backend.runtime == nullptr) continue;
    Service service = Look(backend, table);
    PlaceWaiting(service, table, now);
    PlaceCopies(service, table, now);
  }
  std::vector<PlacementOrder> orders;
  for (auto& [id, work] : work_) {
    if (work.send_at == 0 || now < work.send_at) continue;
    work.send_at = 0;
    orders.push_back(work.order);
  }
  return orders;
}

void Placer::PlaceWaiting(Service& service, InstanceTable& table, Micros now) {
  for (const std::string& name : demand_.Waiting(service.backend->name, now)) {
    const std::size_t slash = name.find('/');
    const Model* model = FindModel(service, name.substr(0, slash));
    if (model == nullptr) continue;
    if (service.copies[model->name] == 0) {
      PlaceModel(service, table, *model, true, now);
    } else if (slash != std::string::npos) {
      PlaceAdapter(service, table, *model, name.substr(slash + 1), now);
    }
  }
}

int Placer::WantedCopies(const Service& service, const std::string& model, Micros now) const {
  const Demand::Of of = demand_.Get(service.backend->name, model, now);
  const int most = static_cast<int>(service.servers.size());
  return std::min(most, static_cast<int>(std::ceil(of.tokens / kTokensPerCopy - 0.2)));
}

void Placer::PlaceCopies(Service& service, InstanceTable& table, Micros now) {
  for (const Model& model : service.runtime->models) {
    const int wanted = WantedCopies(service, model.name, now);
    while (service.copies[model.name] > 0 && service.copies[model.name] < wanted)
      if (!PlaceModel(service, table, model, false, now)) break;
  }
}

double Placer::Value(const Service& service, const std::string& model, Micros now) const {
  const Demand::Of of = demand_.Get(service.backend->name, model, now);
  const auto copies = service.copies.find(model);
  const int held = copies == service.copies.end() ? 1 : std::max(copies->second, 1);
  const double idle_s = of.asked_at == 0 ? 1e3 : static_cast<double>(now - of.asked_at) / 1e6;
  // One copy of many is missed by the work that it takes off the others; the last one by all who ask.
  if (held > 1)
    return held > std::max(WantedCopies(service, model, now), 1) ? 0.01 / held : of.requests / held;
  return of.requests + 1 / (kRecentS + idle_s);
}

std::optional<std::string> Placer::Victim(const Service& service, const Server& server, double* value,
                                          Micros now) const {
  std::optional<std::string> least;
  for (const HeldModel& held : server.record->instance.models) {
    const double worth = Value(service, held.name, now);
    if (least && worth >= *value) continue;
    least = held.name;
    *value = worth;
  }
  return least;
}

bool Placer::PlaceModel(Service& service, InstanceTable& table, const Model& model, bool waited_for,
                        Micros now) {
  if (OnItsWay(model.name, {}) && waited_for) return false;
  const int at_once =
      std::max(1, static_cast<int>(std::ceil(service.runtime->loads_per_s * model.load_time_s)));
  if (loads_left_ < 1 || LoadsUnderWay() >= at_once) return false;
  const Server* best = nullptr;
  std::optional<std::string> best_victim;
  double best_cost = 0;
  for (const Server& server : service.servers) {
    if (Busy(server.record->id) || Holds(server.record->instance, model.name)) continue;
    double cost = 0;
    std::optional<std::string> victim;
    if (server.free_mb < model.weights_mb) {
      victim = Victim(service, server, &cost, now);
      if (!victim) continue;
      const Model* goes = FindModel(service, *victim);
      if (goes != nullptr && server.free_mb + goes->weights_mb < model.weights_mb) continue;
      cost += 0.002;  // the unload takes its time
    }
    const auto held = held_.find(server.record->id);
    const bool warm = held != held_.end() && held->second.count(model.name) > 0;
    if (!warm) cost += 0.005;
    if (best != nullptr && cost >= best_cost) continue;
    best = &server;
    best_victim = victim;
    best_cost = cost;
  }
  if (best == nullptr) return false;
  const Demand::Of of = demand_.Get(service.backend->name, model.name, now);
  const double gain = of.requests / std::max(1, service.copies[model.name]);
  if (!waited_for && best_victim && gain < kWorthMore * best_cost) return false;
  const auto held = held_.find(best->record->id);
  const bool warm = held != held_.end() && held->second.count(model.name) > 0;
  loads_left_ -= 1;
  const double seconds = model.load_time_s * (warm ? kWarmShare : 1.0);
  if (best_victim) {
    Work then;
    then.then_model = model.name;
    then.seconds = seconds;
    --service.copies[*best_victim];
    Begin(*best, false, *best_victim, {}, 0, table, now, std::move(then));
  } else {
    Begin(*best, true, model.name, {}, seconds, table, now, {});
  }
  ++service.copies[model.name];
  return true;
}

bool Placer::PlaceAdapter(Service& service, InstanceTable& table, const Model& model,
                          const std::string& adapter, Micros now) {
  if (OnItsWay(model.name, adapter)) return false;
  const auto most = static_cast<std::size_t>(std::max(service.runtime->max_adapters, 0));
  const Server* best = nullptr;
  for (const Server& server : service.servers) {
    if (Busy(server.record->id) || !Holds(server.record->instance, model.name)) continue;
    if (best == nullptr || AdapterCount(server.record->instance) < AdapterCount(best->record->instance))
      best = &server;
  }
  if (best == nullptr || most == 0) return false;
  if (AdapterCount(best->record->instance) < most && best->free_mb >= model.adapter_mb) {
    Begin(*best, true, model.name, adapter, kAdapterSeconds, table, now, {});
    return true;
  }
  const HeldModel* from = nullptr;
  std::string victim;
  double least = 0;
  for (const HeldModel& held : best->record->instance.models)
    for (const std::string& one : held.adapters) {
      const Demand::Of of = demand_.Get(service.backend->name, held.name + "/" + one, now);
      const double value = static_cast<double>(of.asked_at);
      if (from != nullptr && value >= least) continue;
      from = &held;
      victim = one;
      least = value;
    }
  if (from == nullptr) return false;
  Work then;
  then.then_model = model.name;
  then.then_adapter = adapter;
  then.seconds = kAdapterSeconds;
  Begin(*best, false, from->name, victim, 0, table, now, std::move(then));
  return true;
}

void Placer::Begin(const Server& server, bool load, const std::string& model, const std::string& adapter,
                   double seconds, InstanceTable& table, Micros now, Work then) {
  Work work = std::move(then);
  work.order = {server.record->id, server.record->address, load, model, adapter};
  if (load) work.seconds = seconds;
  work.send_at = load ? now : now + kBeforeUnload;
  work.given_up_at = now + kGiveUpAfter;
  const std::string id = server.record->id;
  if (!load) SetHeld(table, id, model, adapter, false);
  work_[id] = std::move(work);
}

void Placer::OnAnswer(const PlacementOrder& order, int status, InstanceTable& table, Micros now) {
  const auto it = work_.find(order.instance);
  if (it == work_.end()) return;
  Work& work = it->second;
  if (work.order.model != order.model || work.order.adapter != order.adapter || work.order.load != order.load)
    return;
  if (status == 200) {
    const Work done = std::move(work);
    work_.erase(it);
    return Done(done, table, now);
  }
  if (status == 202) {
    work.taken = true;
    work.send_at = now + (order.load ? static_cast<Micros>(work.seconds * 1.02e6) + 10'000 : 40'000);
  } else if (status == 409) {
    work.send_at = now + (work.taken ? kAskAgain : kTryAgain);
  } else if (status == 0 || status == 503) {
    work.send_at = now + kTryAgain;
  } else {
    work_.erase(it);  // another server by now, or an order that it will never take
  }
}

void Placer::Done(const Work& work, InstanceTable& table, Micros now) {
  const PlacementOrder& order = work.order;
  const InstanceTable::Record* record = table.Find(order.instance);
  if (record == nullptr) return;
  SetHeld(table, order.instance, order.model, order.adapter, order.load);
  if (order.load) {
    demand_.Served(record->instance.backend,
                   order.adapter.empty() ? order.model : order.model + "/" + order.adapter);
    return;
  }
  if (work.then_model.empty()) return;
  Begin({record, 0}, true, work.then_model, work.then_adapter, work.seconds, table, now, {});
}

}  // namespace violetwing
