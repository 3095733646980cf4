// Tracks how often each model and each adapter is requested, and which of them requests wait for.
// A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_DEMAND_TRACKER_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_DEMAND_TRACKER_HPP_

#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// Recent demand for a model or an adapter, as exponentially decaying averages.
struct DemandStats {
  double requests_per_second = 0;         // over the last 1.5 s or so
  double steady_requests_per_second = 0;  // over the last 15 s or so
  double tokens_per_second = 0;           // over the last 1.5 s or so, in prefilled tokens
  Micros last_request_at = 0;             // time of the last demand report; 0 if there was none
};

/// Collects the demand reports of the sidecars. Names of weights are "model" or "model/adapter"
/// (weights_name.hpp).
class DemandTracker {
 public:
  /// Adds a report. A report on an adapter counts for its model too.
  void Record(const ModelDemand& demand, Micros now);
  /// The demand for `name` in a service; zeros if it was never requested.
  DemandStats Get(const std::string& service, const std::string& name, Micros now) const;
  /// The names that requests in a service wait for, the longest waiting first.
  std::vector<std::string> Waiting(const std::string& service, Micros now) const;
  /// The weights are loaded: nobody waits for them until the next report says so.
  void OnLoaded(const std::string& service, const std::string& name);

 private:
  struct Entry {
    // Decaying sums as of `updated_at`.
    double requests = 0;
    double steady_requests = 0;
    double tokens = 0;
    Micros updated_at = 0;
    Micros last_request_at = 0;
    Micros last_waiting_at = 0;  // of the last report of a waiting request; 0 for none
    Micros waiting_since = 0;
  };
  static void Accumulate(Entry& entry, const ModelDemand& demand, Micros now);
  const Entry* Find(const std::string& service, const std::string& name) const;

  std::map<std::string, std::map<std::string, Entry>> entries_;  // by service, then name
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_DEMAND_TRACKER_HPP_
