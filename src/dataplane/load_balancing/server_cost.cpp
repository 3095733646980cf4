#include "dataplane/load_balancing/server_cost.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// What a running request adds to the time until a prompt is prefilled, and one that waits for a slot.
constexpr double kRunningRequestMs = 8;
constexpr double kWaitingRequestMs = 60;
// Less than the prefill of thousands of tokens, so that they decide only among servers about as busy.
constexpr double kNewConnectionMs = 40;
constexpr double kOtherZoneMs = 15;
// Penalties that are paid only if all other servers are worse.
constexpr double kFullMs = 3000;
constexpr double kUnresponsiveMs = 30000;
// Share of a prompt's shared parts that is expected to be cached at a server with affinity.
constexpr double kAffinityCachedShare = 0.3;

constexpr double kNewConnectionRequests = 0.5;
constexpr double kFullRequests = 100;
constexpr double kUnresponsiveRequests = 1000;
// Slots of a server at which a request in flight weighs 1; at smaller servers it weighs more.
constexpr int kReferenceCapacity = 8;

double ExpectedCachedTokens(const ServerState& server, const RequestAttributes& attributes,
                            bool has_affinity) {
  const double cached = server.prefix_cache().CachedTokens(attributes.WeightsKey(), *attributes.prompt_parts);
  if (!has_affinity) return cached;
  const double shared = attributes.prompt_tokens - attributes.prompt_parts->back().tokens;
  return std::max(cached, kAffinityCachedShare * shared);
}

}  // namespace

double PrefillCostMs(const ServerState& server, const RequestAttributes& attributes,
                     const CostFactors& factors, Micros now) {
  const double cached = ExpectedCachedTokens(server, attributes, factors.has_affinity);
  double cost = factors.queued_prefill_ms + (attributes.prompt_tokens - cached) * factors.ms_per_token;
  cost += kRunningRequestMs * (server.in_flight() + server.DecayedRunningOfOthers(now));
  cost += kWaitingRequestMs * server.DecayedWaiting(now);
  if (!factors.has_connection) cost += kNewConnectionMs;
  if (!factors.in_own_zone) cost += kOtherZoneMs;
  if (server.IsFull(now)) cost += kFullMs;
  if (server.IsUnresponsive(now)) cost += kUnresponsiveMs;
  return cost;
}

double InFlightCost(const ServerState& server, const Instance& instance, const CostFactors& factors,
                    Micros now) {
  double cost = server.in_flight() + server.DecayedLoadOfOthers(now);
  const int capacity = std::max(1, std::min(instance.capacity, kReferenceCapacity));
  cost *= static_cast<double>(kReferenceCapacity) / capacity;
  if (!factors.has_connection) cost += kNewConnectionRequests;
  if (server.IsFull(now)) cost += kFullRequests;
  if (server.IsUnresponsive(now)) cost += kUnresponsiveRequests;
  return cost;
}

}  // namespace violetwing
