// Model servers (instances) as control processes and sidecars know them, and the demand for models.
#ifndef VIOLETWING_MESSAGES_INSTANCES_HPP_
#define VIOLETWING_MESSAGES_INSTANCES_HPP_

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace violetwing {

/// Life cycle of an instance. Of two records with the same sequence number the later phase wins.
enum class Phase {
  kReady,
  kLost,          ///< no heartbeat within the time-out: gets no requests, but may come back
  kDraining,      ///< it has announced its shutdown
  kDeregistered,  ///< it has deregistered, or another instance took its address
};
NLOHMANN_JSON_SERIALIZE_ENUM(Phase, {{Phase::kReady, "ready"},
                                     {Phase::kLost, "lost"},
                                     {Phase::kDraining, "draining"},
                                     {Phase::kDeregistered, "gone"}})

/// Whether the instance is draining or deregistered, which no later message revokes.
inline bool IsLeaving(Phase phase) { return phase == Phase::kDraining || phase == Phase::kDeregistered; }
/// The phase after a message: an instance that leaves keeps doing so, whatever a late or reordered message
/// says.
inline Phase MergePhase(Phase known, Phase received) {
  return IsLeaving(known) ? std::max(known, received) : received;
}

/// Weights that a server has loaded, with their adapters.
struct HeldModel {
  std::string name;
  std::int64_t version = 0;
  std::vector<std::string> adapters;
  bool operator==(const HeldModel&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldModel, name, version, adapters)

/// One start of one model server, by its last heartbeat.
struct Instance {
  std::string id;
  std::string backend;  ///< name of the service
  std::string address;  ///< "host:port"
  std::string zone;
  int capacity = 1;  ///< concurrent requests
  Phase phase = Phase::kReady;
  std::vector<HeldModel> models;
  std::int64_t sequence = 0;  ///< of its last heartbeat
  /// Version of the record: the incarnation of the control process that changed it last, and the number of
  /// that change among all changes of that incarnation.
  std::string origin;
  std::uint64_t counter = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Instance, id, backend, address, zone, capacity, phase, models,
                                                sequence, origin, counter)

/// The last heartbeat of a server at one control process.
struct LastSeen {
  std::string id;             ///< of the instance
  std::int64_t sequence = 0;  ///< of the heartbeat
  std::int64_t age_ms = 0;    ///< time since the heartbeat
};

/// For each incarnation of a control process the number of its last change that is known.
using VersionVector = std::map<std::string, std::uint64_t>;

/// Requests for a model, or an adapter of it ("model/adapter"), since the last report.
struct ModelDemand {
  std::string backend;
  std::string model;
  double requests = 0;
  double tokens = 0;  ///< prefill and decode together, as the equivalent of prefill tokens
  int waiting = 0;    ///< requests that wait until a server has loaded it
};

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_INSTANCES_HPP_
