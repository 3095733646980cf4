// What the control processes and the sidecars tell each other of model servers.
#ifndef VIOLETWING_MESSAGES_INSTANCES_HPP_
#define VIOLETWING_MESSAGES_INSTANCES_HPP_

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace violetwing {

// Later phases go before earlier ones of the same sequence number.
enum class Phase {
  kReady,
  kLost,          // no heartbeat for long: no requests, but it may come back
  kDraining,      // it has said that it leaves
  kDeregistered,  // it has said that it has left, or another server has its address
};
NLOHMANN_JSON_SERIALIZE_ENUM(Phase, {{Phase::kReady, "ready"},
                                     {Phase::kLost, "lost"},
                                     {Phase::kDraining, "draining"},
                                     {Phase::kDeregistered, "gone"}})

inline bool Leaves(Phase phase) { return phase == Phase::kDraining || phase == Phase::kDeregistered; }
// What has left stays so, whatever a later or reordered message says.
inline Phase LaterPhase(Phase known, Phase told) { return Leaves(known) ? std::max(known, told) : told; }

// Weights that a server holds, with the adapters of them.
struct HeldModel {
  std::string name;
  std::int64_t version = 0;
  std::vector<std::string> adapters;
  bool operator==(const HeldModel&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldModel, name, version, adapters)

// One start of one server, as it was last heard of.
struct Instance {
  std::string id;
  std::string backend;  // the service
  std::string address;  // host:port
  std::string zone;
  int capacity = 1;
  Phase phase = Phase::kReady;
  std::vector<HeldModel> models;
  std::int64_t sequence = 0;  // of its heartbeat
  // Which control process changed the record, and its how-manieth change that was.
  std::string origin;
  std::uint64_t counter = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Instance, id, backend, address, zone, capacity, phase, models,
                                                sequence, origin, counter)

// For each control process the number of its last change that is known: what is newer is missing.
using VersionVector = std::map<std::string, std::uint64_t>;

// Requests for a model, or an adapter of it ("model/adapter"), since the last report.
struct ModelDemand {
  std::string backend;
  std::string model;
  double requests = 0;
  double tokens = 0;  // read and put out, in tokens read
  int waiting = 0;    // requests held until a server has it
};
}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_INSTANCES_HPP_
