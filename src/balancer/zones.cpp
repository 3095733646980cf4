#include "balancer/zones.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace violetwing::balancer {
namespace {

// Steps of a return to service. The effect of each is visible before the next one if the operator allows a
// second or two per step.
constexpr double kReturnSteps = 8;

}  // namespace

void Zones::SetOrder(int zone, const ZoneOrder& order) {
  orders_[zone] = {order, false};
  availability_changed_ = true;
}

void Zones::ClearOrder(int zone) { availability_changed_ = orders_.erase(zone) > 0 || availability_changed_; }

double Zones::TrafficShare(int zone, Micros now) const {
  const auto it = orders_.find(zone);
  if (it == orders_.end()) return 1;
  const ZoneOrder& order = it->second.order;
  double progress = 1;
  if (order.duration > 0)
    progress = static_cast<double>(now - order.start) / static_cast<double>(order.duration);
  progress = std::clamp(progress, 0.0, 1.0);
  if (order.draining) return order.initial_share * (1 - progress);
  const double share = std::min(1.0, (std::floor(kReturnSteps * progress) + 1) / kReturnSteps);
  return order.initial_share + (1 - order.initial_share) * share;
}

bool Zones::AcceptsDraw(int zone, Micros now, Random& random) const {
  if (orders_.empty()) return true;  // without orders, no random number is drawn
  const double traffic_share = TrafficShare(zone, now);
  return traffic_share >= 1 || random.Unit() < traffic_share;
}

bool Zones::TakeAvailabilityChange(Micros now) {
  if (orders_.empty() && !availability_changed_) return false;
  for (auto it = orders_.begin(); it != orders_.end();) {
    const double traffic_share = TrafficShare(it->first, now);
    availability_changed_ =
        std::exchange(it->second.closed, traffic_share <= 0) != (traffic_share <= 0) || availability_changed_;
    it = traffic_share >= 1 && !it->second.order.draining ? orders_.erase(it) : std::next(it);
  }
  return std::exchange(availability_changed_, false);
}

}  // namespace violetwing::balancer
