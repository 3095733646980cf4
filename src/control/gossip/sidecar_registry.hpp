// The sidecars that the control processes have heard lately, and the number that each has among them. All
// control processes that have heard the same give the same numbers. A core: it holds no clock, socket, file
// or thread.
#ifndef VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_
#define VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "messages/peer.hpp"

namespace violetwing {

class SidecarRegistry {
 public:
  // The place of one sidecar among all, from 0, and how many there are.
  struct Place {
    int number = 0;
    int count = 1;
  };

  // A call of the sidecar to this process. `address`: where it takes the reports of other sidecars.
  void Hear(const std::string& name, const std::string& address, Micros now);
  // A call to another control process, as that one tells.
  void HearOf(const SidecarLastSeen& heard, Micros now);
  int Count(Micros now) const { return PlaceOf({}, now).count; }
  Place PlaceOf(const std::string& name, Micros now) const;
  // Those with the nearest numbers on either side, as the numbers go round.
  Neighbors NeighborsOf(const std::string& name, Micros now) const;
  // Those that this process itself has heard after `since`.
  std::vector<SidecarLastSeen> HeardSince(Micros since, Micros now) const;

 private:
  struct Sidecar {
    std::string address;
    Micros heard_at = 0;           // by any control process
    Micros heard_directly_at = 0;  // by this one; 0 if never
  };

  std::map<std::string, Sidecar> sidecars_;  // by name
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_SIDECAR_REGISTRY_HPP_
