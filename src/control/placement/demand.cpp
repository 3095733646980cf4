#include "control/placement/demand.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing {
namespace {

// Demand is remembered over so long: it moves to other models within seconds.
constexpr double kMemoryS = 1.5;
// For models that are asked for once in some seconds.
constexpr double kSteadyMemoryS = 15;
// A request that waits is told of every few hundred ms.
constexpr Micros kWaitingFor = 1'000'000;

double Decay(Micros span, double memory_s) { return std::exp(-static_cast<double>(span) / 1e6 / memory_s); }

}  // namespace

void Demand::Add(Entry& entry, const ModelDemand& demand, Micros now) {
  const double decay = Decay(now - entry.counted_at, kMemoryS);
  entry.requests = entry.requests * decay + demand.requests;
  entry.steady = entry.steady * Decay(now - entry.counted_at, kSteadyMemoryS) + demand.requests;
  entry.tokens = entry.tokens * decay + demand.tokens;
  entry.counted_at = now;
  entry.asked_at = now;
}

void Demand::Count(const ModelDemand& demand, Micros now) {
  auto& of_service = entries_[demand.backend];
  const std::size_t slash = demand.model.find('/');
  Add(of_service[demand.model.substr(0, slash)], demand, now);
  if (slash != std::string::npos) Add(of_service[demand.model], demand, now);
  if (demand.waiting == 0) return;
  Entry& entry = of_service[demand.model];
  if (now - entry.waiting_at > kWaitingFor) entry.waiting_since = now;
  entry.waiting_at = now;
}

Demand::Of Demand::Get(const std::string& backend, const std::string& name, Micros now) const {
  const auto service = entries_.find(backend);
  if (service == entries_.end()) return {};
  const auto it = service->second.find(name);
  if (it == service->second.end()) return {};
  const Entry& entry = it->second;
  const double decay = Decay(now - entry.counted_at, kMemoryS) / kMemoryS;
  const double steady = entry.steady * Decay(now - entry.counted_at, kSteadyMemoryS) / kSteadyMemoryS;
  return {entry.requests * decay, steady, entry.tokens * decay, entry.asked_at, entry.waiting_at};
}

std::vector<std::string> Demand::Waiting(const std::string& backend, Micros now) const {
  std::vector<std::pair<Micros, std::string>> found;
  const auto service = entries_.find(backend);
  if (service == entries_.end()) return {};
  for (const auto& [name, entry] : service->second)
    if (entry.waiting_at > 0 && now - entry.waiting_at < kWaitingFor)
      found.emplace_back(entry.waiting_since, name);
  std::sort(found.begin(), found.end());
  std::vector<std::string> out;
  out.reserve(found.size());
  for (auto& [since, name] : found) out.push_back(std::move(name));
  return out;
}

void Demand::Served(const std::string& backend, const std::string& name) {
  const auto service = entries_.find(backend);
  if (service == entries_.end()) return;
  const auto it = service->second.find(name);
  if (it != service->second.end()) it->second.waiting_at = 0;
}

}  // namespace violetwing
