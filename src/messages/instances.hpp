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

/// Lifecycle of an instance. If two records have the same sequence number, the later phase takes precedence.
enum class Phase {
  kReady,
  kLost,          ///< no heartbeat within the timeout: receives no requests, but may become ready again
  kDraining,      ///< has announced its shutdown
  kDeregistered,  ///< has deregistered, or another instance uses its address
};
NLOHMANN_JSON_SERIALIZE_ENUM(Phase, {{Phase::kReady, "ready"},
                                     {Phase::kLost, "lost"},
                                     {Phase::kDraining, "draining"},
                                     {Phase::kDeregistered, "gone"}})

/// Returns whether the instance is draining or deregistered. No later message revokes these phases.
inline bool IsLeaving(Phase phase) { return phase == Phase::kDraining || phase == Phase::kDeregistered; }
/// Returns the phase after receiving a message. A late or reordered message cannot return a draining or
/// deregistered instance to an earlier phase.
inline Phase MergePhase(Phase known, Phase received) {
  return IsLeaving(known) ? std::max(known, received) : received;
}

/// A model whose weights a server has loaded, with its loaded adapters.
struct HeldModel {
  std::string name;
  std::int64_t version = 0;
  std::vector<std::string> adapters;
  bool operator==(const HeldModel&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldModel, name, version, adapters)

/// A model server process, as described by its last heartbeat. A restarted server is a new instance.
struct Instance {
  std::string id;
  std::string backend;  ///< name of the service
  std::string address;  ///< "host:port"
  std::string zone;
  int capacity = 1;  ///< maximum number of concurrent requests
  Phase phase = Phase::kReady;
  std::vector<HeldModel> models;
  std::int64_t sequence = 0;  ///< sequence number of the last heartbeat
  /// Version of the record: `origin` is the incarnation of the control process that changed it last, and
  /// `counter` numbers the changes of that incarnation.
  std::string origin;
  std::uint64_t counter = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Instance, id, backend, address, zone, capacity, phase, models,
                                                sequence, origin, counter)

/// The last heartbeat of an instance that one control process received.
struct LastSeen {
  std::string id;             ///< instance id
  std::int64_t sequence = 0;  ///< sequence number of the heartbeat
  std::int64_t age_ms = 0;    ///< time since the heartbeat
};

/// The counter of the last known change, by incarnation of a control process.
using VersionVector = std::map<std::string, std::uint64_t>;

/// Requests for a model or one of its adapters ("model/adapter") since the last report.
struct ModelDemand {
  std::string backend;
  std::string model;
  double requests = 0;
  double tokens = 0;  ///< prefill and decode tokens, as the equivalent number of prefill tokens
  int waiting = 0;    ///< requests that wait until a server has loaded the model
};

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_INSTANCES_HPP_
