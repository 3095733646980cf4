// A sidecar's link to the control plane: pulls what it misses from one control process at a time, and goes on
// to the next when that one is silent or out of touch. Sockets and timers only: what is known is in
// system_view.hpp, who is asked in control_choice.hpp.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_LINK_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_LINK_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/node_settings.hpp"
#include "dataplane/control_client/control_channel.hpp"
#include "dataplane/control_client/control_process_selector.hpp"
#include "dataplane/control_client/system_view.hpp"
#include "dataplane/routing/directory.hpp"
#include "messages/watch.hpp"

namespace violetwing {

class ControlLink {
 public:
  // `changed` is called with each new directory.
  ControlLink(boost::asio::io_context& io, const NodeSettings& settings,
              std::function<void(DirectoryPtr)> changed);

  void Start();
  void Stop();
  void Reload(const NodeSettings& settings);

  // Counts towards the next report; what waits is reported at once.
  void CountDemand(const ModelDemand& demand, bool urgent);

  // Addresses of the sidecars that are to hear of this one's load.
  const std::vector<std::string>& neighbors() const { return view_.neighbors(); }

 private:
  void Pull();
  void OnWatched(int status, const std::string& body);
  bool Take(const std::string& body);
  std::vector<ModelDemand> TakeDemand();
  void SendDemand();

  boost::asio::io_context& io_;
  const std::function<void(DirectoryPtr)> changed_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer demand_soon_;
  bool demand_pending_ = false;
  bool demand_urgent_ = false;  // a request waits for some of it
  ControlChannel pulls_;
  ControlChannel reports_;  // of demand: a pull may be waiting for news meanwhile
  bool stopped_ = false;

  SystemView view_;
  ControlProcessSelector choice_;
  std::map<std::pair<std::string, std::string>, ModelDemand> demand_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_LINK_HPP_
