// One service as the placer sees it at one moment: its models with their demand and replicas, and its servers
// with the models they hold. A core: it holds no clock, socket, file or thread.
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

/// Built once per plan, so that the cost of a plan grows with models plus servers and not with their product.
/// The configuration, the placement state and their contents must outlive it. Costs and gains are in requests
/// per second that are late or fail.
class ServiceView {
 public:
  /// A model of the service.
  struct Model {
    const configuration::Model* spec = nullptr;
    DemandStats demand;
    int replicas = 0;         // held or being loaded
    int target_replicas = 0;  // by its share of the service's tokens
  };
  /// A server of the service.
  struct Server {
    const std::string* id = nullptr;
    const ServerState* state = nullptr;
    std::vector<std::size_t> models;  // held, as indexes into `models()`
    double free_mb = 0;               // memory for weights that is left
  };
  /// A model that might be unloaded from a server.
  struct EvictionCandidate {
    std::size_t model = 0;  // index into `models()`
    double eviction_cost = 0;
    double drain_cost = 0;  // of waiting until the requests that run on it have ended

    /// Cost of the eviction and of waiting for it.
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
  /// What the configuration says of the service.
  const configuration::Runtime& runtime() const { return *backend_.runtime; }
  const std::string& name() const { return backend_.name; }

  /// The cost of unloading one replica.
  double EvictionCost(const Model& model) const;
  /// The gain from one replica more.
  static double ReplicaGain(const Model& model);
  /// The model that is cheapest to unload from a server; empty if it has none that may go. `drain_cost` is
  /// the cost of waiting for the end of running requests, where a model has any.
  std::optional<EvictionCandidate> CheapestEviction(const Server& server, double drain_cost) const;

  /// Tokens per second that fall to a server.
  double TokensPerSecond(const Server& server) const;
  /// Mean of that over the service's servers; at least 1.
  double MeanTokensPerSecond() const { return mean_tokens_per_second_; }
  /// Tokens per second of each replica of a model, relative to the mean of the servers.
  double RelativeReplicaLoad(const Model& model) const;

 private:
  void AddModels(const DemandTracker& demand);
  void AddServers(const PlacementState& state);
  Server MakeServer(const std::string& id, const ServerState& state);
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
