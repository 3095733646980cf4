// Decides which model servers load and unload which models and adapters. It runs only on the leader of the
// configuration shard, and only while that leader holds the placement lease (placer_role.hpp).
//
// A model that a request is waiting for is loaded at once. A model in high demand gets as many replicas as
// its load requires. Memory is freed by evicting the models whose loss costs least. Loads from the weight
// store are rate limited (RULES.md, "Model servers", CEILING). Does no I/O, reads no clock and starts no
// threads.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_

#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/reader.hpp"
#include "control/instances/instance_table.hpp"
#include "control/placement/demand_tracker.hpp"
#include "control/placement/placement_call.hpp"
#include "control/placement/placement_state.hpp"
#include "control/placement/service_view.hpp"
#include "control/placement/token_bucket.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// Not thread-safe: one thread records demand, plans, and passes in answers. Times are in microseconds of one
/// steady clock and never decrease.
class Placer {
 public:
  /// Creates a placer without demand. `BeginTerm` must be called before the first plan.
  Placer();

  /// Records a sidecar's report on the demand for a model.
  void RecordDemand(const ModelDemand& demand, Micros now) { demand_.Record(demand, now); }

  /// Starts a term as the placer: discards the state of all servers. The rate limit starts without burst
  /// capacity, because the previous placer may have used it up.
  void BeginTerm(Micros now);
  /// Plans orders and returns the calls that are due. Writes the models that each server holds to `table`.
  std::vector<PlacementCall> Plan(const configuration::Configuration& configuration, InstanceTable& table,
                                  Micros now);
  /// Returns the calls of earlier plans that are due.
  std::vector<PlacementCall> TakeDueCalls(Micros now) { return state_.TakeDueCalls(now); }
  /// Returns the time at which the next call is due; empty if no call is scheduled.
  std::optional<Micros> NextDueAt() const { return state_.NextDueAt(); }
  /// Handles the answer to an order.
  void OnOrderAnswered(const PlacementCall& call, OrderStatus status, Micros now);
  /// Handles a server's report; `report` is empty if the server did not answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
    state_.OnReport(instance, report, now);
  }

 private:
  enum class LoadReason { kRequestsWaiting, kMoreReplicas };

  // A server that could load a model, and the model that it would have to evict first.
  struct PlacementOption {
    ServiceView::Server* server = nullptr;
    std::optional<ServiceView::EvictionCandidate> eviction;
    bool on_local_disk = false;  // the server has held the model before
    double cost = 0;             // in requests per second
  };

  // Loads the models and adapters that requests are waiting for.
  void LoadAwaitedWeights(ServiceView& service, Micros now);
  // Adds replicas of models below their target, the most loaded ones first. Considers models whose replicas
  // have at least `min_relative_load` times the mean load of a server.
  void AddReplicas(ServiceView& service, double min_relative_load, Micros now);

  // Returns false if no server can load the model now, or the gain does not justify the eviction.
  bool LoadModel(ServiceView& service, ServiceView::Model& model, LoadReason reason, Micros now);
  void StartModelLoad(ServiceView& service, ServiceView::Model& model, const PlacementOption& option,
                      Micros now);
  // Empty if no server can load the model now. `value`: requests per second that the model will serve.
  std::optional<PlacementOption> CheapestOption(ServiceView& service, const ServiceView::Model& model,
                                                double value) const;
  // Empty if the server cannot load the model now.
  static std::optional<PlacementOption> OptionAt(ServiceView& service, const ServiceView::Model& model,
                                                 ServiceView::Server& server, double value,
                                                 bool store_load_allowed);
  // Whether a load of the model from the weight store may start now.
  bool StoreLoadAllowed(const configuration::Runtime& runtime, const configuration::Model& model) const;

  void LoadAdapter(ServiceView& service, const ServiceView::Model& model, const std::string& adapter,
                   Micros now);
  // An adapter that a server holds.
  struct HeldAdapter {
    std::string model;
    std::string adapter;
  };
  std::optional<HeldAdapter> LeastRecentlyRequestedAdapter(const ServiceView& service,
                                                           const ServiceView::Server& server,
                                                           Micros now) const;

  DemandTracker demand_;
  PlacementState state_;
  TokenBucket store_loads_;  // rate limit of loads from the weight store
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
