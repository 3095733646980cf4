// Decides where models and adapters live and which orders lead there. Only the process that leads the
// configuration's shard acts, with its term as the fencing token, and only while it holds the leader's lease.
//
// A model that a request waits for is loaded at once. A model that is asked for much gets as many copies as
// its work needs. Room is made by unloading what is missed least. The rate of loads from the weight store is
// bounded. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/configuration/reader.hpp"
#include "control/instances/table.hpp"
#include "control/placement/demand.hpp"

namespace violetwing {

// What a server is told to do.
struct PlacementOrder {
  std::string instance;
  std::string address;
  bool load = true;  // else unload
  std::string model;
  std::string adapter;  // empty for the model itself
};

class Placer {
 public:
  using Micros = std::int64_t;

  void CountDemand(const ModelDemand& demand, Micros now) { demand_.Count(demand, now); }

  // This process acts from now on; what another one has ordered lately counts towards the bound on loads.
  void Begin(Micros now);
  // Orders to send now. Changes in `table` what its servers are taken to hold.
  std::vector<PlacementOrder> Plan(const configuration::Configuration& configuration, InstanceTable& table,
                                   Micros now);
  // The server's answer: an HTTP status, 0 without one.
  void OnAnswer(const PlacementOrder& order, int status, InstanceTable& table, Micros now);

 private:
  // The order that a server carries out, and what is to follow it.
  struct Work {
    PlacementOrder order;
    Micros send_at = 0;  // next; 0 while an answer is awaited
    Micros given_up_at = 0;
    bool taken = false;      // the server has said that it is under way
    std::string then_model;  // to load after an unload
    std::string then_adapter;
    double seconds = 0;  // that the load is expected to take
  };
  struct Server {
    const InstanceTable::Record* record = nullptr;
    double free_mb = 0;
  };
  struct Service {
    const configuration::Backend* backend = nullptr;
    const configuration::Runtime* runtime = nullptr;
    std::vector<Server> servers;
    std::map<std::string, int> copies;  // held or on their way, by model
  };

  Service Look(const configuration::Backend& backend, const InstanceTable& table) const;
  const configuration::Model* FindModel(const Service& service, const std::string& name) const;
  bool Busy(const std::string& instance) const { return work_.count(instance) > 0; }
  bool OnItsWay(const std::string& model, const std::string& adapter) const;
  int LoadsUnderWay() const;

  void PlaceWaiting(Service& service, InstanceTable& table, Micros now);
  void PlaceCopies(Service& service, InstanceTable& table, Micros now);
  bool PlaceModel(Service& service, InstanceTable& table, const configuration::Model& model, bool waited_for,
                  Micros now);
  bool PlaceAdapter(Service& service, InstanceTable& table, const configuration::Model& model,
                    const std::string& adapter, Micros now);
  // What losing a copy there would cost, in requests a second.
  double Value(const Service& service, const std::string& model, Micros now) const;
  std::optional<std::string> Victim(const Service& service, const Server& server, double* value,
                                    Micros now) const;
  int WantedCopies(const Service& service, const std::string& model, Micros now) const;

  void Begin(const Server& server, bool load, const std::string& model, const std::string& adapter,
             double seconds, InstanceTable& table, Micros now, Work then);
  void Done(const Work& work, InstanceTable& table, Micros now);
  void Refill(const configuration::Configuration& configuration, Micros now);

  Demand demand_;
  std::map<std::string, Work> work_;                   // by instance
  std::map<std::string, std::set<std::string>> held_;  // models that an instance has ever held
  double loads_left_ = 0;                              // of the bound on the weight store
  Micros refilled_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
