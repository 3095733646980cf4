// Internal calls: between control processes (exchange), and from a sidecar to one of them (pull, demand).
// Their bodies are protocol buffers (internal.proto). Exchanges and answers to pulls hold all of their
// fields: one that lacks its changes, but not what is known with them, would have its reader miss these for
// good.
#ifndef VIOLETWING_MESSAGES_PEER_HPP_
#define VIOLETWING_MESSAGES_PEER_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/consensus/types.hpp"
#include "messages/instances.hpp"

namespace violetwing {

// Paths on the internal address.
inline constexpr const char* kExchangePath = "/internal/exchange";
inline constexpr const char* kWatchPath = "/internal/pull";
inline constexpr const char* kDemandPath = "/internal/demand";

// A control process: its names for the others.
struct ControlNode {
  std::string node;
  std::string zone;
  std::string address;      // for internal calls
  std::string api_address;  // for servers and the operator
  bool leaving = false;     // about to end, by its own word alone
  bool operator==(const ControlNode&) const = default;
};

struct ShardMessage {
  int shard = 0;
  consensus::Message message;
};

// A command on its way to the leader of a shard.
struct ShardProposal {
  int shard = 0;
  std::string command;
};

// A heartbeat of a server that one control process took and tells the others of.
struct LastSeen {
  std::string id;
  std::int64_t sequence = 0;
  std::int64_t age_ms = 0;
};

// Likewise a pull of a sidecar.
struct SidecarLastSeen {
  std::string id;       // its name
  std::string address;  // where it takes the reports of other sidecars; empty if nowhere
  std::int64_t age_ms = 0;
};

struct ExchangeRequest {
  ControlNode from;
  std::string source;       // one incarnation of the sender
  std::string changed_for;  // the incarnation of the receiver by whose knowledge `changed` goes
  std::string disk;         // id of the sender's replicas
  std::vector<int> joins;   // shards in which that disk has no vote
  VersionVector known;
  std::vector<Instance> changed;  // what the other one misses, by what it last said that it knows
  std::vector<ShardMessage> messages;
  std::vector<ShardProposal> proposals;
  std::vector<ModelDemand> demand;
  // The answer is to tell of servers, sidecars and control processes that were heard; else these lists are
  // empty. Most exchanges carry a heartbeat of a shard, and come much more often than there is such news.
  bool wants_heard = true;
};

struct ExchangeReply {
  std::string source;  // one incarnation of the answering process
  std::vector<Instance> changed;
  VersionVector known;
  std::vector<LastSeen> heard;  // servers
  std::vector<SidecarLastSeen> edges;
  std::vector<ControlNode> controls;
};

struct WatchRequest {
  std::string node;
  std::string source;  // the incarnation of a control process whose whole list is held
  std::int64_t configuration = 0;
  VersionVector known;
  int wait_ms = 0;
  std::vector<ModelDemand> demand;
  std::string address;               // where it takes reports of other sidecars; empty if nowhere
  std::uint64_t neighbors_hash = 0;  // of the neighbors that it knows
  bool takes_patches = false;        // in place of the whole configuration; earlier versions do not
};

// Sidecars whose windows lie closest to the caller's: they send to the same servers.
struct Neighbors {
  std::uint64_t hash = 0;
  std::vector<std::string> addresses;
};

struct WatchReply {
  std::string source;
  bool whole = false;  // `changed` has all servers, whatever the caller has heard of them before
  std::int64_t configuration = 0;
  std::string document;              // the configuration, if the caller's is older and `patches` is empty
  std::vector<std::string> patches;  // from the caller's version to this one, in their order
  std::vector<Instance> changed;
  VersionVector known;
  std::vector<ControlNode> controls;
  int number = 0;  // of the caller among the sidecars
  int sidecars = 1;
  Neighbors neighbors;  // without addresses if the caller's hash is the same
};

std::string Encode(const ExchangeRequest& request);
std::string Encode(const ExchangeReply& reply);
std::string Encode(const WatchRequest& request);
std::string Encode(const WatchReply& reply);
std::string Encode(const std::vector<ModelDemand>& demand);
// Empty where the bytes are no such message, or lack a field.
template <class Call>
std::optional<Call> Decode(const std::string& bytes);
template <>
std::optional<ExchangeRequest> Decode(const std::string& bytes);
template <>
std::optional<ExchangeReply> Decode(const std::string& bytes);
template <>
std::optional<WatchRequest> Decode(const std::string& bytes);
template <>
std::optional<WatchReply> Decode(const std::string& bytes);
template <>
std::optional<std::vector<ModelDemand>> Decode(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_PEER_HPP_
