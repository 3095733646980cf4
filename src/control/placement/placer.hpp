// Decides which server loads and unloads which model and adapter. Only the leader of the configuration's
// shard runs it, and only while it holds its lease (placer_role.hpp).
//
// A model that a request waits for is loaded at once. A model in high demand gets as many replicas as its
// load needs. Room is made by evicting what costs least to lose. Loads from the weight store are rate limited
// (RULES.md, "Model servers", CEILING). A core: it holds no clock, socket, file or thread.
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

/// Not thread-safe: one thread records demand, plans, and hands in answers. Times are of one steady clock and
/// never go back.
class Placer {
 public:
  /// A placer that knows of no demand; `Begin` precedes the first plan.
  Placer();

  /// Adds a sidecar's report on the demand for a model.
  void RecordDemand(const ModelDemand& demand, Micros now) { demand_.Record(demand, now); }

  /// Starts a term as the placer: nothing is known of any server. The rate limit starts without a burst, as
  /// the placer before may have used it up.
  void Begin(Micros now);
  /// Plans orders and returns the calls to make now. Sets in `table` which models the servers hold.
  std::vector<PlacementCall> Plan(const configuration::Configuration& configuration, InstanceTable& table,
                                  Micros now);
  /// The calls of earlier plans that are due now.
  std::vector<PlacementCall> TakeDueCalls(Micros now) { return state_.TakeDueCalls(now); }
  /// When the next call is due; empty if none is.
  std::optional<Micros> NextDueAt() const { return state_.NextDueAt(); }
  /// Handles the answer to an order.
  void OnOrderAnswered(const PlacementCall& call, OrderStatus status, Micros now);
  /// Handles a server's report; empty if the server did not answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
    state_.OnReport(instance, report, now);
  }

 private:
  // Why a model is loaded.
  enum class LoadReason { kRequestsWaiting, kMoreReplicas };

  // A server that could load a model, what it would have to evict first, and the cost in requests per second.
  struct PlacementOption {
    ServiceView::Server* server = nullptr;
    std::optional<ServiceView::EvictionCandidate> eviction;
    bool on_local_disk = false;  // the server has held the model before
    double cost = 0;
  };

  void LoadWaiting(ServiceView& service, Micros now);
  // Adds replicas of models below their target, the most loaded first. Takes models whose replicas have at
  // least `min_relative_load` times the mean load of a server.
  void AddReplicas(ServiceView& service, double min_relative_load, Micros now);

  bool LoadModel(ServiceView& service, ServiceView::Model& model, LoadReason reason, Micros now);
  void StartModelLoad(ServiceView& service, ServiceView::Model& model, const PlacementOption& option,
                      Micros now);
  // `value`: requests per second that the model serves once it is loaded.
  std::optional<PlacementOption> CheapestOption(ServiceView& service, const ServiceView::Model& model,
                                                double value) const;
  // Empty if the server cannot load the model now.
  static std::optional<PlacementOption> OptionAt(ServiceView& service, const ServiceView::Model& model,
                                                 ServiceView::Server& server, double value,
                                                 bool store_load_allowed);
  // Whether the weight store may be asked for a model now.
  bool StoreLoadAllowed(const configuration::Runtime& runtime, const configuration::Model& model) const;

  void LoadAdapter(ServiceView& service, const ServiceView::Model& model, const std::string& adapter,
                   Micros now);
  // An adapter of a server.
  struct HeldAdapter {
    std::string model;
    std::string adapter;
  };
  std::optional<HeldAdapter> LeastRecentlyRequestedAdapter(const ServiceView& service,
                                                           const ServiceView::Server& server,
                                                           Micros now) const;

  DemandTracker demand_;
  PlacementState state_;
  TokenBucket store_loads_;  // loads from the weight store
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
