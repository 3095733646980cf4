// Internal calls: between control processes (exchange), and from a sidecar to one of them (pull, demand).
// Exchanges and answers to pulls name all of their fields: one that lacks its changes, but not what is known
// with them, would have its reader miss these for good.
#ifndef VIOLETWING_MESSAGES_PEER_HPP_
#define VIOLETWING_MESSAGES_PEER_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "messages/consensus.hpp"
#include "messages/instances.hpp"

namespace violetwing {

// Paths on the internal address.
inline constexpr const char* kExchangePath = "/internal/exchange";
inline constexpr const char* kPullPath = "/internal/pull";
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
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlNode, node, zone, address, api_address, leaving)

struct ShardMessage {
  int shard = 0;
  consensus::Message message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardMessage, shard, message)

// A command on its way to the leader of a shard.
struct ShardProposal {
  int shard = 0;
  std::string command;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardProposal, shard, command)

// A heartbeat of a server that one control process took and tells the others of.
struct Heard {
  std::string id;
  std::int64_t sequence = 0;
  std::int64_t age_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Heard, id, sequence, age_ms)

// Likewise a pull of a sidecar.
struct HeardSidecar {
  std::string id;       // its name
  std::string address;  // where it takes the reports of other sidecars; empty if nowhere
  std::int64_t age_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeardSidecar, id, address, age_ms)

struct ExchangeRequest {
  ControlNode from;
  std::string source;       // one life of the sender
  std::string changed_for;  // the life of the receiver by whose knowledge `changed` goes
  std::string disk;         // id of the sender's replicas
  std::vector<int> joins;   // shards in which that disk has no vote
  VersionVector known;
  std::vector<Instance> changed;  // what the other one misses, by what it last said that it knows
  std::vector<ShardMessage> messages;
  std::vector<ShardProposal> proposals;
  std::vector<ModelDemand> demand;
};

inline void to_json(nlohmann::json& out, const ExchangeRequest& request) {
  out = {{"from", request.from},       {"source", request.source},     {"changed_for", request.changed_for},
         {"disk", request.disk},       {"joins", request.joins},       {"known", request.known},
         {"changed", request.changed}, {"messages", request.messages}, {"proposals", request.proposals},
         {"demand", request.demand}};
}

inline void from_json(const nlohmann::json& in, ExchangeRequest& request) {
  in.at("from").get_to(request.from);
  // Control processes of earlier versions name no lives.
  request.source = in.value("source", std::string());
  request.changed_for = in.value("changed_for", std::string());
  in.at("disk").get_to(request.disk);
  in.at("joins").get_to(request.joins);
  in.at("known").get_to(request.known);
  in.at("changed").get_to(request.changed);
  in.at("messages").get_to(request.messages);
  in.at("proposals").get_to(request.proposals);
  in.at("demand").get_to(request.demand);
}

struct ExchangeReply {
  std::string source;  // one life of the answering process
  std::vector<Instance> changed;
  VersionVector known;
  std::vector<Heard> heard;  // servers
  std::vector<HeardSidecar> edges;
  std::vector<ControlNode> controls;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExchangeReply, source, changed, known, heard, edges, controls)

struct PullRequest {
  std::string node;
  std::string source;  // the life of a control process whose whole list is held
  std::int64_t configuration = 0;
  VersionVector known;
  int wait_ms = 0;
  std::vector<ModelDemand> demand;
  std::string address;               // where it takes reports of other sidecars; empty if nowhere
  std::uint64_t neighbors_hash = 0;  // of the neighbors that it knows
  bool takes_patches = false;        // in place of the whole configuration; earlier versions do not
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PullRequest, node, source, configuration, known, wait_ms,
                                                demand, address, neighbors_hash, takes_patches)

// Sidecars whose windows lie closest to the caller's: they send to the same servers.
struct Neighbors {
  std::uint64_t hash = 0;
  std::vector<std::string> addresses;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Neighbors, hash, addresses)

struct PullReply {
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

inline void to_json(nlohmann::json& out, const PullReply& reply) {
  out = {{"source", reply.source},     {"whole", reply.whole},        {"configuration", reply.configuration},
         {"document", reply.document}, {"patches", reply.patches},    {"changed", reply.changed},
         {"known", reply.known},       {"controls", reply.controls},  {"number", reply.number},
         {"sidecars", reply.sidecars}, {"neighbors", reply.neighbors}};
}

inline void from_json(const nlohmann::json& in, PullReply& reply) {
  in.at("source").get_to(reply.source);
  in.at("whole").get_to(reply.whole);
  in.at("configuration").get_to(reply.configuration);
  in.at("document").get_to(reply.document);
  // Control processes of earlier versions send neither patches nor neighbors.
  reply.patches = in.value("patches", std::vector<std::string>());
  in.at("changed").get_to(reply.changed);
  in.at("known").get_to(reply.known);
  in.at("controls").get_to(reply.controls);
  in.at("number").get_to(reply.number);
  in.at("sidecars").get_to(reply.sidecars);
  reply.neighbors = in.value("neighbors", Neighbors());
}

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_PEER_HPP_
