// What a sidecar knows of the system by the answers of the control processes: the configuration, the servers,
// the control processes themselves, and its own number among the sidecars. Knowledge only grows: an answer
// that knows less than an earlier one takes nothing back. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_SYSTEM_VIEW_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_SYSTEM_VIEW_HPP_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dataplane/routing/directory.hpp"
#include "messages/watch.hpp"

namespace violetwing {

class SystemView {
 public:
  // `address`: where this sidecar takes the reports of others; empty if nowhere.
  explicit SystemView(std::string node, std::string address = {})
      : node_(std::move(node)), address_(std::move(address)) {}

  // A pull that asks for what is missing here.
  WatchRequest NextPull(int wait_ms, std::vector<ModelDemand> demand) const;
  // Takes an answer in. True if what requests go by has changed.
  bool Take(const WatchReply& reply);
  // What requests go by, as it stands now.
  DirectoryPtr MakeDirectory() const;

  std::int64_t version() const { return configuration_ == nullptr ? 0 : configuration_->version; }
  const std::vector<ControlNode>& controls() const { return controls_; }
  // Addresses of the sidecars that are to hear of this one's load.
  const std::vector<std::string>& neighbors() const { return neighbors_.addresses; }

 private:
  bool TakeConfiguration(const WatchReply& reply);
  std::optional<configuration::ReadResult> ReadConfiguration(const WatchReply& reply) const;
  bool TakeInstances(const WatchReply& reply);
  void Replace(const WatchReply& reply);
  void Merge(const Instance& instance);

  const std::string node_;
  const std::string address_;
  std::string source_;  // the incarnation of the control process whose whole list is held
  VersionVector known_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const proto::Configuration> message_;  // that it was read from: what patches are applied to
  bool takes_patches_ = false;                           // the last answer's configuration was taken
  std::map<std::string, Instance> instances_;
  std::vector<ControlNode> controls_;
  Neighbors neighbors_;
  int number_ = 0;
  int sidecars_ = 1;
  DirectoryPtr routing_ = std::make_shared<const Directory>();  // of the configuration, without servers
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_SYSTEM_VIEW_HPP_
