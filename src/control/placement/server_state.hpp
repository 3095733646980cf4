// What the placer knows of one model server: the models that it holds and the order that it carries out.
// A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_SERVER_STATE_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_SERVER_STATE_HPP_

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

/// Weights to load.
struct LoadRequest {
  std::string model;
  std::string adapter;    // empty for the model itself
  double expected_s = 0;  // expected duration of the load, in seconds
};

/// An order that a server was given and has not finished.
struct InFlightOrder {
  PlacementCall call;
  Micros next_send_at = 0;               // when to send it, first or again; 0 while an answer is awaited
  Micros expires_at = 0;                 // the placer then gives it up and asks the server for a report
  bool accepted = false;                 // the server has answered that it is in progress
  double expected_s = 0;                 // expected duration of a load, in seconds
  std::optional<LoadRequest> next_load;  // to start once this unload is done
  int unload_polls = 0;                  // times that the unload was found to be in progress

  /// Whether it loads these weights, by itself or with the load that follows it.
  bool Loads(const std::string& model, const std::string& adapter) const;
  /// Whether it loads any model (not an adapter), by itself or with the load that follows it.
  bool LoadsModel() const;
};

/// One server. `revision` is known, and `models` certain, from a report or an answered order on; until then
/// `models` is what the server's heartbeats said.
struct ServerState {
  std::string service;
  std::string address;                      // host:port
  std::optional<std::int64_t> revision;     // orders accepted; empty until the server has reported
  Micros next_report_at = 0;                // when to ask for a report; 0 while one is awaited
  std::vector<HeldModel> models;            // without those about to be unloaded
  std::set<std::string> previously_held;    // models that the server's own disk has
  std::map<std::string, Micros> loaded_at;  // of models that this placer had loaded
  std::optional<InFlightOrder> in_flight;

  /// Whether it can be given an order.
  bool Idle() const { return revision && !in_flight; }
  bool Holds(const std::string& model) const;
  /// Whether the model was loaded so recently that requests that waited for it may not have started yet.
  bool JustLoaded(const std::string& model, Micros now) const;
  /// Number of adapters over all its models.
  std::size_t AdapterCount() const;
  /// Adds the weights to `models`, or removes them. `adapter` is empty for the model itself.
  void SetHeld(const std::string& model, const std::string& adapter, bool held);
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_SERVER_STATE_HPP_
