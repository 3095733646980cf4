// Outcome of one attempt of a request at one server, as the load balancer sees it.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_ATTEMPT_RESULT_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_ATTEMPT_RESULT_HPP_

namespace violetwing {

/// Outcome of one attempt. "Not executed": the server guarantees it, or was never reached, so a retry is safe
/// for any request.
enum class AttemptResult {
  kServed,       ///< complete response from a healthy server
  kRejected,     ///< not executed: the server is full
  kWrongServer,  ///< not executed: another instance answers there, or it lacks the model
  kUnreachable,  ///< not executed: no connection could be established
  kReset,        ///< may have been executed: reset, closed early, or not a valid response
  kError,        ///< executed, but failed
  kTimedOut,     ///< may have been executed: canceled by this sidecar after a long wait for a first byte
  kCancelled,    ///< may have been executed: canceled by this sidecar for another reason
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_ATTEMPT_RESULT_HPP_
