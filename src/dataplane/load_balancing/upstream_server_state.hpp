// What a sidecar knows about one server, from its own attempts and from the load that the server reports.
// Pure logic: it uses no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_UPSTREAM_SERVER_STATE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_UPSTREAM_SERVER_STATE_HPP_

#include <map>
#include <string>

#include "common/time.hpp"
#include "dataplane/load_balancing/attempt_result.hpp"
#include "dataplane/load_balancing/outlier_detection.hpp"
#include "dataplane/load_balancing/prefix_cache.hpp"

namespace violetwing {

/// Load that a server reports in X-Violetwing-Server-Load: its running and waiting requests, and its capacity
/// in slots.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// State of one server. `weights_key` is RequestAttributes::WeightsKey; times are steady clock times.
class UpstreamServerState {
 public:
  /// Records that an attempt was sent to the server.
  void OnSent(Micros now);
  /// Records the load that the server reported.
  void OnLoadReported(const ServerLoad& load, Micros now);
  /// Records the first byte of an attempt's response.
  void OnFirstByte(Micros now);
  /// Records the end of an attempt. `first_byte_received`: whether OnFirstByte was called for the attempt.
  void OnEnd(AttemptResult result, const std::string& weights_key, bool first_byte_received, Micros now);

  /// Whether the server is neither ejected nor known to lack the model.
  bool IsUsable(const std::string& weights_key, Micros now) const;
  /// Whether the server has never rejected a request because it lacked the model.
  bool HasNeverLackedModel(const std::string& weights_key) const;
  /// Whether the server recently rejected a request because it was full.
  bool IsFull(Micros now) const { return now < full_until_; }
  /// Whether requests have been waiting for a first byte for a long time without any of them receiving one.
  bool IsUnresponsive(Micros now) const;

  /// Number of this sidecar's requests in flight.
  int in_flight() const { return in_flight_; }
  /// Reported running requests of other sidecars, decayed since the report.
  double DecayedPeerRunning(Micros now) const { return Decayed(reported_.running - in_flight_, now); }
  /// Reported waiting requests, decayed since the report.
  double DecayedWaiting(Micros now) const { return Decayed(reported_.waiting, now); }
  /// Reported requests of other sidecars, with waiting ones counted twice, decayed since the report.
  double DecayedPeerLoad(Micros now) const {
    return Decayed(reported_.running + 2 * reported_.waiting - in_flight_, now);
  }

  /// Estimated contents of the server's prefix cache.
  PrefixCache& prefix_cache() { return prefix_cache_; }
  const PrefixCache& prefix_cache() const { return prefix_cache_; }

 private:
  // A reported value, decayed exponentially with its age, as an older one says less about the current load. 0
  // for values that are not positive, or without a report.
  double Decayed(int reported, Micros now) const;
  void OnFailure(FailureKind kind, Micros now);

  int in_flight_ = 0;
  int awaiting_first_byte_ = 0;    // requests in flight without a first byte
  Micros unresponsive_since_ = 0;  // start of the wait for the next first byte; 0 if none is awaited
  ServerLoad reported_;
  Micros reported_at_ = 0;
  OutlierDetector outlier_detector_;
  Micros full_until_ = 0;
  std::map<std::string, Micros> model_missing_until_;  // by weights key
  PrefixCache prefix_cache_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_UPSTREAM_SERVER_STATE_HPP_
