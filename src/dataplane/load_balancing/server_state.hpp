// What a sidecar knows of one server from its own attempts and from the load that the server reports. A core:
// it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_SERVER_STATE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_SERVER_STATE_HPP_

#include <map>
#include <string>

#include "common/time.hpp"
#include "dataplane/load_balancing/attempt_result.hpp"
#include "dataplane/load_balancing/outlier_detection.hpp"
#include "dataplane/load_balancing/prefix_cache.hpp"

namespace violetwing {

/// Load that a server reports in X-Violetwing-Server-Load, in requests.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// State of one server. `weights_key` is RequestAttributes::WeightsKey; times are of the steady clock.
class ServerState {
 public:
  /// An attempt was sent there.
  void OnSent(Micros now);
  /// The server reported its load.
  void OnLoadReported(const ServerLoad& load, Micros now);
  /// An attempt got its first byte.
  void OnFirstByte(Micros now);
  /// An attempt ended. `first_byte_received`: OnFirstByte was called for it.
  void OnEnd(AttemptResult result, const std::string& weights_key, bool first_byte_received, Micros now);

  /// Neither ejected nor known to lack the model.
  bool IsUsable(const std::string& weights_key, Micros now) const;
  /// The server never rejected a request because it lacked the model.
  bool HasNeverLackedModel(const std::string& weights_key) const;
  /// It rejected a request a short time ago as it was full.
  bool IsFull(Micros now) const { return now < full_until_; }
  /// It has left all that it was sent without a first byte for long.
  bool IsUnresponsive(Micros now) const;

  /// Requests in flight from this sidecar.
  int in_flight() const { return in_flight_; }
  /// Reported running requests of other sidecars, decayed since the report.
  double DecayedRunningOfOthers(Micros now) const { return Decayed(reported_.running - in_flight_, now); }
  /// Reported waiting requests, decayed since the report.
  double DecayedWaiting(Micros now) const { return Decayed(reported_.waiting, now); }
  /// Reported requests of other sidecars, those that wait counted twice, decayed since the report.
  double DecayedLoadOfOthers(Micros now) const {
    return Decayed(reported_.running + 2 * reported_.waiting - in_flight_, now);
  }

  /// Estimate of its prefix cache.
  PrefixCache& prefix_cache() { return prefix_cache_; }
  const PrefixCache& prefix_cache() const { return prefix_cache_; }

 private:
  // A reported figure says less the older it is. 0 for figures that are not positive, or without a report.
  double Decayed(int reported, Micros now) const;
  void OnFailure(FailureKind kind, Micros now);

  int in_flight_ = 0;
  int awaiting_first_byte_ = 0;    // of these
  Micros unresponsive_since_ = 0;  // last time that a response began while others were awaited; 0 if none is
  ServerLoad reported_;
  Micros reported_at_ = 0;
  OutlierDetector outlier_detector_;
  Micros full_until_ = 0;
  std::map<std::string, Micros> model_missing_until_;  // by weights key
  PrefixCache prefix_cache_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_SERVER_STATE_HPP_
