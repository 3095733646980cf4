// Passive outlier detection: a server with consecutive failures is ejected temporarily. Pure logic: it uses
// no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_OUTLIER_DETECTION_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_OUTLIER_DETECTION_HPP_

#include "common/time.hpp"

namespace violetwing {

/// Kinds of failed attempts.
enum class FailureKind {
  kUnreachable,     ///< no connection could be established: ejects at the first failure
  kAttemptFailure,  ///< reset, error or timeout: ejects after several consecutive failures
};

/// Tracks the consecutive failures of one server and ejects it. The duration of the ejection doubles with
/// each further failure, up to a cap.
class OutlierDetector {
 public:
  /// Records a complete response: ends the ejection and resets the failure count.
  void OnSuccess();
  /// Counts a failure, and ejects the server when the threshold for `kind` is reached.
  void OnFailure(FailureKind kind, Micros now);
  bool IsEjected(Micros now) const { return now < ejected_until_; }

 private:
  int consecutive_failures_ = 0;
  Micros ejected_until_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_OUTLIER_DETECTION_HPP_
