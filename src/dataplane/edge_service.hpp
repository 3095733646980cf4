// The sidecar process: its listeners, its link to the control plane, and its graceful shutdown.
#ifndef VIOLETWING_DATAPLANE_EDGE_SERVICE_HPP_
#define VIOLETWING_DATAPLANE_EDGE_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "common/failure.hpp"
#include "common/node_settings.hpp"
#include "dataplane/ingress/ingress.hpp"
#include "dataplane/load_balancing/load_report_exchange.hpp"
#include "dataplane/routing/request_router.hpp"

namespace violetwing {

/// A sidecar. Must be used on the thread of `io` only, which must outlive it.
class EdgeService {
 public:
  /// Opens no socket; Start does.
  EdgeService(boost::asio::io_context& io, NodeSettings settings);

  /// Listens and connects to the control plane. Errors: those of the sockets, and std::errc::invalid_argument
  /// for an invalid address. The object must not be used after an error.
  Fallible<void> Start();
  /// Applies the seed nodes of `settings`. All other settings take effect only at a restart.
  void Reload(const NodeSettings& settings) { link_.Reload(settings); }
  /// Graceful shutdown: reports unready, keeps serving until the platform has noticed, drains the requests in
  /// flight within the grace period, and stops the io_context.
  void Stop();

 private:
  void OnDirectory(DirectoryPtr directory);
  void OnReadiness(const ClientPtr& client, const ClientRequest& request) const;
  bool IsReady() const;
  void Tick();
  void AwaitDrained();
  void EndDrain();

  boost::asio::io_context& io_;
  const NodeSettings settings_;
  DataPlane plane_;
  Ingress ingress_;
  Ingress readiness_;
  LoadReportExchange load_reports_;
  ControlLink link_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer stop_timer_;
  std::chrono::steady_clock::time_point stop_began_;
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_EDGE_SERVICE_HPP_
