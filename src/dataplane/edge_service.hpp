// A sidecar that takes clients' requests: its listeners, its link to the control plane, and its end.
#ifndef VIOLETWING_DATAPLANE_EDGE_SERVICE_HPP_
#define VIOLETWING_DATAPLANE_EDGE_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <system_error>

#include "common/node_settings.hpp"
#include "dataplane/ingress/ingress.hpp"
#include "dataplane/load_balancing/load_report_exchange.hpp"
#include "dataplane/routing/request_router.hpp"

namespace violetwing {

class EdgeService {
 public:
  EdgeService(boost::asio::io_context& io, NodeSettings settings);

  std::error_code Start(std::string& problem);
  void Reload(const NodeSettings& settings) { link_.Reload(settings); }
  // Takes readiness away, goes on until the platform has seen that, finishes what is open, and leaves the
  // loop.
  void Stop();

 private:
  void OnDirectory(DirectoryPtr directory);
  void OnReadiness(const ClientPtr& client, const ClientRequest& request) const;
  bool Ready() const;
  void Tick();
  void AwaitLast();

  boost::asio::io_context& io_;
  const NodeSettings settings_;
  DataPlane plane_;
  Ingress ingress_;
  Ingress readiness_;
  LoadReportExchange gossip_;
  ControlLink link_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer stop_;
  std::chrono::steady_clock::time_point end_by_;
  bool stopping_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_EDGE_SERVICE_HPP_
