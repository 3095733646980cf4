// What each model server holds, as far as the placer knows it for certain, and the order that each carries
// out. The placer learns it from a server's report at the start of its term and from its own orders since. An
// order names the number of orders that the placer knows of (`if_revision`); a server that has accepted
// others refuses it and is asked for a report again (PROTOCOL.md, "Servers").
// A core: it holds no clock, socket, file or thread.
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
#include "control/placement/server_state.hpp"

namespace violetwing {

/// Weights that a server has finished loading.
struct LoadedModel {
  std::string service;
  std::string model;
  std::string adapter;  // empty for the model itself
};

/// The state table of the placer: one `ServerState` per ready server of the services that run models. At most
/// one order is in flight per server.
class PlacementState {
 public:
  /// Forgets all servers, as a new placer does.
  void Clear() { servers_.clear(); }
  /// Adds servers that have become ready, drops those that no longer are, and gives up orders that have
  /// expired.
  void ReconcileServers(const configuration::Configuration& configuration, const InstanceTable& table,
                        Micros now);
  /// Sets in `table` which models the servers hold.
  void Publish(InstanceTable& table) const;

  /// The calls to make now. Each is returned once, and again only when it has to be repeated.
  std::vector<PlacementCall> TakeDueCalls(Micros now);
  /// When the next call is due; empty if none is.
  std::optional<Micros> NextDueAt() const;

  /// Orders a load. `instance` is known and idle, and the weights fit into its free memory.
  void StartLoad(const std::string& instance, const LoadRequest& load, Micros now);
  /// Orders an unload, to be followed by the load `next`. The weights are removed from the published models
  /// at once, and the order is sent once sidecars have had time to learn of that.
  void StartUnload(const std::string& instance, const std::string& model, const std::string& adapter,
                   const LoadRequest& next, Micros now);

  /// Handles the answer to `call`, an order. Returns the weights if their load is done.
  std::optional<LoadedModel> OnOrderAnswered(const PlacementCall& call, OrderStatus status, Micros now);
  /// Handles a server's report; empty if the server did not answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now);

  /// By instance id.
  const std::map<std::string, ServerState>& servers() const { return servers_; }
  /// Whether an order in flight loads these weights on a server of the service.
  bool IsLoading(const std::string& service, const std::string& model, const std::string& adapter) const;
  /// Number of models (not adapters) being loaded, including loads that follow an unload.
  int ModelLoadsInFlight() const;

 private:
  void ReconcileServer(const InstanceTable::Record& record, Micros now);
  std::optional<LoadedModel> OnOrderDone(ServerState& server, Micros now);
  static void StartOrder(ServerState& server, InFlightOrder order, Micros send_at, Micros now);
  static void OnOrderInProgress(ServerState& server, Micros now);
  static void RequestReport(ServerState& server, Micros at);

  std::map<std::string, ServerState> servers_;  // by instance id
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_STATE_HPP_
