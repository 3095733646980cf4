// The replicated state of a shard of services: the instances that have announced that they leave. It outlives
// the process that accepted the announcement, so that no other one revives the instance by a late heartbeat.
#ifndef VIOLETWING_CONTROL_INSTANCES_DEREGISTRATIONS_HPP_
#define VIOLETWING_CONTROL_INSTANCES_DEREGISTRATIONS_HPP_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "messages/instances.hpp"

namespace violetwing {

/// Draining and deregistered instances, a bounded number: the oldest are forgotten first.
class Deregistrations {
 public:
  /// `phase` is kDraining or kDeregistered. A deregistered instance does not return to draining.
  void Apply(const std::string& id, Phase phase);
  /// The phase of the instance; empty if it has announced nothing.
  std::optional<Phase> Find(const std::string& id) const;
  /// By instance id.
  const std::map<std::string, Phase>& all() const { return phases_; }

  /// The state as JSON, for a snapshot of the shard; the form on disk.
  std::string Save() const;
  /// Replaces the state by a saved one. False if it cannot be read; the state is then unspecified.
  [[nodiscard]] bool Load(const std::string& saved);

 private:
  std::map<std::string, Phase> phases_;  // by instance id
  std::deque<std::string> order_;        // ids by their first announcement, the oldest first
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_INSTANCES_DEREGISTRATIONS_HPP_
