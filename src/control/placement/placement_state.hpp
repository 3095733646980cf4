// The state of each model server as confirmed to the placer: the models that it holds and the order that it
// is executing. The placer learns the state from a server's report at the start of its term, and then tracks
// it by its own orders. An order names the number of orders that the placer knows of (`if_revision`). A
// server that has accepted other orders rejects it and is asked for a new report (PROTOCOL.md, "Servers").
// Does no I/O, reads no clock and starts no threads.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_STATE_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_STATE_HPP_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/reader.hpp"
#include "control/instances/instance_table.hpp"
#include "control/placement/placement_call.hpp"
#include "control/placement/server_placement.hpp"

namespace violetwing {

/// Weights that a server has finished loading.
struct LoadedModel {
  std::string service;
  std::string model;
  std::string adapter;  // empty for the model itself
};

/// The placer's state table: one `ServerPlacement` for each ready server of the services that run models. At
/// most one order is in flight per server. Times are in microseconds of one steady clock. Not thread-safe.
class PlacementState {
 public:
  /// Removes all servers, as required at the start of a placer's term.
  void Clear() { servers_.clear(); }
  /// Adds servers that have become ready, removes those that are no longer ready, and abandons expired
  /// orders.
  void ReconcileServers(const configuration::Configuration& configuration, const InstanceTable& table,
                        Micros now);
  /// Writes the models that each server holds to `table`.
  void Publish(InstanceTable& table) const;

  /// Returns the calls that are due. A call is returned again only when it has to be repeated.
  std::vector<PlacementCall> TakeDueCalls(Micros now);
  /// Returns the time at which the next call is due; empty if no call is scheduled.
  std::optional<Micros> NextDueAt() const;

  /// Starts an order to load weights. `instance` must be known and idle, and the weights must fit into its
  /// free memory.
  void StartLoad(const std::string& instance, const LoadRequest& load, Micros now);
  /// Starts an order to unload weights, followed by the load `next`. The weights are removed from the
  /// published models at once; the order is sent after a delay in which sidecars learn of the removal.
  void StartUnload(const std::string& instance, const std::string& model, const std::string& adapter,
                   const LoadRequest& next, Micros now);

  /// Handles the answer to `call`, which is an order. Returns the loaded weights if it completes a load.
  std::optional<LoadedModel> OnOrderAnswered(const PlacementCall& call, OrderStatus status, Micros now);
  /// Handles a server's report; `report` is empty if the server did not answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now);

  /// Returns the servers by instance id.
  const std::map<std::string, ServerPlacement>& servers() const { return servers_; }
  /// Whether an order in flight loads these weights on some server of the service.
  bool IsLoading(const std::string& service, const std::string& model, const std::string& adapter) const;
  /// Number of models (not adapters) being loaded, including loads that follow an unload.
  int ModelLoadsInFlight() const;

 private:
  void ReconcileServer(const InstanceTable::Record& record, Micros now);
  std::optional<LoadedModel> OnOrderDone(ServerPlacement& server, Micros now);
  static void StartOrder(ServerPlacement& server, InFlightOrder order, Micros send_at, Micros now);
  static void OnOrderInProgress(ServerPlacement& server, Micros now);
  static void RequestReport(ServerPlacement& server, Micros at);

  std::map<std::string, ServerPlacement> servers_;  // by instance id
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_STATE_HPP_
