// What operators say of servers and zones: kept in files, carried to the module, and followed when the other
// process of an upgrade was told.
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

class OperatorOrders {
 public:
  // All that it is given outlives it. `now` is Unix time in microseconds, the module's clock.
  OperatorOrders(asio::io_context& io, const std::string& directory, const bench_adapter::WireSettings& names,
                 Balancer& balancer, Upstream& upstream, std::function<Micros()> now);

  // Takes up what is kept, now and again and again.
  void Poll();

  Admin::Verdict DisableServer(const std::string& server);
  Admin::Verdict EnableServer(const std::string& server);
  Admin::Verdict OrderZone(const std::string& zone, bool drains, Micros over);
  // A `name=value` line for each zone that is not wholly open.
  std::string ZoneMetrics() const;

 private:
  bool Known(const std::string& server) const;
  bool ApplyBans();
  bool ApplyZones();

  const bench_adapter::WireSettings& names_;
  Balancer& balancer_;
  Upstream& upstream_;
  const std::function<Micros()> now_;
  DisabledServers bans_;
  ZoneOrders zones_;
  std::map<std::string, ZoneOrder> applied_;
  asio::steady_timer timer_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_OPERATOR_ORDERS_HPP_
