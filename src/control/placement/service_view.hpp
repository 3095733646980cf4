// One service as the placer sees it at one moment: its models with their demand and copies, and its servers
// with what they hold. Made once for each plan, so that a plan costs time by models and servers, not by
// their product. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_SERVICE_VIEW_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_SERVICE_VIEW_HPP_

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/reader.hpp"
#include "control/placement/demand.hpp"
#include "control/placement/placement_state.hpp"

namespace violetwing {

class ServiceView {
 public:
  struct Model {
    const configuration::Model* spec = nullptr;
    Demand::Of demand;
    int copies = 0;  // held or on their way
    int wanted = 0;  // by its share of all work
  };
  struct Server {
    const std::string* id = nullptr;
    const PlacementState::Server* state = nullptr;
    std::vector<std::size_t> held;  // models, by their place in `models`
    double free_mb = 0;
  };
  // What would be unloaded, and what that costs, in requests a second.
  struct Victim {
    std::size_t model = 0;
    double cost = 0;
    double wait = 0;  // what it costs to wait for the end of its runs, likewise
  };

  ServiceView(const configuration::Backend& backend, const PlacementState& orders, const Demand& demand,
              Micros now);

  std::vector<Model>& models() { return models_; }
  std::vector<Server>& servers() { return servers_; }
  Model* Find(std::string_view name);  // null if there is none
  const configuration::Runtime& runtime() const { return *backend_.runtime; }
  const std::string& name() const { return backend_.name; }

  // What losing a copy would cost, in requests a second.
  double CostOfLosing(const Model& model) const;
  // What one copy more would save, likewise.
  double GainOfCopy(const Model& model) const;
  // The model that a server can do without at the least cost; empty if it holds none. `wait_cost`: of
  // waiting until the runs of a model have ended, if there are any.
  std::optional<Victim> LeastMissed(const Server& server, double wait_cost) const;
  // Tokens a second that fall to a server.
  double WorkAt(const Server& server) const;
  // Work of each copy of a model, in that of a server in the mean.
  double LoadOfCopy(const Model& model) const {
    return model.demand.tokens / std::max(model.copies, 1) / mean_work_;
  }
  // Tokens a second of a server in the mean; not 0.
  double MeanWork() const { return mean_work_; }

 private:
  void TakeModels(const Demand& demand);
  void TakeServers(const PlacementState& orders);
  void CountWanted();
  double Busy(const Model& model) const;

  const configuration::Backend& backend_;
  const Micros now_;
  std::vector<Model> models_;
  std::unordered_map<std::string_view, std::size_t> places_;  // in `models_`, by name
  std::vector<Server> servers_;
  double mean_work_ = 1;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_SERVICE_VIEW_HPP_
