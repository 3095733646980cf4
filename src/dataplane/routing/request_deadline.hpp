// Time limits of a request: its deadline, and how long it waits for a model to be loaded.
#ifndef VIOLETWING_DATAPLANE_ROUTING_REQUEST_DEADLINE_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_REQUEST_DEADLINE_HPP_

#include <chrono>

#include "control/configuration/reader.hpp"
#include "dataplane/ingress/client_connection.hpp"

namespace violetwing {

/// Time by which the sidecar must respond: the earlier of the client's deadline (X-Violetwing-Deadline-Ms)
/// and the route's timeout, less a margin for the response to reach the client.
std::chrono::steady_clock::time_point RequestDeadline(const ClientRequest& request,
                                                      const configuration::Route& route);

/// How long a client waits for the first event of a stream, in ms; infinite for other types of requests,
/// whose clients wait until the deadline.
double FirstEventTimeoutMs(const configuration::Route& route);

/// Maximum wait, in ms, for a model whose load takes `load_ms`, if the client waits `remaining_ms` more: the
/// load time plus some slack, but short enough to leave time for the response. May be negative.
double MaxModelWaitMs(double load_ms, double remaining_ms);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_REQUEST_DEADLINE_HPP_
