// The exchange, a call between two control processes: messages of the shards' replicas, forwarded proposals
// and anti-entropy of the instance table by version vectors. Bodies are protocol buffers (internal.proto). A
// message carries all of its fields: a reader that took a version vector without the changes would miss these
// for good.
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

/// Path on the internal address of a control process.
inline constexpr const char* kExchangePath = "/internal/exchange";

/// A message between two replicas of a shard.
struct ShardMessage {
  int shard = 0;
  consensus::Message message;
};

/// A command that is forwarded to the leader of a shard.
struct ShardProposal {
  int shard = 0;
  std::string command;
};

/// The last watch of a sidecar at one control process.
struct SidecarLastSeen {
  std::string id;           ///< name of the sidecar
  std::string address;      ///< where it receives load reports of other sidecars; empty for none
  std::int64_t age_ms = 0;  ///< time since the watch
};

/// What one control process sends another one.
struct ExchangeRequest {
  ControlNode sender;
  std::string incarnation;  ///< of the sender
  /// The incarnation of the receiver whose version vector `changed_instances` is relative to. Another
  /// incarnation ignores the changes. Empty from earlier versions, and until the receiver has named itself.
  std::string receiver_incarnation;
  std::string disk;                 ///< id of the sender's replicas
  std::vector<int> shards_to_join;  ///< shards in which that disk has no vote
  VersionVector version_vector;     ///< of the sender's instance table
  /// What the receiver lacks, by the version vector that it sent last.
  std::vector<Instance> changed_instances;
  std::vector<ShardMessage> messages;
  std::vector<ShardProposal> proposals;
  std::vector<ModelDemand> demand;  ///< for the leader that places models
  /// Asks for the last-seen lists and the control nodes in the reply; without it they are empty. Most
  /// exchanges carry a heartbeat of a shard, which is due much more often than these lists.
  bool wants_last_seen = true;
  std::vector<UsageReport> usage;  ///< that sidecars have sent to the sender
  bool wants_usage = false;        ///< asks for all usage that the receiver knows
};

/// The reply to an exchange.
struct ExchangeReply {
  std::string incarnation;                  ///< of the replying process
  std::vector<Instance> changed_instances;  ///< what the request's version vector lacks
  VersionVector version_vector;             ///< of the replying process's instance table
  std::vector<LastSeen> last_seen_instances;
  std::vector<SidecarLastSeen> last_seen_sidecars;
  std::vector<ControlNode> control_nodes;
  /// The time of day by the replying machine's clock, in microseconds since the start of 1970; empty from
  /// earlier versions.
  std::optional<std::int64_t> time_of_day;
  std::vector<UsageReport> usage;
};

/// Messages as bodies of internal calls (protocol buffers, internal.proto).
std::string Encode(const ExchangeRequest& request);
std::string Encode(const ExchangeReply& reply);
template <>
std::optional<ExchangeRequest> Decode(const std::string& bytes);
template <>
std::optional<ExchangeReply> Decode(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_GOSSIP_EXCHANGE_MESSAGE_HPP_
