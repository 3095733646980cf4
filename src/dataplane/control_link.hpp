// A sidecar's link to the control plane: pulls what it misses from one control process at a time, and goes on
// to the next when that one is silent or out of touch. It never goes back to an older configuration.
#ifndef VIOLETWING_DATAPLANE_CONTROL_LINK_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_LINK_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/http_client.hpp"
#include "common/random.hpp"
#include "dataplane/directory.hpp"
#include "messages/peer.hpp"
#include "node/settings.hpp"

namespace violetwing {

class ControlLink {
 public:
  // `changed` is called with each new directory.
  ControlLink(boost::asio::io_context& io, NodeSettings settings, std::function<void(DirectoryPtr)> changed);

  void Start();
  void Stop();
  void Reload(const NodeSettings& settings) { settings_.seeds = settings.seeds; }

  // Counts towards the next report; what waits is reported at once.
  void CountDemand(const ModelDemand& demand, bool urgent);

 private:
  void Pull();
  void OnPulled(int status, const std::string& body);
  void Take(const PullReply& reply);
  void Merge(const Instance& instance);
  void Publish();
  void Next(bool failed);
  std::vector<std::string> Candidates() const;
  std::vector<ModelDemand> TakeDemand();
  void SendDemand();

  boost::asio::io_context& io_;
  NodeSettings settings_;
  const std::function<void(DirectoryPtr)> changed_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer guard_;
  boost::asio::steady_timer demand_soon_;
  bool demand_pending_ = false;
  std::shared_ptr<HttpExchange> call_;
  std::string answer_;
  std::string target_;               // address of the control process in use
  std::vector<std::string> failed_;  // since one last answered
  Random random_;
  bool stopped_ = false;

  std::string source_;
  VersionVector known_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::map<std::string, Instance> instances_;
  std::vector<ControlNode> controls_;
  int number_ = 0;
  int sidecars_ = 1;
  std::map<std::pair<std::string, std::string>, ModelDemand> demand_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_LINK_HPP_
