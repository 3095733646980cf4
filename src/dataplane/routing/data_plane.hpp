// The state shared by all requests of a sidecar.
#ifndef VIOLETWING_DATAPLANE_ROUTING_DATA_PLANE_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_DATA_PLANE_HPP_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <set>

#include "common/random.hpp"
#include "dataplane/control_client/control_link.hpp"
#include "dataplane/directory/directory.hpp"
#include "dataplane/load_balancing/load_balancer.hpp"
#include "dataplane/routing/drain_schedule.hpp"
#include "dataplane/routing/retry_budget.hpp"
#include "dataplane/upstream/upstream_pool.hpp"

namespace violetwing {

class RequestRouter;

/// Shared state of the requests of one sidecar. Used only on the thread of `io`.
struct DataPlane {
  boost::asio::io_context& io;
  DirectoryPtr directory;  ///< the latest
  LoadBalancer load_balancer;
  RetryBudget retry_budget;
  UpstreamPool pool;
  Random random;
  ControlLink* link = nullptr;  ///< null without a control plane; not owned
  /// Requests that wait for a server with their model; they are notified of each new directory.
  std::set<std::shared_ptr<RequestRouter>> waiting_for_model;
  /// All requests that have not finished.
  std::set<std::shared_ptr<RequestRouter>> in_flight = {};
  /// Set once the sidecar shuts down.
  std::optional<DrainSchedule> drain = {};
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_DATA_PLANE_HPP_
