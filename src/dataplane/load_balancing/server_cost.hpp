// The cost by which the load balancer ranks servers for a request; the lowest wins. Pure logic: it uses no
// clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_SERVER_COST_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_SERVER_COST_HPP_

#include "common/time.hpp"
#include "dataplane/load_balancing/request_attributes.hpp"
#include "dataplane/load_balancing/upstream_server_state.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// Inputs of the cost besides the server's state and the request.
struct CostFactors {
  bool has_affinity = false;     ///< the server is one of the AffinityServers of the request
  bool has_connection = true;    ///< an idle connection to the server is open
  bool in_own_zone = true;       ///< the server is in the sidecar's zone, or zones are ignored
  double queued_prefill_ms = 0;  ///< PrefillQueue::RemainingMs
  double ms_per_token = 0;       ///< PrefillEstimate::MsPerToken
};

/// Cost, in ms, for a request that gives its prompt parts: the expected time until the server has prefilled
/// the prompt, plus penalties. Requires `attributes.HasPromptParts()`.
double PrefillCostMs(const UpstreamServerState& server, const RequestAttributes& attributes,
                     const CostFactors& factors, Micros now);

/// Cost, in requests in flight scaled to the server's capacity, for a request without prompt parts.
double InFlightCost(const UpstreamServerState& server, const Instance& instance, const CostFactors& factors,
                    Micros now);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_SERVER_COST_HPP_
