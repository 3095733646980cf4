#include "control/placement/placement_state.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace violetwing {
namespace {

using Kind = PlacementCall::Kind;

// Delay between publishing that a model is about to be unloaded and sending the unload order: sidecars learn
// of the change within this time.
constexpr Micros kUnloadNotice = 130'000;
// An accepted order is polled by sending it again. This is the poll interval while the server answers that
// another order is in progress.
constexpr Micros kConflictPollInterval = 120'000;
// A load is polled once it should be done: after its expected duration times this margin, plus a fixed delay.
constexpr double kLoadTimeMargin = 1.02;
constexpr Micros kLoadPollDelay = 10'000;
// An unload waits for the requests that are running on the model. Its poll interval starts at this value and
// doubles with each poll, for a limited number of times.
constexpr Micros kFirstUnloadPollInterval = 60'000;
constexpr int kMaxUnloadPollDoublings = 3;
// Delay of a report request after an order, or after a report of a server that is still busy. A report is a
// few hundred milliseconds old, so an earlier one would not reflect the order yet.
constexpr Micros kReportInterval = 250'000;
// Interval between report requests to a server that does not answer.
constexpr Micros kUnresponsiveReportInterval = 1'000'000;
// An order that is not done within this time is abandoned, and the server is asked for its report.
constexpr Micros kOrderTimeout = 12'000'000;

bool IsReady(const InstanceTable::Record* record) {
  return record != nullptr && record->instance.phase == Phase::kReady;
}

}  // namespace

// ---- Servers ----

void PlacementState::ReconcileServers(const configuration::Configuration& configuration,
                                      const InstanceTable& table, Micros now) {
  std::erase_if(servers_, [&](const auto& entry) { return !IsReady(table.Find(entry.first)); });
  std::set<std::string> services_with_models;
  for (const configuration::Backend& backend : configuration.backends)
    if (backend.runtime != nullptr) services_with_models.insert(backend.name);
  table.ForEach([&](const InstanceTable::Record& record) {
    if (IsReady(&record) && services_with_models.count(record.instance.backend) > 0)
      ReconcileServer(record, now);
  });
}

void PlacementState::ReconcileServer(const InstanceTable::Record& record, Micros now) {
  const auto [it, added] = servers_.try_emplace(record.id);
  ServerPlacement& server = it->second;
  if (added) server.next_report_at = now;
  server.service = record.instance.backend;
  server.address = record.instance.address;
  if (!server.revision) server.models = record.instance.models;
  for (const HeldModel& held : server.models) server.previously_held.insert(held.name);
  if (server.in_flight && now > server.in_flight->expires_at) RequestReport(server, now);
}

void PlacementState::Publish(InstanceTable& table) const {
  for (const auto& [id, server] : servers_) table.SetModels(id, server.models);
}

bool PlacementState::IsLoading(const std::string& service, const std::string& model,
                               const std::string& adapter) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
    const ServerPlacement& server = entry.second;
    return server.in_flight && server.service == service && server.in_flight->Loads(model, adapter);
  });
}

int PlacementState::ModelLoadsInFlight() const {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
    return entry.second.in_flight && entry.second.in_flight->LoadsModel();
  }));
}

// ---- Calls ----

std::vector<PlacementCall> PlacementState::TakeDueCalls(Micros now) {
  std::vector<PlacementCall> calls;
  for (auto& [id, server] : servers_) {
    if (server.in_flight && server.in_flight->next_send_at > 0 && now >= server.in_flight->next_send_at) {
      server.in_flight->next_send_at = 0;
      calls.push_back(server.in_flight->call);
      // A poll only asks whether the order is done. It carries no precondition on the server's revision, as
      // the server may have accepted other orders since.
      calls.back().if_revision = server.in_flight->accepted ? std::nullopt : server.revision;
    }
    if (!server.in_flight && !server.revision && server.next_report_at > 0 && now >= server.next_report_at) {
      server.next_report_at = 0;
      calls.push_back({Kind::kReport, id, server.address, {}, {}, {}});
    }
  }
  return calls;
}

std::optional<Micros> PlacementState::NextDueAt() const {
  std::optional<Micros> next;
  const auto consider = [&](Micros at) {
    if (at > 0 && (!next || at < *next)) next = at;
  };
  for (const auto& [id, server] : servers_) {
    if (server.in_flight) consider(server.in_flight->next_send_at);
    if (!server.in_flight && !server.revision) consider(server.next_report_at);
  }
  return next;
}

// ---- Orders ----

void PlacementState::StartOrder(ServerPlacement& server, InFlightOrder order, Micros send_at, Micros now) {
  order.next_send_at = send_at;
  order.expires_at = now + kOrderTimeout;
  server.in_flight = std::move(order);
}

void PlacementState::StartLoad(const std::string& instance, const LoadRequest& load, Micros now) {
  ServerPlacement& server = servers_.at(instance);
  InFlightOrder order;
  order.call = {Kind::kLoad, instance, server.address, load.model, load.adapter, {}};
  order.expected_s = load.expected_s;
  StartOrder(server, std::move(order), now, now);
}

void PlacementState::StartUnload(const std::string& instance, const std::string& model,
                                 const std::string& adapter, const LoadRequest& next, Micros now) {
  ServerPlacement& server = servers_.at(instance);
  server.SetHeld(model, adapter, false);
  InFlightOrder order;
  order.call = {Kind::kUnload, instance, server.address, model, adapter, {}};
  order.next_load = next;
  StartOrder(server, std::move(order), now + kUnloadNotice, now);
}

std::optional<LoadedModel> PlacementState::OnOrderAnswered(const PlacementCall& call, OrderStatus status,
                                                           Micros now) {
  const auto it = servers_.find(call.instance);
  if (it == servers_.end() || !it->second.in_flight) return std::nullopt;
  ServerPlacement& server = it->second;
  InFlightOrder& order = *server.in_flight;
  if (order.call.model != call.model || order.call.adapter != call.adapter || order.call.kind != call.kind)
    return std::nullopt;
  if (status == OrderStatus::kDone) return OnOrderDone(server, now);
  if (status == OrderStatus::kInProgress) {
    OnOrderInProgress(server, now);
  } else if (status == OrderStatus::kConflict && order.accepted) {
    order.next_send_at = now + kConflictPollInterval;
  } else {
    // The server has accepted an order that is unknown here, or the outcome of this one is unknown. Only a
    // report can resolve that.
    RequestReport(server, now + kReportInterval);
  }
  return std::nullopt;
}

std::optional<LoadedModel> PlacementState::OnOrderDone(ServerPlacement& server, Micros now) {
  const InFlightOrder done = *std::exchange(server.in_flight, std::nullopt);
  const PlacementCall& call = done.call;
  const bool load = call.kind == Kind::kLoad;
  server.SetHeld(call.model, call.adapter, load);
  if (load && call.adapter.empty()) server.loaded_at[call.model] = now;
  if (load) return LoadedModel{server.service, call.model, call.adapter};
  if (done.next_load) StartLoad(call.instance, *done.next_load, now);
  return std::nullopt;
}

void PlacementState::OnOrderInProgress(ServerPlacement& server, Micros now) {
  InFlightOrder& order = *server.in_flight;
  if (!order.accepted && server.revision) ++*server.revision;
  order.accepted = true;
  if (order.call.kind == Kind::kLoad) {
    const auto load_time = static_cast<Micros>(order.expected_s * kLoadTimeMargin * 1e6);
    order.next_send_at = now + load_time + kLoadPollDelay;
  } else {
    const int doublings = std::min(order.unload_polls++, kMaxUnloadPollDoublings);
    order.next_send_at = now + (kFirstUnloadPollInterval << doublings);
  }
}

void PlacementState::OnReport(const std::string& instance, const std::optional<ServerReport>& report,
                              Micros now) {
  const auto it = servers_.find(instance);
  if (it == servers_.end() || it->second.in_flight) return;
  ServerPlacement& server = it->second;
  if (!report || report->busy) {
    server.next_report_at = now + (report ? kReportInterval : kUnresponsiveReportInterval);
    return;
  }
  server.revision = report->revision;
  server.models = report->models;
}

void PlacementState::RequestReport(ServerPlacement& server, Micros at) {
  server.in_flight.reset();
  server.revision.reset();
  server.next_report_at = at;
}

}  // namespace violetwing
