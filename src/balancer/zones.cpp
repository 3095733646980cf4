#include "balancer/zones.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace violetwing::balancer {
namespace {

// Steps of a return. Each is felt before the next comes, where the operator gives it a second or two.
constexpr double kReturnSteps = 8;

}  // namespace

void Zones::Order(int zone, const ZoneOrder& order) {
  orders_[zone] = {order, false};
  turned_ = true;
}

void Zones::Forget(int zone) { turned_ = orders_.erase(zone) > 0 || turned_; }

double Zones::Open(int zone, Micros now) const {
  const auto it = orders_.find(zone);
  if (it == orders_.end()) return 1;
  const ZoneOrder& order = it->second.order;
  double passed = 1;
  if (order.duration > 0)
    passed = static_cast<double>(now - order.start) / static_cast<double>(order.duration);
  passed = std::clamp(passed, 0.0, 1.0);
  if (order.draining) return order.initial_share * (1 - passed);
  const double share = std::min(1.0, (std::floor(kReturnSteps * passed) + 1) / kReturnSteps);
  return order.initial_share + (1 - order.initial_share) * share;
}

bool Zones::Takes(int zone, Micros now, Random& random) const {
  if (orders_.empty()) return true;  // the ordinary path costs no draw
  const double open = Open(zone, now);
  return open >= 1 || random.Unit() < open;
}

bool Zones::Turned(Micros now) {
  if (orders_.empty() && !turned_) return false;
  for (auto it = orders_.begin(); it != orders_.end();) {
    const double open = Open(it->first, now);
    turned_ = std::exchange(it->second.closed, open <= 0) != (open <= 0) || turned_;
    it = open >= 1 && !it->second.order.draining ? orders_.erase(it) : std::next(it);
  }
  return std::exchange(turned_, false);
}

}  // namespace violetwing::balancer
