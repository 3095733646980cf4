// How long a request may take, and how long it may wait for a model to be loaded.
#ifndef VIOLETWING_DATAPLANE_ROUTING_REQUEST_DEADLINE_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_REQUEST_DEADLINE_HPP_

#include <chrono>

#include "control/configuration/reader.hpp"
#include "dataplane/ingress/client_connection.hpp"

namespace violetwing {

/// When the sidecar must have answered: the earlier of the client's deadline (X-Violetwing-Deadline-Ms) and
/// the route's time-out, less a margin in which the response reaches the client.
std::chrono::steady_clock::time_point RequestDeadline(const ClientRequest& request,
                                                      const configuration::Route& route);

/// How long a client waits for the first event of a stream, in ms; infinite for other types of requests,
/// whose clients wait until the deadline.
double FirstEventTimeoutMs(const configuration::Route& route);

/// How long a request waits for a model whose load takes `load_ms`, if its client waits `remaining_ms` more:
/// some slack beyond the load, but early enough to answer. May be negative. All in ms.
double MaxModelWaitMs(double load_ms, double remaining_ms);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_REQUEST_DEADLINE_HPP_
