// Tracks the request rate of each model and adapter, and which of them requests are waiting for.
// Does no I/O, reads no clock and starts no threads.
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
  double requests_per_second = 0;         // over about the last 1.5 s
  double steady_requests_per_second = 0;  // over about the last 15 s
  double tokens_per_second = 0;           // prefilled tokens, over about the last 1.5 s
  Micros last_request_at = 0;             // time of the latest demand report; 0 if there was none
};

/// Aggregates the demand reports of the sidecars. A name of weights is "model" or "model/adapter"
/// (weights_name.hpp). Times are in microseconds of one steady clock.
class DemandTracker {
 public:
  /// Adds a report. Demand for an adapter also counts as demand for its model.
  void Record(const ModelDemand& demand, Micros now);
  /// Returns the demand for `name` in a service; zeros if it was never requested.
  DemandStats Get(const std::string& service, const std::string& name, Micros now) const;
  /// Returns the names that requests in a service are waiting for, in the order in which the waiting began.
  std::vector<std::string> WaitingNames(const std::string& service, Micros now) const;
  /// Records that the weights were loaded: requests no longer count as waiting for them until the next
  /// report.
  void OnLoaded(const std::string& service, const std::string& name);

 private:
  struct Entry {
    // Decaying sums as of `updated_at`.
    double requests = 0;
    double steady_requests = 0;
    double tokens = 0;
    Micros updated_at = 0;
    Micros last_request_at = 0;
    Micros last_waiting_at = 0;  // time of the latest report of a waiting request; 0 if there is none
    Micros waiting_since = 0;
  };
  static void Accumulate(Entry& entry, const ModelDemand& demand, Micros now);
  const Entry* Find(const std::string& service, const std::string& name) const;

  std::map<std::string, std::map<std::string, Entry>> entries_;  // by service, then name
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_DEMAND_TRACKER_HPP_
