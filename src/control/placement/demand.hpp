// How much each model, and each adapter, is asked for: averages that decay, and who waits for it now.
// A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_PLACEMENT_DEMAND_HPP_
#define VIOLETWING_CONTROL_PLACEMENT_DEMAND_HPP_

#include <cstdint>
#include <map>
#include <string>

#include "common/time.hpp"
#include "messages/instances.hpp"

namespace violetwing {

class Demand {
 public:
  struct Of {
    double requests = 0;    // a second, lately
    double steady = 0;      // the same over a longer time
    double tokens = 0;      // a second, lately
    Micros asked_at = 0;    // last, 0 for never
    Micros waiting_at = 0;  // when a request was last told to wait for it
  };

  void Count(const ModelDemand& demand, Micros now);
  // `name` is a model, or "model/adapter". A model's demand holds that of its adapters.
  Of Get(const std::string& backend, const std::string& name, Micros now) const;
  // Those that a request waits for, the longest waiting first.
  std::vector<std::string> Waiting(const std::string& backend, Micros now) const;
  void Served(const std::string& backend, const std::string& name);

 private:
  struct Entry {
    double requests = 0;  // decayed sums
    double steady = 0;
    double tokens = 0;
    Micros counted_at = 0;
    Micros asked_at = 0;
    Micros waiting_at = 0;
    Micros waiting_since = 0;
  };
  void Add(Entry& entry, const ModelDemand& demand, Micros now);

  std::map<std::string, std::map<std::string, Entry>> entries_;  // by service and name
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_PLACEMENT_DEMAND_HPP_
