// Decides where models and adapters live and which orders lead there. Only the process that leads the
// configuration's shard acts, with its term as the fencing token, and only while it holds the leader's lease
// (placer_role.hpp).
//
// A model that a request waits for is loaded at once. A model that is asked for much gets as many copies as
// its work needs. Room is made by unloading what is missed least. The rate of loads from the weight store is
// bounded. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/reader.hpp"
#include "control/instances/instance_table.hpp"
#include "control/placement/demand.hpp"
#include "control/placement/placement_state.hpp"
#include "control/placement/service_view.hpp"
#include "messages/instances.hpp"

namespace violetwing {

class Placer {
 public:
  void CountDemand(const ModelDemand& demand, Micros now) { demand_.Count(demand, now); }

  // This process acts from now on; what another one has ordered lately counts towards the bound on loads.
  void Begin(Micros now);
  // Calls to make now. Sets in `table` what the servers hold.
  std::vector<PlacementCall> Plan(const configuration::Configuration& configuration, InstanceTable& table,
                                  Micros now);
  // When the next call is due; empty if none is.
  std::optional<Micros> NextDueAt() const { return orders_.NextDueAt(); }
  // The answer to an order: an HTTP status, 0 without one.
  void OnAnswer(const PlacementCall& order, int status, Micros now);
  // Empty if there was no answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now) {
    orders_.OnReport(instance, report, now);
  }

 private:
  // Where a model would go, what would have to go for it, and at what cost.
  struct Place {
    ServiceView::Server* server = nullptr;
    std::optional<ServiceView::Victim> victim;
    bool warm = false;  // the server has held it before: its own disk has it
    double cost = 0;    // in requests a second
  };

  void Refill(const configuration::Configuration& configuration, Micros now);
  void PlaceWaiting(ServiceView& service, Micros now);
  // Further copies of models that lack some, of those whose copies have at least so much work, in that of a
  // server in the mean; the busiest first.
  void PlaceCopies(ServiceView& service, double least_load, Micros now);
  bool PlaceModel(ServiceView& service, ServiceView::Model& model, bool waited_for, Micros now);
  // `worth`: requests a second that the model saves once it is there.
  std::optional<Place> FindPlace(ServiceView& service, const ServiceView::Model& model, double worth) const;
  bool PlaceAdapter(ServiceView& service, const ServiceView::Model& model, const std::string& adapter,
                    Micros now);
  // Of a server's adapters, the one that was asked for longest ago.
  std::optional<PlacementState::Load> OldestAdapter(const ServiceView& service,
                                                    const ServiceView::Server& server, Micros now) const;

  Demand demand_;
  PlacementState orders_;
  double loads_left_ = 0;  // of the bound on the weight store
  Micros refilled_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
