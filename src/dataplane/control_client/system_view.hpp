// A sidecar's state of the system from the watch replies of control processes: configuration, servers,
// control processes, neighbors and its own number. The state only moves forward: a reply older than an
// earlier one reverts nothing. A core: it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_SYSTEM_VIEW_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_SYSTEM_VIEW_HPP_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dataplane/directory/directory.hpp"
#include "messages/watch.hpp"

namespace violetwing {

/// Merges watch replies into one state.
class SystemView {
 public:
  /// `node`: name of this sidecar. `address`: where it receives load reports; empty if nowhere.
  explicit SystemView(std::string node, std::string address = {})
      : node_(std::move(node)), address_(std::move(address)) {}

  /// A request for all updates that are missing here, which may wait `wait_ms` for one; reports `demand`.
  WatchRequest NextWatchRequest(int wait_ms, std::vector<ModelDemand> demand) const;
  /// Applies a reply. True if the directory or the neighbors have changed.
  bool Apply(const WatchReply& reply);
  /// The current directory.
  DirectoryPtr MakeDirectory() const;

  /// Version of the configuration; 0 without one.
  std::int64_t version() const { return configuration_ == nullptr ? 0 : configuration_->version; }
  /// Control processes of the latest reply.
  const std::vector<ControlNode>& controls() const { return controls_; }
  /// Addresses of the sidecars to which this one sends its load reports.
  const std::vector<std::string>& neighbors() const { return neighbors_.addresses; }

 private:
  bool ApplyConfiguration(const WatchReply& reply);
  std::optional<configuration::ReadResult> ReadConfiguration(const WatchReply& reply) const;
  bool ApplyInstances(const WatchReply& reply);
  void ReplaceInstances(const WatchReply& reply);
  void MergeInstance(const Instance& instance);

  const std::string node_;
  const std::string address_;
  std::string source_;  // incarnation of the control process that sent the last full list
  VersionVector version_vector_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const proto::Configuration>
      configuration_message_;   // that it was parsed from: patches apply to it
  bool takes_patches_ = false;  // the last reply's configuration was applied
  std::map<std::string, Instance> instances_;
  std::vector<ControlNode> controls_;
  Neighbors neighbors_;
  int number_ = 0;
  int sidecars_ = 1;
  DirectoryPtr base_directory_ =
      std::make_shared<const Directory>();  // of the configuration, without servers
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_SYSTEM_VIEW_HPP_
