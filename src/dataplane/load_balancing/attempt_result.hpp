// How one attempt of a request at one server ended, as far as the choice of servers is concerned.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_ATTEMPT_RESULT_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_ATTEMPT_RESULT_HPP_

namespace violetwing {

/// Outcome of one attempt. For the first group the server promises that it did not execute the request.
enum class AttemptResult {
  kServed,       ///< complete response of a working server
  kRejected,     ///< not executed: the server is full
  kWrongServer,  ///< not executed: another instance answers there, or it lacks the model
  kUnreachable,  ///< not executed: no connection could be established
  kReset,        ///< may have been executed: reset, closed early, or not a valid response
  kError,        ///< executed, and failed
  kTimedOut,     ///< may have been executed: given up here after a long time without a first byte
  kCancelled,    ///< may have been executed: given up here for another reason
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_ATTEMPT_RESULT_HPP_
