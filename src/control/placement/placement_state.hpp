// What each model server holds, as far as the placer knows it for certain, and the order that each carries
// out. That is known from a server's report at the start of a term and from the orders since. Each order
// names the number of orders that led to that knowledge; the server refuses it if there were others, and is
// asked again. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_STATE_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_STATE_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/configuration/reader.hpp"
#include "control/instances/instance_table.hpp"
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

class PlacementState {
 public:
  // A load, and how long it is expected to take.
  struct Load {
    std::string model;
    std::string adapter;  // empty for the model itself
    double seconds = 0;
  };
  // The order that a server carries out, and what is to follow it.
  struct Work {
    PlacementCall order;
    Micros send_at = 0;  // next; 0 while an answer is awaited
    Micros given_up_at = 0;
    bool taken = false;        // the server has said that it is under way
    double seconds = 0;        // that a load is expected to take
    std::optional<Load> then;  // to follow an unload
    int asked = 0;             // times that it was found to be under way

    // Whether it brings these weights, now or with what follows.
    bool Brings(const std::string& model, const std::string& adapter) const;
    bool BringsModel() const;
  };
  struct Server {
    std::string service;
    std::string address;
    std::optional<std::int64_t> revision;  // empty until it has reported
    Micros ask_at = 0;                     // 0 while a report is awaited
    std::vector<HeldModel> models;
    std::set<std::string> ever_held;
    std::map<std::string, Micros> loaded_at;  // of models that this placer had loaded
    std::optional<Work> work;

    bool Free() const { return revision && !work; }
    bool Holds(const std::string& model) const;
    // Whether the model came so lately that those who waited for it may yet have to be served.
    bool JustLoaded(const std::string& model, Micros now) const;
    std::size_t Adapters() const;
  };
  // Weights that a server holds since its last answer.
  struct Arrived {
    std::string service;
    std::string model;
    std::string adapter;
  };

  void Clear() { servers_.clear(); }
  // Takes in the servers that are there, and forgets those that are not.
  void Meet(const configuration::Configuration& configuration, const InstanceTable& table, Micros now);
  // Tells the table what the servers hold.
  void Publish(InstanceTable& table) const;
  std::vector<PlacementCall> DueCalls(Micros now);
  // When the next call is due; empty if none is.
  std::optional<Micros> NextDueAt() const;

  void StartLoad(const std::string& instance, const Load& load, Micros now);
  // Nothing more is sent there for what is about to go.
  void StartUnload(const std::string& instance, const std::string& model, const std::string& adapter,
                   const Load& then, Micros now);

  // The answer to an order: an HTTP status, 0 without one.
  std::optional<Arrived> OnAnswer(const PlacementCall& order, int status, Micros now);
  // Empty if there was no answer.
  void OnReport(const std::string& instance, const std::optional<ServerReport>& report, Micros now);

  const std::map<std::string, Server>& servers() const { return servers_; }
  bool OnItsWay(const std::string& service, const std::string& model, const std::string& adapter) const;
  // Of models, the ones that are to follow an unload included.
  int LoadsUnderWay() const;

 private:
  void Start(Server& server, PlacementCall order, Micros send_at, Micros now);
  std::optional<Arrived> Done(Server& server, const Work& work, Micros now);

  std::map<std::string, Server> servers_;  // by instance
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_PLACEMENT_STATE_HPP_
