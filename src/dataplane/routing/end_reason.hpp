// The reason why a request ended, used for the response to the client, the log and the tests.
#ifndef VIOLETWING_DATAPLANE_ROUTING_END_REASON_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_END_REASON_HPP_

#include <string_view>

namespace violetwing {

/// Reason why a request ended.
enum class EndReason {
  kServed,            ///< complete response from a server
  kNoConfiguration,   ///< the sidecar has not received a configuration yet
  kNoRoute,           ///< no route matches host and path
  kUnknownKey,        ///< the request's key belongs to no tenant of the configuration
  kOutOfTouch,        ///< request denied or key not trusted, but the configuration may be outdated
  kNoBackend,         ///< the route has no backend with a positive weight, or the backend is not configured
  kNoServer,          ///< the backend has no server that the request may be sent to
  kUnknownModel,      ///< the backend does not offer the model
  kModelLoadTooSlow,  ///< no server has the model, and loading it would exceed the client's timeout
  kModelNotLoaded,    ///< no server loaded the model while the request waited for it
  kRetriesExhausted,  ///< not executed, and no further attempt is allowed or fits before the deadline
  kServerFailed,      ///< may have been executed, but failed
  kResponseReset,     ///< the connection to the server failed after the response had begun
  kNoCapacityInTime,  ///< the deadline passed, and no server can have executed the request
  kDeadlineExceeded,  ///< the deadline passed, and a server may have executed the request
  kDeadlineDuringResponse,  ///< the deadline passed after the response had begun
  kClientDisconnected,      ///< the client closed the connection
  kShuttingDown,            ///< the sidecar shuts down, and no attempt can be completed before that
  kCutOffAtShutdown,        ///< the sidecar exits after the response had begun
};

/// Name for the log, e.g. "deadline_exceeded".
std::string_view Name(EndReason reason);

/// Text for the body of the sidecar's own response, e.g. "no answer in time", without a line end. Empty for
/// reasons that never produce such a response. Visible to clients, so it must not change.
std::string_view ResponseText(EndReason reason);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_END_REASON_HPP_
