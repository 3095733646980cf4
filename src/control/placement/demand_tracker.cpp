#include "control/placement/demand_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "control/placement/weights_name.hpp"

namespace violetwing {
namespace {

// Time constant of the fast averages: demand shifts between models within seconds.
constexpr double kFastTimeConstantS = 1.5;
// Time constant of the steady average, for models that are requested only once every few seconds.
constexpr double kSteadyTimeConstantS = 15;
// Sidecars repeat the report of a waiting request every few hundred milliseconds. A request that was not
// reported for this long no longer counts as waiting.
constexpr Micros kWaitingTimeout = 1'000'000;

double Decay(Micros elapsed, double time_constant_s) {
  return std::exp(-static_cast<double>(elapsed) / 1e6 / time_constant_s);
}

}  // namespace

void DemandTracker::Accumulate(Entry& entry, const ModelDemand& demand, Micros now) {
  const Micros elapsed = now - entry.updated_at;
  const double decay = Decay(elapsed, kFastTimeConstantS);
  entry.requests = entry.requests * decay + demand.requests;
  entry.steady_requests = entry.steady_requests * Decay(elapsed, kSteadyTimeConstantS) + demand.requests;
  entry.tokens = entry.tokens * decay + demand.tokens;
  entry.updated_at = now;
  entry.last_request_at = now;
}

void DemandTracker::Record(const ModelDemand& demand, Micros now) {
  auto& service = entries_[demand.backend];
  Accumulate(service[std::string(ModelIn(demand.model))], demand, now);
  if (AdapterIn(demand.model)) Accumulate(service[demand.model], demand, now);
  if (demand.waiting == 0) return;
  Entry& entry = service[demand.model];
  if (now - entry.last_waiting_at > kWaitingTimeout) entry.waiting_since = now;
  entry.last_waiting_at = now;
}

const DemandTracker::Entry* DemandTracker::Find(const std::string& service, const std::string& name) const {
  const auto entries = entries_.find(service);
  if (entries == entries_.end()) return nullptr;
  const auto entry = entries->second.find(name);
  return entry == entries->second.end() ? nullptr : &entry->second;
}

DemandStats DemandTracker::Get(const std::string& service, const std::string& name, Micros now) const {
  const Entry* entry = Find(service, name);
  if (entry == nullptr) return {};
  const Micros elapsed = now - entry->updated_at;
  const double fast_rate_factor = Decay(elapsed, kFastTimeConstantS) / kFastTimeConstantS;
  const double steady_requests_per_second =
      entry->steady_requests * Decay(elapsed, kSteadyTimeConstantS) / kSteadyTimeConstantS;
  return {entry->requests * fast_rate_factor, steady_requests_per_second, entry->tokens * fast_rate_factor,
          entry->last_request_at};
}

std::vector<std::string> DemandTracker::WaitingNames(const std::string& service, Micros now) const {
  const auto entries = entries_.find(service);
  if (entries == entries_.end()) return {};
  std::vector<std::pair<Micros, std::string>> waiting;
  for (const auto& [name, entry] : entries->second)
    if (entry.last_waiting_at > 0 && now - entry.last_waiting_at < kWaitingTimeout)
      waiting.emplace_back(entry.waiting_since, name);
  std::sort(waiting.begin(), waiting.end());
  std::vector<std::string> names;
  names.reserve(waiting.size());
  for (auto& [since, name] : waiting) names.push_back(std::move(name));
  return names;
}

void DemandTracker::OnLoaded(const std::string& service, const std::string& name) {
  const auto entries = entries_.find(service);
  if (entries == entries_.end()) return;
  const auto entry = entries->second.find(name);
  if (entry != entries->second.end()) entry->second.last_waiting_at = 0;
}

}  // namespace violetwing
