// A sidecar's view of the system, merged from the watch replies of control processes: configuration, servers,
// control processes, neighbors and its own index. The view is monotonic: an outdated reply reverts nothing.
// Sans-I/O: holds no clock, socket, file or thread.
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
  /// `node`: name of this sidecar. `load_report_address`: where it receives load reports; empty if it
  /// receives none.
  explicit SystemView(std::string node, std::string load_report_address = {})
      : node_(std::move(node)), load_report_address_(std::move(load_report_address)) {}

  /// Makes a request for all updates since this view's versions. The control process may hold it for
  /// `wait_ms` if there are none. The request also reports `demand`.
  WatchRequest NextWatchRequest(int wait_ms, std::vector<ModelDemand> demand) const;
  /// Applies a reply. Returns true if the directory or the neighbors have changed.
  bool Apply(const WatchReply& reply);
  /// Makes a directory of the current state.
  DirectoryPtr MakeDirectory() const;

  /// Version of the configuration; 0 if there is none yet.
  std::int64_t version() const { return configuration_ == nullptr ? 0 : configuration_->version; }
  /// Control processes of the latest reply.
  const std::vector<ControlNode>& control_nodes() const { return control_nodes_; }
  /// Addresses of the sidecars to which this one sends its load reports.
  const std::vector<std::string>& neighbors() const { return neighbors_.addresses; }

 private:
  bool ApplyConfiguration(const WatchReply& reply);
  std::optional<configuration::ReadResult> ParseConfiguration(const WatchReply& reply) const;
  bool ApplyInstances(const WatchReply& reply);
  void ReplaceInstances(const WatchReply& reply);
  void MergeInstance(const Instance& instance);

  const std::string node_;
  const std::string load_report_address_;
  std::string control_incarnation_;  // incarnation of the control process that sent the last full list
  VersionVector version_vector_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const proto::Configuration>
      configuration_message_;     // source of `configuration_`, to which patches are applied
  bool accepts_patches_ = false;  // the last configuration received was applied
  std::map<std::string, Instance> instances_;
  std::vector<ControlNode> control_nodes_;
  Neighbors neighbors_;
  int sidecar_index_ = 0;
  int sidecar_count_ = 1;
  DirectoryPtr base_directory_ =
      std::make_shared<const Directory>();  // of the current configuration, without servers
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_SYSTEM_VIEW_HPP_
