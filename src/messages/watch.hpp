// Calls of a sidecar to a control process: the watch, a long poll for changes, and reports of demand. Bodies
// are protocol buffers (internal.proto; on the wire a watch is called a pull). A reply carries all of its
// fields: a reader that took the version vector of a reply without its changes would miss these for good.
#ifndef VIOLETWING_MESSAGES_WATCH_HPP_
#define VIOLETWING_MESSAGES_WATCH_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "messages/control_node.hpp"
#include "messages/decode.hpp"
#include "messages/instances.hpp"
#include "messages/usage.hpp"

namespace violetwing {

/// Paths on the internal address of a control process.
inline constexpr const char* kWatchPath = "/internal/pull";
inline constexpr const char* kDemandPath = "/internal/demand";

/// A sidecar asks for all that has changed since what it knows.
struct WatchRequest {
  std::string node;  ///< name of the sidecar
  /// Incarnation of the control process whose complete instance list the sidecar has; empty for none.
  std::string incarnation;
  std::int64_t configuration_version = 0;  ///< version that the sidecar has, 0 for none
  VersionVector version_vector;            ///< of the instances that the sidecar knows
  int wait_ms = 0;                         ///< how long the reply may wait for a change
  std::vector<ModelDemand> demand;         ///< since the last report
  std::string load_report_address;   ///< where it receives load reports of other sidecars; empty for none
  std::uint64_t neighbors_hash = 0;  ///< of the neighbors that it knows
  /// It can apply patches in place of the complete configuration. Earlier versions of the sidecar can not.
  bool accepts_patches = false;
  UsageReport usage;  ///< counts that have risen since the last report; without a reporter if there are none
};

/// The sidecars whose windows of servers are next to the caller's: they send to the same servers.
struct Neighbors {
  std::uint64_t hash = 0;  ///< of the addresses; 0 without neighbors
  std::vector<std::string> addresses;
};

/// What has changed, for one sidecar.
struct WatchReply {
  std::string incarnation;  ///< of the control process whose complete list the sidecar has after this reply
  bool complete = false;    ///< `changed_instances` holds all instances and replaces what the sidecar knows
  std::int64_t configuration_version = 0;
  /// The configuration, if the caller's is older and there are no patches.
  std::string configuration_document;
  /// Patches from the caller's version to this one, in the order in which they apply.
  std::vector<std::string> configuration_patches;
  std::vector<Instance> changed_instances;
  VersionVector version_vector;
  std::vector<ControlNode> control_nodes;
  int window_position = 0;  ///< of the caller among the sidecars, from 0
  int sidecar_count = 1;
  Neighbors neighbors;  ///< without addresses if the caller's hash is the same
  /// The time of day by the clocks of several machines, in microseconds since the start of 1970; empty from
  /// earlier versions.
  std::optional<std::int64_t> true_time;
};

/// Messages as bodies of internal calls (protocol buffers, internal.proto).
std::string Encode(const WatchRequest& request);
std::string Encode(const WatchReply& reply);
std::string Encode(const std::vector<ModelDemand>& demand);
template <>
std::optional<WatchRequest> Decode(const std::string& bytes);
template <>
std::optional<WatchReply> Decode(const std::string& bytes);
template <>
std::optional<std::vector<ModelDemand>> Decode(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_WATCH_HPP_
