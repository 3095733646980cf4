// Estimates the prefill speed of each model from the times to first byte. Pure logic: it uses no clock,
// socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_ESTIMATE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_ESTIMATE_HPP_

#include <map>
#include <string>

#include "common/time.hpp"
#include "dataplane/load_balancing/request_attributes.hpp"

namespace violetwing {

/// Prefill speed by model, as an exponentially weighted mean of samples.
class PrefillEstimate {
 public:
  /// Prefill time per token in ms; that of a slow model if there are no samples of this one.
  double MsPerToken(const std::string& model) const;
  /// Adds a sample from a response whose first byte arrived at `now`. Ignores unreliable samples: short
  /// prompts, those that spent most of the time in the queue, and those so fast that part of the prompt must
  /// have been cached.
  void OnFirstByte(const RequestAttributes& attributes, Micros now);

 private:
  // Sums over samples, decayed exponentially.
  struct Sums {
    double ms = 0;
    double tokens = 0;
  };
  std::map<std::string, Sums> by_model_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_ESTIMATE_HPP_
