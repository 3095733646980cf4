// Zones that operators drain and return to service: the share of traffic that each zone gets over time. See
// docs/zones.md for the reasons.
#ifndef VIOLETWING_BALANCER_ZONES_HPP_
#define VIOLETWING_BALANCER_ZONES_HPP_

#include <map>

#include "balancer/records.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

class Zones {
 public:
  // Replaces the zone's earlier order. A return to service is dropped once it is complete.
  void SetOrder(int zone, const ZoneOrder& order);
  void ClearOrder(int zone);

  // The zone's share of its usual traffic: 1 without an order, 0 = no new requests.
  double TrafficShare(int zone, Micros now) const;
  // Whether a random choice of a server in the zone is accepted. True with probability TrafficShare().
  bool AcceptsDraw(int zone, Micros now, Random& random) const;
  // Whether a zone's share has become 0 or left 0 since the last call: the rings have to be rebuilt then.
  bool TakeAvailabilityChange(Micros now);

 private:
  struct OrderState {
    ZoneOrder order;
    bool closed = false;  // its share was 0 at the last TakeAvailabilityChange
  };
  std::map<int, OrderState> orders_;
  bool availability_changed_ = false;
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_ZONES_HPP_
