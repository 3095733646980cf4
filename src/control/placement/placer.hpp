// Decides where models and adapters live and which orders lead there. Only the process that leads the
// configuration's shard acts, with its term as the fencing token, and only while it holds the leader's lease.
//
// What a server holds is known from its report at the start of a term and from the orders since. Each order
// names the number of orders that led to that knowledge; the server refuses it if there were others, and is
// asked again.
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
#include "messages/instances.hpp"

namespace violetwing {

// A call to a server: for its report, or with an order.
struct PlacementCall {
  enum class Kind { kReport, kLoad, kUnload };
  Kind kind = Kind::kReport;
  std::string instance;
  std::string address;
  std::string model;
  std::string adapter;                      // empty for the model itself
  std::optional<std::int64_t> if_revision;  // orders that the server has taken before this one
};

// What a server reports of itself.
struct ServerReport {
  bool busy = false;          // an order is under way
  std::int64_t revision = 0;  // orders taken
  std::vector<HeldModel> models;
};

class Placer {
 public:
  using Micros = std::int64_t;

  void CountDemand(const ModelDemand& demand, Micros now) { demand_.Count(demand, now); }

  // This process acts from now on; what another one has ordered lately counts towards the bound on loads.
  void Begin(Micros now);
  // Calls to make now. Sets in `table` what the servers hold.
  std::vector<PlacementCall> Plan(const configuration::Configuration& configuration, InstanceTable& table,
                                  Micros now);
  // The answer to an order: an HTTP status, 0 without one.
  void OnAnswer(const PlacementCall& order, int status, Micros now);
  // Empty if there was no answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now);

 private:
  // The order that a server carries out, and what is to follow it.
  struct Work {
    PlacementCall order;
    Micros send_at = 0;  // next; 0 while an answer is awaited
    Micros given_up_at = 0;
    bool taken = false;      // the server has said that it is under way
    std::string then_model;  // to load after an unload
    std::string then_adapter;
    double seconds = 0;  // that the load is expected to take
    int asked = 0;       // times that it was found to be under way
  };
  // A server, as far as this placer knows it for certain.
  struct Known {
    std::string service;
    std::string address;
    std::optional<std::int64_t> revision;  // empty until it has reported
    Micros ask_at = 0;                     // 0 while a report is awaited
    std::vector<HeldModel> models;
    std::set<std::string> ever_held;
    std::optional<Work> work;

    bool Free() const { return revision && !work; }
    bool Holds(const std::string& model) const;
    std::size_t Adapters() const;
  };
  struct Server {
    std::string id;
    Known* known = nullptr;
    double free_mb = 0;
  };
  struct Service {
    const configuration::Backend* backend = nullptr;
    const configuration::Runtime* runtime = nullptr;
    std::vector<Server> servers;
    std::map<std::string, int> copies;  // held or on their way, by model
  };

  void Meet(const configuration::Configuration& configuration, InstanceTable& table, Micros now);
  std::vector<PlacementCall> DueCalls(Micros now);
  Service Look(const configuration::Backend& backend);
  const configuration::Model* FindModel(const Service& service, const std::string& name) const;
  bool OnItsWay(const std::string& model, const std::string& adapter) const;
  int LoadsUnderWay() const;

  void PlaceWaiting(Service& service, Micros now);
  // `urgent`: only those that have less than half of what they should.
  void PlaceCopies(Service& service, bool urgent, Micros now);
  bool PlaceModel(Service& service, const configuration::Model& model, bool waited_for, Micros now);
  bool PlaceAdapter(Service& service, const configuration::Model& model, const std::string& adapter,
                    Micros now);
  // Tokens a second that fall to a server.
  double WorkAt(const Service& service, const Server& server, Micros now) const;
  // What losing a copy there would cost, in requests a second.
  double Value(const Service& service, const std::string& model, Micros now) const;
  std::optional<std::string> Victim(const Service& service, const Server& server, double* value,
                                    Micros now) const;
  int WantedCopies(const Service& service, const std::string& model, Micros now) const;

  void StartWork(const Server& server, bool load, const std::string& model, const std::string& adapter,
                 double seconds, Micros now, Work then);
  static void SetHeld(Known& known, const std::string& model, const std::string& adapter, bool held);
  void Done(Known& known, const std::string& id, const Work& work, Micros now);
  void Refill(const configuration::Configuration& configuration, Micros now);

  Demand demand_;
  std::map<std::string, Known> known_;  // by instance
  double loads_left_ = 0;               // of the bound on the weight store
  Micros refilled_at_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACER_HPP_
