// Zones taken out by hand and brought back: how far each is open at a moment. docs/zones.md has the reasons.
#ifndef VIOLETWING_BALANCER_ZONES_HPP_
#define VIOLETWING_BALANCER_ZONES_HPP_

#include <map>

#include "balancer/records.hpp"
#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

class Zones {
 public:
  // The latest order for a zone holds; a return that has come to its end is forgotten by itself.
  void Order(int zone, const ZoneOrder& order);
  void Forget(int zone);

  // The share of its usual part that a zone gets: 1 if there is no order, 0 = nothing new.
  double Open(int zone, Micros now) const;
  // Whether a draw of a server there is to be taken.
  bool Takes(int zone, Micros now, Random& random) const;
  // Whether a zone has closed or opened since this was last asked: the rings are others then.
  bool Turned(Micros now);

 private:
  struct Ordered {
    ZoneOrder order;
    bool closed = false;  // when Turned was last asked
  };
  std::map<int, Ordered> orders_;
  bool turned_ = false;
};

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_ZONES_HPP_
