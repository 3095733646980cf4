// Calls of a sidecar to a control process: the watch, which is a long poll for changes, and demand reports.
// Bodies are protocol buffers (internal.proto, where the watch is named pull). A reply must carry all of its
// fields: a receiver that merged the version vector without the corresponding changes would never receive
// these changes.
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

/// HTTP paths on the internal address of a control process.
inline constexpr const char* kWatchPath = "/internal/pull";
inline constexpr const char* kDemandPath = "/internal/demand";

/// A sidecar's request for all changes since the versions that it knows.
struct WatchRequest {
  std::string node;  ///< sidecar name
  /// Incarnation of the control process from which the sidecar has the complete instance list; empty for
  /// none.
  std::string incarnation;
  std::int64_t configuration_version = 0;  ///< version known to the sidecar; 0 for none
  VersionVector version_vector;            ///< of the sidecar's instance list
  int wait_ms = 0;                         ///< maximum time that the reply may wait for a change
  std::vector<ModelDemand> demand;         ///< since the last report
  std::string load_report_address;   ///< where it receives load reports from other sidecars; may be empty
  std::uint64_t neighbors_hash = 0;  ///< of the neighbors known to the sidecar
  /// Whether the sidecar can apply patches instead of a complete configuration. Earlier versions cannot.
  bool accepts_patches = false;
  /// Counts that have increased since the last report; `reporter` is empty if there are none.
  UsageReport usage;
};

/// The sidecars whose windows of servers are adjacent to the caller's, so that they send to some of the same
/// servers.
struct Neighbors {
  std::uint64_t hash = 0;  ///< of the addresses; 0 if there are none
  std::vector<std::string> addresses;
};

/// The changes since the versions in a `WatchRequest`.
struct WatchReply {
  /// Incarnation of the control process from which the sidecar has the complete instance list after this
  /// reply.
  std::string incarnation;
  bool complete = false;  ///< whether `changed_instances` holds all instances and replaces the sidecar's list
  std::int64_t configuration_version = 0;
  /// The configuration document, if the caller's version is older and there are no patches from it.
  std::string configuration_document;
  /// Patches from the caller's version to `configuration_version`, in the order in which they apply.
  std::vector<std::string> configuration_patches;
  std::vector<Instance> changed_instances;
  VersionVector version_vector;
  std::vector<ControlNode> control_nodes;
  int window_position = 0;  ///< position of the caller's window among the sidecars, from 0
  int sidecar_count = 1;
  Neighbors neighbors;  ///< without addresses if the caller's hash is up to date
  /// The median of the clocks of several machines, in microseconds since the Unix epoch. Empty if it is
  /// unknown or the control process runs an earlier version.
  std::optional<std::int64_t> true_time;
};

/// Encode and decode the bodies of internal calls (protocol buffers, internal.proto).
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
