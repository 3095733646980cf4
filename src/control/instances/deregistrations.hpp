// The replicated state of a shard of services: the instances that have announced their shutdown. It survives
// the process that accepted the announcement, so that a late heartbeat to another process cannot make the
// instance ready again.
#ifndef VIOLETWING_CONTROL_INSTANCES_DEREGISTRATIONS_HPP_
#define VIOLETWING_CONTROL_INSTANCES_DEREGISTRATIONS_HPP_

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "messages/instances.hpp"

namespace violetwing {

/// A bounded number of draining and deregistered instances, of which the oldest are evicted first.
class Deregistrations {
 public:
  /// Records the phase of an instance, which must be kDraining or kDeregistered. A deregistered instance does
  /// not return to draining.
  void Apply(const std::string& id, Phase phase);
  /// Returns the phase of the instance; empty if it has not announced a shutdown or was evicted.
  std::optional<Phase> Find(const std::string& id) const;
  /// Phases by instance id.
  const std::map<std::string, Phase>& all() const { return phases_; }

  /// Returns the state as JSON, in the form that snapshots of the shard store. Ids that are not UTF-8 are
  /// stored as lists of bytes.
  std::string Save() const;
  /// Replaces the state with a saved one. Returns false if it cannot be read; the state is then unspecified.
  [[nodiscard]] bool Load(const std::string& saved);

 private:
  // `id` must have a phase.
  nlohmann::json SaveBytes(const std::string& id) const;
  // Throws nlohmann::json::exception.
  void LoadDecoded(const nlohmann::json& saved);

  std::map<std::string, Phase> phases_;  // by instance id
  std::deque<std::string> order_;        // ids in the order of their first announcement, the oldest first
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_INSTANCES_DEREGISTRATIONS_HPP_
