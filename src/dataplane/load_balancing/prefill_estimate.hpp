// How fast each model prefills prompts, learned from the time until responses begin. A core: it holds no
// clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_ESTIMATE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_ESTIMATE_HPP_

#include <map>
#include <string>

#include "common/time.hpp"
#include "dataplane/load_balancing/request_attributes.hpp"

namespace violetwing {

/// Prefill speed by model, as an exponentially weighted mean over samples.
class PrefillEstimate {
 public:
  /// Time of prefilling one token, in ms; that of a slow model if nothing is known of this one.
  double MsPerToken(const std::string& model) const;
  /// Learns from a response that began at `now`. Samples that say little are ignored: short prompts, those
  /// that mostly waited for others, and those so fast that part of the prompt must have been cached.
  void OnFirstByte(const RequestAttributes& attributes, Micros now);

 private:
  // Sums whose older samples decay.
  struct Speed {
    double ms = 0;
    double tokens = 0;
  };
  std::map<std::string, Speed> by_model_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFILL_ESTIMATE_HPP_
