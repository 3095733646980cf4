// Why a request ended: one enumeration for the response to the client, the log and the tests.
#ifndef VIOLETWING_DATAPLANE_ROUTING_END_REASON_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_END_REASON_HPP_

#include <string_view>

namespace violetwing {

/// The way in which a request ended.
enum class EndReason {
  kServed,                  ///< complete response of a server
  kNoConfiguration,         ///< the sidecar has not received a configuration yet
  kNoRoute,                 ///< no route matches host and path
  kUnknownKey,              ///< no tenant of the configuration holds the request's key
  kOutOfTouch,              ///< the configuration may be outdated, and does not allow the request
  kNoBackend,               ///< the route has no backend with a positive weight, or it is not configured
  kNoServer,                ///< the backend has no server that may be attempted
  kUnknownModel,            ///< the backend does not offer the model
  kModelLoadTooSlow,        ///< no server has the model, and loading it would exceed the client's time-out
  kModelNotLoaded,          ///< waited for the model, which no server has loaded in time
  kRetriesExhausted,        ///< not executed, and no further attempt is allowed or would be in time
  kServerFailed,            ///< may have been executed, and failed
  kResponseReset,           ///< the server broke the connection after the response had begun
  kNoCapacityInTime,        ///< the deadline passed before any server can have executed it
  kDeadlineExceeded,        ///< the deadline passed, and a server may have executed it
  kDeadlineDuringResponse,  ///< the deadline passed after the response had begun
  kClientDisconnected,      ///< the client closed the connection
};

/// Name for the log, e.g. "deadline_exceeded".
std::string_view Name(EndReason reason);

/// Text for the body of the sidecar's own response, e.g. "no answer in time", without a line end. Empty for
/// reasons that never produce such a response. Clients see it: it must not change.
std::string_view ResponseText(EndReason reason);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_END_REASON_HPP_
