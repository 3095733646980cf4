// The replicated state of a shard of services: the servers that have said that they leave. It outlives the
// process that took the word, so that no other one revives the server by a late heartbeat.
#ifndef VIOLETWING_CONTROL_INSTANCES_DEPARTURES_HPP_
#define VIOLETWING_CONTROL_INSTANCES_DEPARTURES_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "messages/instances.hpp"

namespace violetwing {

class Deregistrations {
 public:
  // `phase` is kDraining or kDeregistered; what has gone does not drain again.
  void Apply(const std::string& id, Phase phase);
  std::optional<Phase> Find(const std::string& id) const;
  const std::map<std::string, Phase>& all() const { return phases_; }

  std::string Save() const;
  void Load(const std::string& saved);

 private:
  std::map<std::string, Phase> phases_;
  std::deque<std::string> order_;  // by their first word, the oldest first
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_INSTANCES_DEPARTURES_HPP_
