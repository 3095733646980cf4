// The exchange is a call between two control processes. It carries messages of the shards' replicas,
// forwarded proposals, and anti-entropy of the instance table by version vectors. Bodies are protocol buffers
// (internal.proto). A message must carry all of its fields: a receiver that merged a version vector without
// the corresponding changes would never receive these changes.
#ifndef VIOLETWING_CONTROL_GOSSIP_EXCHANGE_MESSAGE_HPP_
#define VIOLETWING_CONTROL_GOSSIP_EXCHANGE_MESSAGE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/consensus/types.hpp"
#include "messages/control_node.hpp"
#include "messages/decode.hpp"
#include "messages/instances.hpp"
#include "messages/usage.hpp"

namespace violetwing {

/// HTTP path on the internal address of a control process.
inline constexpr const char* kExchangePath = "/internal/exchange";

/// A message between two replicas of a shard.
struct ShardMessage {
  int shard = 0;
  consensus::Message message;
};

/// A command forwarded to the leader of a shard.
struct ShardProposal {
  int shard = 0;
  std::string command;
};

/// The last watch call of a sidecar that one control process received.
struct SidecarLastSeen {
  std::string id;           ///< sidecar name
  std::string address;      ///< where it receives load reports from other sidecars; may be empty
  std::int64_t age_ms = 0;  ///< time since the watch
};

/// The request of one control process to another.
struct ExchangeRequest {
  ControlNode sender;
  std::string incarnation;  ///< of the sender
  /// The incarnation of the receiver whose version vector `changed_instances` is based on. Any other
  /// incarnation ignores the changes. Empty if the sender runs an earlier version or does not know the
  /// receiver's incarnation.
  std::string receiver_incarnation;
  std::string disk;                 ///< id of the disk that stores the sender's replicas
  std::vector<int> shards_to_join;  ///< shards in which that disk is not a voter
  VersionVector version_vector;     ///< of the sender's instance table
  /// Changes that are missing in the version vector that the receiver sent last.
  std::vector<Instance> changed_instances;
  std::vector<ShardMessage> messages;
  std::vector<ShardProposal> proposals;
  std::vector<ModelDemand> demand;  ///< for the leader of the model placement
  /// Requests the last-seen lists and the control nodes; the reply omits them otherwise. Most exchanges carry
  /// a shard heartbeat, which is due much more often than these lists.
  bool wants_last_seen = true;
  std::vector<UsageReport> usage;  ///< usage that sidecars have reported to the sender
  bool wants_usage = false;        ///< requests all usage known to the receiver
};

/// The reply to an exchange.
struct ExchangeReply {
  std::string incarnation;                  ///< of the replying process
  std::vector<Instance> changed_instances;  ///< changes missing in the request's version vector
  VersionVector version_vector;             ///< of the instance table of the replying process
  std::vector<LastSeen> last_seen_instances;
  std::vector<SidecarLastSeen> last_seen_sidecars;
  std::vector<ControlNode> control_nodes;
  /// Clock of the replying machine, in microseconds since the Unix epoch; empty if it runs an earlier
  /// version.
  std::optional<std::int64_t> time_of_day;
  std::vector<UsageReport> usage;
};

/// Encode and decode the bodies of internal calls (protocol buffers, internal.proto).
std::string Encode(const ExchangeRequest& request);
std::string Encode(const ExchangeReply& reply);
template <>
std::optional<ExchangeRequest> Decode(const std::string& bytes);
template <>
std::optional<ExchangeReply> Decode(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_EXCHANGE_MESSAGE_HPP_
