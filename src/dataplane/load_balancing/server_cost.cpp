#include "dataplane/load_balancing/server_cost.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// Added to the expected time until the prompt is prefilled for each request that is running on the server,
// and for each that is waiting for a slot.
constexpr double kRunningRequestMs = 8;
constexpr double kWaitingRequestMs = 60;
// Less than the prefill time of a few thousand tokens, so that they decide only between servers of similar
// load.
constexpr double kNewConnectionMs = 40;
constexpr double kOtherZoneMs = 15;
// Penalties so large that such a server is picked only if all others cost even more.
constexpr double kFullMs = 3000;
constexpr double kUnresponsiveMs = 30000;
// Fraction of a prompt's shared parts that is expected to be cached on a server with affinity.
constexpr double kAffinityCachedFraction = 0.3;

// The same additions in requests in flight, for requests without prompt parts.
constexpr double kNewConnectionRequests = 0.5;
constexpr double kFullRequests = 100;
constexpr double kUnresponsiveRequests = 1000;
// Capacity in slots of a server on which a request in flight costs 1; on smaller servers it costs more.
constexpr int kReferenceCapacity = 8;

double ExpectedCachedTokens(const UpstreamServerState& server, const RequestAttributes& attributes,
                            bool has_affinity) {
  const double cached = server.prefix_cache().CachedTokens(attributes.WeightsKey(), *attributes.prompt_parts);
  if (!has_affinity) return cached;
  const double shared = attributes.prompt_tokens - attributes.prompt_parts->back().tokens;
  return std::max(cached, kAffinityCachedFraction * shared);
}

}  // namespace

double PrefillCostMs(const UpstreamServerState& server, const RequestAttributes& attributes,
                     const CostFactors& factors, Micros now) {
  const double cached = ExpectedCachedTokens(server, attributes, factors.has_affinity);
  double cost = factors.queued_prefill_ms + (attributes.prompt_tokens - cached) * factors.ms_per_token;
  cost += kRunningRequestMs * (server.in_flight() + server.DecayedPeerRunning(now));
  cost += kWaitingRequestMs * server.DecayedWaiting(now);
  if (!factors.has_connection) cost += kNewConnectionMs;
  if (!factors.in_own_zone) cost += kOtherZoneMs;
  if (server.IsFull(now)) cost += kFullMs;
  if (server.IsUnresponsive(now)) cost += kUnresponsiveMs;
  return cost;
}

double InFlightCost(const UpstreamServerState& server, const Instance& instance, const CostFactors& factors,
                    Micros now) {
  double cost = server.in_flight() + server.DecayedPeerLoad(now);
  const int capacity = std::max(1, std::min(instance.capacity, kReferenceCapacity));
  cost *= static_cast<double>(kReferenceCapacity) / capacity;
  if (!factors.has_connection) cost += kNewConnectionRequests;
  if (server.IsFull(now)) cost += kFullRequests;
  if (server.IsUnresponsive(now)) cost += kUnresponsiveRequests;
  return cost;
}

}  // namespace violetwing
