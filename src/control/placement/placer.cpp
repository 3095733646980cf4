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
// An unload waits for the model's runs to end: it is asked after at first so soon, then after twice that and
// so on.
constexpr Placer::Micros kUnloadFirst = 40'000;
constexpr int kUnloadDoublings = 4;
// A server whose state is not certain is asked for its report; what it tells there is some hundred ms old.
constexpr Placer::Micros kAskReportAgain = 250'000;
constexpr Placer::Micros kSilentReportAgain = 1'000'000;
constexpr Placer::Micros kGiveUpAfter = 12'000'000;
// Adapters come within some ms.
constexpr double kAdapterSeconds = 0.025;
// A server's own disk is so much faster than the weight store.
constexpr double kWarmShare = 0.22;
// A model asked for within this time is unloaded only for one that is worth clearly more.
constexpr double kRecentS = 6;
constexpr double kWorthMore = 1.5;
// With fewer than this share of its copies a busy model goes before those that single requests wait for.
constexpr double kUrgentShare = 0.9;
// What a server that has twice the mean of all work to do counts as, beside one with the mean, in requests a
// second.
constexpr double kLoadCost = 0.1;
// Copies beyond the wanted ones that count as used: what is wanted varies by one from moment to moment.
constexpr int kSpareCopies = 1;
// Requests a second below which a further copy of a model would stand idle.
constexpr double kRequestsPerCopy = 0.5;
// A load from the weight store costs, in requests a second that go without their model, what its time and its
// price do; one from the server's own disk much less.
constexpr double kColdCost = 0.05;

std::string NameOf(const std::string& model, const std::string& adapter) {
  return adapter.empty() ? model : model + "/" + adapter;
}

}  // namespace

bool Placer::Known::Holds(const std::string& model) const {
  return std::any_of(models.begin(), models.end(), [&](const HeldModel& held) { return held.name == model; });
}

std::size_t Placer::Known::Adapters() const {
  std::size_t count = 0;
  for (const HeldModel& held : models) count += held.adapters.size();
  return count;
}

void Placer::Begin(Micros now) {
  known_.clear();
  loads_left_ = 0;
  refilled_at_ = now;
}

// Takes in the servers that are there, and forgets those that are not.
void Placer::Meet(const configuration::Configuration& configuration, InstanceTable& table, Micros now) {
  std::erase_if(known_, [&](const auto& entry) {
    const InstanceTable::Record* record = table.Find(entry.first);
    return record == nullptr || record->instance.phase != Phase::kReady;
  });
  std::vector<std::pair<std::string, std::vector<HeldModel>>> corrected;
  table.ForEach([&](const InstanceTable::Record& record) {
    const Instance& instance = record.instance;
    if (instance.phase != Phase::kReady) return;
    const bool runs_models = std::any_of(
        configuration.backends.begin(), configuration.backends.end(),
        [&](const auto& backend) { return backend.runtime != nullptr && backend.name == instance.backend; });
    if (!runs_models) return;
    const auto [it, fresh] = known_.try_emplace(record.id);
    Known& known = it->second;
    if (fresh) known.ask_at = now;
    known.service = instance.backend;
    known.address = instance.address;
    if (!known.revision) known.models = instance.models;
    for (const HeldModel& held : known.models) known.ever_held.insert(held.name);
    if (known.models != instance.models) corrected.emplace_back(record.id, known.models);
    if (known.work && now > known.work->given_up_at) {
      known.work.reset();
      known.revision.reset();
      known.ask_at = now;
    }
  });
  for (auto& [id, models] : corrected) table.SetModels(id, std::move(models));
}

void Placer::Refill(const configuration::Configuration& configuration, Micros now) {
  double rate = 0;
  for (const configuration::Backend& backend : configuration.backends)
    if (backend.runtime != nullptr) rate = std::max(rate, backend.runtime->loads_per_s);
  if (rate <= 0) rate = 1;
  loads_left_ = std::min(kBurst, loads_left_ + rate * static_cast<double>(now - refilled_at_) / 1e6);
  refilled_at_ = now;
}

Placer::Service Placer::Look(const configuration::Backend& backend) {
  Service service;
  service.backend = &backend;
  service.runtime = backend.runtime.get();
  for (auto& [id, known] : known_) {
    if (known.service != backend.name) continue;
    double used = 0;
    for (const HeldModel& held : known.models) {
      ++service.copies[held.name];
      const Model* model = FindModel(service, held.name);
      if (model == nullptr) continue;
      used += model->weights_mb + static_cast<double>(held.adapters.size()) * model->adapter_mb;
    }
    service.servers.push_back({id, &known, service.runtime->weights_mb - used});
    if (!known.work) continue;
    if (known.work->order.kind == PlacementCall::Kind::kLoad && known.work->order.adapter.empty())
      ++service.copies[known.work->order.model];
    if (!known.work->then_model.empty() && known.work->then_adapter.empty())
      ++service.copies[known.work->then_model];
  }
  return service;
}

const Model* Placer::FindModel(const Service& service, const std::string& name) const {
  for (const Model& model : service.runtime->models)
    if (model.name == name) return &model;
  return nullptr;
}

bool Placer::OnItsWay(const std::string& model, const std::string& adapter) const {
  return std::any_of(known_.begin(), known_.end(), [&](const auto& entry) {
    const std::optional<Work>& work = entry.second.work;
    if (!work) return false;
    const bool loads = work->order.kind == PlacementCall::Kind::kLoad && work->order.model == model &&
                       work->order.adapter == adapter;
    return loads || (work->then_model == model && work->then_adapter == adapter);
  });
}

int Placer::LoadsUnderWay() const {
  return static_cast<int>(std::count_if(known_.begin(), known_.end(), [](const auto& entry) {
    const std::optional<Work>& work = entry.second.work;
    if (!work) return false;
    const bool loads = work->order.kind == PlacementCall::Kind::kLoad && work->order.adapter.empty();
    return loads || (!work->then_model.empty() && work->then_adapter.empty());
  }));
}

std::vector<PlacementCall> Placer::Plan(const configuration::Configuration& configuration,
                                        InstanceTable& table, Micros now) {
  Refill(configuration, now);
  Meet(configuration, table, now);
  for (const configuration::Backend& backend : configuration.backends) {
    if (backend.runtime == nullptr) continue;
    Service service = Look(backend);
    PlaceCopies(service, true, now);
    PlaceWaiting(service, now);
    PlaceCopies(service, false, now);
  }
  for (const auto& [id, known] : known_) table.SetModels(id, known.models);
  return DueCalls(now);
}

std::vector<PlacementCall> Placer::DueCalls(Micros now) {
  std::vector<PlacementCall> calls;
  for (auto& [id, known] : known_) {
    if (known.work && known.work->send_at > 0 && now >= known.work->send_at) {
      known.work->send_at = 0;
      calls.push_back(known.work->order);
      // Asked after, it is to say whether it is done, whatever came since.
      calls.back().if_revision = known.work->taken ? std::nullopt : known.revision;
    }
    if (!known.work && !known.revision && known.ask_at > 0 && now >= known.ask_at) {
      known.ask_at = 0;
      calls.push_back({PlacementCall::Kind::kReport, id, known.address, {}, {}, {}});
    }
  }
  return calls;
}

void Placer::PlaceWaiting(Service& service, Micros now) {
  for (const std::string& name : demand_.Waiting(service.backend->name, now)) {
    const std::size_t slash = name.find('/');
    const Model* model = FindModel(service, name.substr(0, slash));
    if (model == nullptr) continue;
    if (service.copies[model->name] == 0) {
      PlaceModel(service, *model, true, now);
    } else if (slash != std::string::npos) {
      PlaceAdapter(service, *model, name.substr(slash + 1), now);
    }
  }
}

// A server's models share its time: work is spread evenly if the copies of a model are to the servers as its
// work is to all work.
int Placer::WantedCopies(const Service& service, const std::string& model, Micros now) const {
  double all = 0;
  for (const Model& other : service.runtime->models)
    all += demand_.Get(service.backend->name, other.name, now).tokens;
  if (all <= 0) return 0;
  const Demand::Of of = demand_.Get(service.backend->name, model, now);
  const auto even = std::lround(of.tokens / all * static_cast<double>(service.servers.size()));
  const auto used = static_cast<long>(of.requests / kRequestsPerCopy);
  return static_cast<int>(std::min(even, std::max(1L, used)));
}

void Placer::PlaceCopies(Service& service, bool urgent, Micros now) {
  for (const Model& model : service.runtime->models) {
    const int wanted = WantedCopies(service, model.name, now);
    const int enough = urgent ? static_cast<int>(kUrgentShare * wanted) : wanted;
    while (service.copies[model.name] > 0 && service.copies[model.name] < enough)
      if (!PlaceModel(service, model, false, now)) break;
  }
}

double Placer::Value(const Service& service, const std::string& model, Micros now) const {
  const Demand::Of of = demand_.Get(service.backend->name, model, now);
  const auto copies = service.copies.find(model);
  const int held = copies == service.copies.end() ? 1 : std::max(copies->second, 1);
  const double idle_s = of.asked_at == 0 ? 1e3 : static_cast<double>(now - of.asked_at) / 1e6;
  // One copy of many is missed by the work that it takes off the others; the last one by all who ask.
  if (held > 1) {
    const int kept = WantedCopies(service, model, now) + kSpareCopies;
    return held > std::max(kept, 1) ? 0.01 / held : std::max(of.requests / held, 0.02);
  }
  return of.requests + 1 / (kRecentS + idle_s);
}

double Placer::WorkAt(const Service& service, const Server& server, Micros now) const {
  double work = 0;
  for (const HeldModel& held : server.known->models) {
    const auto copies = service.copies.find(held.name);
    const int shared = copies == service.copies.end() ? 1 : std::max(copies->second, 1);
    work += demand_.Get(service.backend->name, held.name, now).tokens / shared;
  }
  return work;
}

std::optional<std::string> Placer::Victim(const Service& service, const Server& server, double* value,
                                          Micros now) const {
  std::optional<std::string> least;
  for (const HeldModel& held : server.known->models) {
    const double worth = Value(service, held.name, now);
    if (least && worth >= *value) continue;
    least = held.name;
    *value = worth;
  }
  return least;
}

bool Placer::PlaceModel(Service& service, const Model& model, bool waited_for, Micros now) {
  if (OnItsWay(model.name, {}) && waited_for) return false;
  const int at_once =
      std::max(1, static_cast<int>(std::ceil(service.runtime->loads_per_s * model.load_time_s)));
  const bool cold_allowed = loads_left_ >= 1 && LoadsUnderWay() < at_once;
  double all_work = 0;
  for (const Server& server : service.servers) all_work += WorkAt(service, server, now);
  const double mean_work = std::max(1.0, all_work / static_cast<double>(service.servers.size()));
  const Server* best = nullptr;
  std::optional<std::string> best_victim;
  double best_value = 0;
  double best_cost = 0;
  for (const Server& server : service.servers) {
    if (!server.known->Free() || server.known->Holds(model.name)) continue;
    double value = 0;
    std::optional<std::string> victim;
    if (server.free_mb < model.weights_mb) {
      victim = Victim(service, server, &value, now);
      if (!victim) continue;
      const Model* goes = FindModel(service, *victim);
      if (goes != nullptr && server.free_mb + goes->weights_mb < model.weights_mb) continue;
    }
    double cost = value;
    const bool warm = server.known->ever_held.count(model.name) > 0;
    if (!warm && !cold_allowed) continue;
    if (!warm) cost += kColdCost;
    cost += kLoadCost * WorkAt(service, server, now) / mean_work;
    if (best != nullptr && cost >= best_cost) continue;
    best = &server;
    best_victim = victim;
    best_value = value;
    best_cost = cost;
  }
  if (best == nullptr) return false;
  const Demand::Of of = demand_.Get(service.backend->name, model.name, now);
  const double gain = of.requests / std::max(1, service.copies[model.name]);
  if (!waited_for && best_victim && gain < kWorthMore * best_value) return false;
  const bool warm = best->known->ever_held.count(model.name) > 0;
  if (!warm) loads_left_ -= 1;
  const double seconds = model.load_time_s * (warm ? kWarmShare : 1.0);
  if (best_victim) {
    Work then;
    then.then_model = model.name;
    then.seconds = seconds;
    --service.copies[*best_victim];
    StartWork(*best, false, *best_victim, {}, 0, now, std::move(then));
  } else {
    StartWork(*best, true, model.name, {}, seconds, now, {});
  }
  ++service.copies[model.name];
  return true;
}

bool Placer::PlaceAdapter(Service& service, const Model& model, const std::string& adapter, Micros now) {
  if (OnItsWay(model.name, adapter)) return false;
  const auto most = static_cast<std::size_t>(std::max(service.runtime->max_adapters, 0));
  const Server* best = nullptr;
  for (const Server& server : service.servers) {
    if (!server.known->Free() || !server.known->Holds(model.name)) continue;
    if (best == nullptr || server.known->Adapters() < best->known->Adapters()) best = &server;
  }
  if (best == nullptr || most == 0) return false;
  if (best->known->Adapters() < most && best->free_mb >= model.adapter_mb) {
    StartWork(*best, true, model.name, adapter, kAdapterSeconds, now, {});
    return true;
  }
  const HeldModel* from = nullptr;
  std::string victim;
  double least = 0;
  for (const HeldModel& held : best->known->models)
    for (const std::string& one : held.adapters) {
      const Demand::Of of = demand_.Get(service.backend->name, NameOf(held.name, one), now);
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
  StartWork(*best, false, from->name, victim, 0, now, std::move(then));
  return true;
}

void Placer::StartWork(const Server& server, bool load, const std::string& model, const std::string& adapter,
                       double seconds, Micros now, Work then) {
  Work work = std::move(then);
  work.order.kind = load ? PlacementCall::Kind::kLoad : PlacementCall::Kind::kUnload;
  work.order.instance = server.id;
  work.order.address = server.known->address;
  work.order.model = model;
  work.order.adapter = adapter;
  if (load) work.seconds = seconds;
  work.send_at = load ? now : now + kBeforeUnload;
  work.given_up_at = now + kGiveUpAfter;
  // Nothing more is sent there for what is about to go.
  if (!load) SetHeld(*server.known, model, adapter, false);
  server.known->work = std::move(work);
}

void Placer::SetHeld(Known& known, const std::string& model, const std::string& adapter, bool held) {
  if (adapter.empty()) {
    std::erase_if(known.models, [&](const HeldModel& one) { return one.name == model; });
    if (held) known.models.push_back({model, 0, {}});
    return;
  }
  for (HeldModel& one : known.models) {
    if (one.name != model) continue;
    std::erase(one.adapters, adapter);
    if (held) one.adapters.push_back(adapter);
  }
}

void Placer::OnAnswer(const PlacementCall& order, int status, Micros now) {
  const auto it = known_.find(order.instance);
  if (it == known_.end() || !it->second.work) return;
  Known& known = it->second;
  Work& work = *known.work;
  if (work.order.model != order.model || work.order.adapter != order.adapter || work.order.kind != order.kind)
    return;
  if (status == 200) {
    const Work done = std::move(work);
    known.work.reset();
    return Done(known, order.instance, done, now);
  }
  if (status == 202) {
    if (!work.taken && known.revision) ++*known.revision;
    work.taken = true;
    const bool load = order.kind == PlacementCall::Kind::kLoad;
    const Micros unload = kUnloadFirst << std::min(work.asked++, kUnloadDoublings);
    work.send_at = now + (load ? static_cast<Micros>(work.seconds * 1.02e6) + 10'000 : unload);
    return;
  }
  if (status == 409 && work.taken) {
    work.send_at = now + kAskAgain;
    return;
  }
  // Another order is under way, or was taken before, or this one may have been: what it holds is to be asked.
  known.work.reset();
  known.revision.reset();
  known.ask_at = now + kAskReportAgain;
}

void Placer::OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
  const auto it = known_.find(instance);
  if (it == known_.end() || it->second.work) return;
  Known& known = it->second;
  if (!report || report->busy) {
    known.ask_at = now + (report ? kAskReportAgain : kSilentReportAgain);
    return;
  }
  known.revision = report->revision;
  known.models = report->models;
}

void Placer::Done(Known& known, const std::string& id, const Work& work, Micros now) {
  const PlacementCall& order = work.order;
  const bool load = order.kind == PlacementCall::Kind::kLoad;
  SetHeld(known, order.model, order.adapter, load);
  if (load) {
    demand_.Served(known.service, NameOf(order.model, order.adapter));
    return;
  }
  if (work.then_model.empty()) return;
  StartWork({id, &known, 0}, true, work.then_model, work.then_adapter, work.seconds, now, {});
}

}  // namespace violetwing
