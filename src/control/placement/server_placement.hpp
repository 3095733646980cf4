// The placer's state of one model server: the models that it holds and the order that it is executing.
// Does no I/O, reads no clock and starts no threads.
#ifndef VIOLETWING_CONTROL_PLACEMENT_SERVER_PLACEMENT_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_SERVER_PLACEMENT_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/placement/placement_call.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// A request to load weights.
struct LoadRequest {
  std::string model;
  std::string adapter;    // empty for the model itself
  double expected_s = 0;  // expected duration of the load, in seconds
};

/// An order to a server that is not known to be done. Times are in microseconds of the placer's clock.
struct InFlightOrder {
  PlacementCall call;
  Micros next_send_at = 0;               // time of the next send or poll; 0 while an answer is pending
  Micros expires_at = 0;                 // time at which the placer abandons it and requests a report
  bool accepted = false;                 // the server has answered that the order is in progress
  double expected_s = 0;                 // expected duration of a load, in seconds
  std::optional<LoadRequest> next_load;  // load to start once this unload is done
  int unload_polls = 0;                  // number of answers that the unload is in progress

  /// Whether this order, or the load that follows it, loads these weights.
  bool Loads(const std::string& model, const std::string& adapter) const;
  /// Whether this order, or the load that follows it, loads a model (not an adapter).
  bool LoadsModel() const;
};

/// The state of one server. Before the server's first report in the placer's term, and while a new report is
/// needed, `revision` is empty and `models` comes from the server's heartbeats.
struct ServerPlacement {
  std::string service;
  std::string address;                      // host:port
  std::optional<std::int64_t> revision;     // number of accepted orders; empty until the server has reported
  Micros next_report_at = 0;                // time of the next report request; 0 while one is pending
  std::vector<HeldModel> models;            // excludes those that are about to be unloaded
  std::set<std::string> previously_held;    // models on the server's local disk
  std::map<std::string, Micros> loaded_at;  // load times of the models that this placer loaded
  std::optional<InFlightOrder> in_flight;

  /// Whether the server can accept an order.
  bool Idle() const { return revision && !in_flight; }
  bool Holds(const std::string& model) const;
  /// Whether the model was loaded so recently that requests waiting for it may not have started yet.
  bool JustLoaded(const std::string& model, Micros now) const;
  /// Number of adapters of all models that the server holds.
  std::size_t AdapterCount() const;
  /// Adds the weights to `models`, or removes them. `adapter` is empty for the model itself.
  void SetHeld(const std::string& model, const std::string& adapter, bool held);
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_SERVER_PLACEMENT_HPP_
