// Operators' orders for servers and zones. They are stored in files and applied to the decision module;
// orders that the other process of an upgrade received are applied as well.
#ifndef VIOLETWING_SIDECAR_OPERATOR_ORDERS_HPP_
#define VIOLETWING_SIDECAR_OPERATOR_ORDERS_HPP_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>

#include "bench_adapter/wire.hpp"
#include "sidecar/admin.hpp"
#include "sidecar/balancer_types.hpp"
#include "sidecar/disabled_servers.hpp"
#include "sidecar/upstream.hpp"
#include "sidecar/zone_orders.hpp"

namespace violetwing::sidecar {

/// Stores operators' orders and applies them to the balancer.
class OperatorOrders {
 public:
  /// All references must outlive this object. `now` returns the module's clock: Unix time in microseconds.
  OperatorOrders(asio::io_context& io, const std::string& directory, const bench_adapter::WireSettings& names,
                 Balancer& balancer, Upstream& upstream, std::function<Micros()> now);

  /// Applies the stored orders now and then periodically.
  void Poll();

  /// Stops or resumes sending to a server. The server must have been listed or be disabled already.
  Admin::OrderResult DisableServer(const std::string& server);
  Admin::OrderResult EnableServer(const std::string& server);
  /// Drains a zone or returns it to service, gradually over `duration` microseconds (0 = at once).
  Admin::OrderResult OrderZone(const std::string& zone, bool drains, Micros duration);
  /// A `name=value` line for each zone that is not fully open.
  std::string ZoneMetrics() const;

 private:
  bool IsKnown(const std::string& server) const;
  bool ApplyDisabledServers();
  bool ApplyZoneOrders();

  const bench_adapter::WireSettings& names_;
  Balancer& balancer_;
  Upstream& upstream_;
  const std::function<Micros()> now_;
  DisabledServers disabled_servers_;
  ZoneOrders zone_orders_;
  std::map<std::string, ZoneOrder> applied_orders_;
  asio::steady_timer poll_timer_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_OPERATOR_ORDERS_HPP_
