#include "sidecar/operator_orders.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <set>
#include <utility>

namespace violetwing::sidecar {
namespace {

// Interval for reading the orders that another process stored. An acknowledged order must be in effect in
// all processes after the grace period, which is half a second at its shortest.
constexpr auto kPollInterval = std::chrono::milliseconds(200);

}  // namespace

OperatorOrders::OperatorOrders(asio::io_context& io, const std::string& directory,
                               const bench_adapter::WireSettings& names, Balancer& balancer,
                               Upstream& upstream, std::function<Micros()> now)
    : names_(names),
      balancer_(balancer),
      upstream_(upstream),
      now_(std::move(now)),
      disabled_servers_(directory),
      zone_orders_(directory),
      poll_timer_(io) {}

void OperatorOrders::Poll() {
  ApplyDisabledServers();
  ApplyZoneOrders();
  poll_timer_.expires_after(kPollInterval);
  poll_timer_.async_wait([this](ErrorCode error) {
    if (!error) Poll();
  });
}

bool OperatorOrders::IsKnown(const std::string& server) const {
  return balancer_.WasListed(server) || balancer_.disabled().count(server) > 0;
}

Admin::OrderResult OperatorOrders::DisableServer(const std::string& server) {
  if (!IsKnown(server)) return Admin::OrderResult::kUnknown;
  return disabled_servers_.Add(server) && ApplyDisabledServers() ? Admin::OrderResult::kDone
                                                                 : Admin::OrderResult::kNotStored;
}

Admin::OrderResult OperatorOrders::EnableServer(const std::string& server) {
  if (!IsKnown(server)) return Admin::OrderResult::kUnknown;
  return disabled_servers_.Remove(server) && ApplyDisabledServers() ? Admin::OrderResult::kDone
                                                                    : Admin::OrderResult::kNotStored;
}

Admin::OrderResult OperatorOrders::OrderZone(const std::string& zone, bool drains, Micros duration) {
  const int number = bench_adapter::IndexOf(names_.zones, zone);
  if (number < 0) return Admin::OrderResult::kUnknown;
  if (drains && !balancer_.HasUsableServerOutside(number)) return Admin::OrderResult::kNoServerElsewhere;
  const Micros now = now_();
  const ZoneOrder order{drains, now, duration, balancer_.ZoneTrafficShare(now, number)};
  return zone_orders_.Put(zone, order) && ApplyZoneOrders() ? Admin::OrderResult::kDone
                                                            : Admin::OrderResult::kNotStored;
}

// Returns false if the stored set cannot be read.
bool OperatorOrders::ApplyDisabledServers() {
  std::set<std::string> stored;
  if (!disabled_servers_.Read(stored)) return false;
  const std::set<std::string> before = balancer_.disabled();
  for (const std::string& server : stored) {
    if (before.count(server) > 0) continue;
    balancer_.Disable(now_(), server);
    upstream_.Retire(server);
  }
  for (const std::string& server : before)
    if (stored.count(server) == 0) balancer_.Enable(now_(), server);
  return true;
}

bool OperatorOrders::ApplyZoneOrders() {
  std::map<std::string, ZoneOrder> stored;
  if (!zone_orders_.Read(stored)) return false;
  const Micros now = now_();
  for (const auto& [zone, order] : stored) {
    const int number = bench_adapter::IndexOf(names_.zones, zone);
    if (number < 0) continue;  // stored by a process with other settings
    const auto it = applied_orders_.find(zone);
    if (it == applied_orders_.end() || it->second != order) balancer_.SetZoneOrder(now, number, order);
    if (!order.draining && balancer_.ZoneTrafficShare(now, number) >= 1)
      zone_orders_.Remove(zone);  // the return is complete
  }
  for (const auto& [zone, order] : applied_orders_)
    if (stored.count(zone) == 0) balancer_.ClearZoneOrder(bench_adapter::IndexOf(names_.zones, zone));
  applied_orders_ = std::move(stored);
  return true;
}

std::string OperatorOrders::ZoneMetrics() const {
  std::string out;
  for (const auto& [zone, order] : applied_orders_) {
    const int number = bench_adapter::IndexOf(names_.zones, zone);
    const double open = number < 0 ? 1 : balancer_.ZoneTrafficShare(now_(), number);
    if (open < 1) out += "sidecar.zone." + zone + ".open=" + std::to_string(open) + "\n";
  }
  return out;
}

}  // namespace violetwing::sidecar
