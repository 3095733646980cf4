#include "control/placement/placement_state.hpp"

#include <algorithm>
#include <utility>

namespace violetwing {
namespace {

using Kind = PlacementCall::Kind;

// Sidecars learn within this time that a model is about to go.
constexpr Micros kBeforeUnload = 130'000;
// An order that is under way is asked after again by repeating it.
constexpr Micros kAskAgain = 120'000;
// A load is asked after when it should be done, with so much to spare.
constexpr double kLoadSpare = 1.02;
constexpr Micros kAfterLoad = 10'000;
// An unload waits for the model's runs to end: it is asked after at first so soon, then after twice that and
// so on.
constexpr Micros kUnloadFirst = 60'000;
constexpr int kUnloadDoublings = 3;
// A server whose state is not certain is asked for its report; what it tells there is some hundred ms old.
constexpr Micros kAskReportAgain = 250'000;
constexpr Micros kSilentReportAgain = 1'000'000;
constexpr Micros kGiveUpAfter = 12'000'000;
// Who waited for a model has begun to run there after so long.
constexpr Micros kServesWaiting = 2'000'000;

void SetHeld(std::vector<HeldModel>& models, const std::string& model, const std::string& adapter,
             bool held) {
  if (adapter.empty()) {
    std::erase_if(models, [&](const HeldModel& one) { return one.name == model; });
    if (held) models.push_back({model, 0, {}});
    return;
  }
  for (HeldModel& one : models) {
    if (one.name != model) continue;
    std::erase(one.adapters, adapter);
    if (held) one.adapters.push_back(adapter);
  }
}

}  // namespace

bool PlacementState::Work::Brings(const std::string& model, const std::string& adapter) const {
  const bool loads = order.kind == Kind::kLoad && order.model == model && order.adapter == adapter;
  return loads || (then && then->model == model && then->adapter == adapter);
}

bool PlacementState::Work::BringsModel() const {
  return (order.kind == Kind::kLoad && order.adapter.empty()) || (then && then->adapter.empty());
}

bool PlacementState::Server::Holds(const std::string& model) const {
  return std::any_of(models.begin(), models.end(), [&](const HeldModel& held) { return held.name == model; });
}

bool PlacementState::Server::JustLoaded(const std::string& model, Micros now) const {
  const auto it = loaded_at.find(model);
  return it != loaded_at.end() && now - it->second < kServesWaiting;
}

std::size_t PlacementState::Server::Adapters() const {
  std::size_t count = 0;
  for (const HeldModel& held : models) count += held.adapters.size();
  return count;
}

// ---- Who is there ----

void PlacementState::Meet(const configuration::Configuration& configuration, const InstanceTable& table,
                          Micros now) {
  std::erase_if(servers_, [&](const auto& entry) {
    const InstanceTable::Record* record = table.Find(entry.first);
    return record == nullptr || record->instance.phase != Phase::kReady;
  });
  std::set<std::string> running;  // services whose servers run models
  for (const configuration::Backend& backend : configuration.backends)
    if (backend.runtime != nullptr) running.insert(backend.name);
  table.ForEach([&](const InstanceTable::Record& record) {
    const Instance& instance = record.instance;
    if (instance.phase != Phase::kReady || running.count(instance.backend) == 0) return;
    const auto [it, fresh] = servers_.try_emplace(record.id);
    Server& server = it->second;
    if (fresh) server.ask_at = now;
    server.service = instance.backend;
    server.address = instance.address;
    if (!server.revision) server.models = instance.models;
    for (const HeldModel& held : server.models) server.ever_held.insert(held.name);
    if (server.work && now > server.work->given_up_at) {
      server.work.reset();
      server.revision.reset();
      server.ask_at = now;
    }
  });
}

void PlacementState::Publish(InstanceTable& table) const {
  for (const auto& [id, server] : servers_) table.SetModels(id, server.models);
}

bool PlacementState::OnItsWay(const std::string& service, const std::string& model,
                              const std::string& adapter) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
    const Server& server = entry.second;
    return server.work && server.service == service && server.work->Brings(model, adapter);
  });
}

int PlacementState::LoadsUnderWay() const {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
    return entry.second.work && entry.second.work->BringsModel();
  }));
}

// ---- Orders ----

std::vector<PlacementCall> PlacementState::DueCalls(Micros now) {
  std::vector<PlacementCall> calls;
  for (auto& [id, server] : servers_) {
    if (server.work && server.work->send_at > 0 && now >= server.work->send_at) {
      server.work->send_at = 0;
      calls.push_back(server.work->order);
      // Asked after, it is to say whether it is done, whatever came since.
      calls.back().if_revision = server.work->taken ? std::nullopt : server.revision;
    }
    if (!server.work && !server.revision && server.ask_at > 0 && now >= server.ask_at) {
      server.ask_at = 0;
      calls.push_back({Kind::kReport, id, server.address, {}, {}, {}});
    }
  }
  return calls;
}

std::optional<Micros> PlacementState::NextDueAt() const {
  std::optional<Micros> next;
  const auto take = [&](Micros at) {
    if (at > 0 && (!next || at < *next)) next = at;
  };
  for (const auto& [id, server] : servers_) {
    if (server.work) take(server.work->send_at);
    if (!server.work && !server.revision) take(server.ask_at);
  }
  return next;
}

void PlacementState::Start(Server& server, PlacementCall order, Micros send_at, Micros now) {
  Work work;
  work.order = std::move(order);
  work.send_at = send_at;
  work.given_up_at = now + kGiveUpAfter;
  server.work = std::move(work);
}

void PlacementState::StartLoad(const std::string& instance, const Load& load, Micros now) {
  Server& server = servers_.at(instance);
  Start(server, {Kind::kLoad, instance, server.address, load.model, load.adapter, {}}, now, now);
  server.work->seconds = load.seconds;
}

void PlacementState::StartUnload(const std::string& instance, const std::string& model,
                                 const std::string& adapter, const Load& then, Micros now) {
  Server& server = servers_.at(instance);
  SetHeld(server.models, model, adapter, false);
  Start(server, {Kind::kUnload, instance, server.address, model, adapter, {}}, now + kBeforeUnload, now);
  server.work->then = then;
}

std::optional<PlacementState::Arrived> PlacementState::OnAnswer(const PlacementCall& order, int status,
                                                                Micros now) {
  const auto it = servers_.find(order.instance);
  if (it == servers_.end() || !it->second.work) return std::nullopt;
  Server& server = it->second;
  Work& work = *server.work;
  if (work.order.model != order.model || work.order.adapter != order.adapter || work.order.kind != order.kind)
    return std::nullopt;
  if (status == 200) {
    const Work done = std::move(work);
    server.work.reset();
    return Done(server, done, now);
  }
  if (status == 202) {
    if (!work.taken && server.revision) ++*server.revision;
    work.taken = true;
    const bool load = order.kind == Kind::kLoad;
    const Micros unload = kUnloadFirst << std::min(work.asked++, kUnloadDoublings);
    work.send_at = now + (load ? static_cast<Micros>(work.seconds * kLoadSpare * 1e6) + kAfterLoad : unload);
    return std::nullopt;
  }
  if (status == 409 && work.taken) {
    work.send_at = now + kAskAgain;
    return std::nullopt;
  }
  // Another order is under way, or was taken before, or this one may have been: what it holds is to be asked.
  server.work.reset();
  server.revision.reset();
  server.ask_at = now + kAskReportAgain;
  return std::nullopt;
}

void PlacementState::OnReport(const std::string& instance, const std::optional<ServerReport>& report,
                              Micros now) {
  const auto it = servers_.find(instance);
  if (it == servers_.end() || it->second.work) return;
  Server& server = it->second;
  if (!report || report->busy) {
    server.ask_at = now + (report ? kAskReportAgain : kSilentReportAgain);
    return;
  }
  server.revision = report->revision;
  server.models = report->models;
}

std::optional<PlacementState::Arrived> PlacementState::Done(Server& server, const Work& work, Micros now) {
  const PlacementCall& order = work.order;
  const bool load = order.kind == Kind::kLoad;
  SetHeld(server.models, order.model, order.adapter, load);
  if (load && order.adapter.empty()) server.loaded_at[order.model] = now;
  if (load) return Arrived{server.service, order.model, order.adapter};
  if (work.then) StartLoad(order.instance, *work.then, now);
  return std::nullopt;
}

}  // namespace violetwing
