// Passive outlier detection: a server whose attempts fail in a row is ejected for a while. A core: it holds
// no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_OUTLIER_DETECTION_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_OUTLIER_DETECTION_HPP_

#include "common/time.hpp"

namespace violetwing {

/// What a failed attempt says about its server.
enum class FailureKind {
  kUnreachable,     ///< no connection: ejects at once
  kAttemptFailure,  ///< reset, error or time-out: ejects after several in a row
};

/// Consecutive failures of one server and its ejection, which doubles with each further failure up to a cap.
class OutlierDetector {
 public:
  /// A complete response: ends the ejection and the run of failures.
  void OnSuccess();
  /// Counts a failure, and ejects the server if there were enough.
  void OnFailure(FailureKind kind, Micros now);
  bool IsEjected(Micros now) const { return now < ejected_until_; }

 private:
  int consecutive_failures_ = 0;
  Micros ejected_until_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_OUTLIER_DETECTION_HPP_
