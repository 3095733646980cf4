// A snapshot of one service for the placer: its models with their demand and replicas, and its servers with
// the models they hold. Does no I/O, reads no clock and starts no threads.
#ifndef VIOLETWING_CONTROL_PLACEMENT_SERVICE_VIEW_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_SERVICE_VIEW_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/reader.hpp"
#include "control/placement/demand_tracker.hpp"
#include "control/placement/placement_state.hpp"

namespace violetwing {

/// Built once per plan, so that the cost of a plan grows with the sum of models and servers and not with
/// their product. The configuration and the placement state must outlive the view. Costs and gains are the
/// number of requests per second that are late or fail.
class ServiceView {
 public:
  /// A model of the service.
  struct Model {
    const configuration::Model* spec = nullptr;
    DemandStats demand;
    int replicas = 0;         // loaded or being loaded
    int target_replicas = 0;  // derived from its share of the service's tokens
  };
  /// A server of the service.
  struct Server {
    const std::string* id = nullptr;
    const ServerPlacement* state = nullptr;
    std::vector<std::size_t> models;  // models that it holds, as indexes into `models()`
    double free_mb = 0;               // memory for weights that is not in use
  };
  /// A model that could be unloaded from a server.
  struct EvictionCandidate {
    std::size_t model = 0;  // index into `models()`
    double eviction_cost = 0;
    double drain_cost = 0;  // cost of waiting until the requests running on it have ended

    /// Cost of the eviction, including the wait for running requests.
    double TotalCost() const { return eviction_cost + drain_cost; }
  };

  /// `backend` must have a runtime.
  ServiceView(const configuration::Backend& backend, const PlacementState& state, const DemandTracker& demand,
              Micros now);

  /// All models of the service, in the order of the configuration. A plan updates replica counts here.
  std::vector<Model>& models() { return models_; }
  /// All ready servers of the service, by instance id. A plan removes evicted models here.
  std::vector<Server>& servers() { return servers_; }
  /// Null if the service has no such model.
  Model* Find(std::string_view name);
  /// The runtime settings of the service.
  const configuration::Runtime& runtime() const { return *backend_.runtime; }
  const std::string& name() const { return backend_.name; }

  /// Returns the cost of unloading one replica.
  double EvictionCost(const Model& model) const;
  /// Returns the gain from one additional replica.
  static double ReplicaGain(const Model& model);
  /// Returns the model that is cheapest to unload from a server; empty if no model of the server may be
  /// unloaded. `drain_cost` is the cost of waiting for running requests if the model has any.
  std::optional<EvictionCandidate> CheapestEviction(const Server& server, double drain_cost) const;

  /// Returns the expected load of a server, in tokens per second.
  double TokensPerSecond(const Server& server) const;
  /// Mean load of the service's servers, in tokens per second; at least 1.
  double MeanTokensPerSecond() const { return mean_tokens_per_second_; }
  /// Returns the load of each replica of a model, relative to the mean load of a server.
  double RelativeReplicaLoad(const Model& model) const;

 private:
  void AddModels(const DemandTracker& demand);
  void AddServers(const PlacementState& state);
  Server MakeServer(const std::string& id, const ServerPlacement& state);
  void CountLoadingReplicas(const InFlightOrder& order);
  void CountReplica(const std::string& name);
  void SetTargetReplicas();
  void SetMeanTokensPerSecond();
  static double BusyProbability(const Model& model);

  const configuration::Backend& backend_;
  const Micros now_;
  std::vector<Model> models_;
  std::unordered_map<std::string_view, std::size_t> model_index_;  // into `models_`, by name
  std::vector<Server> servers_;
  double mean_tokens_per_second_ = 1;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_SERVICE_VIEW_HPP_
