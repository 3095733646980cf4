#include "control/gossip/exchange_message.hpp"

#include "control/consensus/encoding.hpp"
#include "generated/internal.pb.h"
#include "messages/parse.hpp"
#include "messages/wire_conversion.hpp"

namespace violetwing {
namespace {

bool DecodeShardMessages(const wire::ShardMessages& in, std::vector<ShardMessage>& out) {
  out.resize(static_cast<std::size_t>(in.messages_size()));
  for (std::size_t i = 0; i < out.size(); ++i) {
    const wire::ShardMessage& one = in.messages(static_cast<int>(i));
    out[i].shard = one.shard();
    if (!consensus::FromWire(one.message(), out[i].message)) return false;
  }
  return true;
}

}  // namespace

std::string Encode(const ExchangeRequest& request) {
  wire::ExchangeRequest out;
  ToWire(request.sender, *out.mutable_from());
  out.set_source(request.incarnation);
  out.set_changed_for(request.receiver_incarnation);
  out.set_disk(request.disk);
  out.mutable_joins();
  for (const int shard : request.shards_to_join) out.mutable_joins()->add_shards(shard);
  ToWire(request.version_vector, *out.mutable_known());
  ToWire(request.changed_instances, *out.mutable_changed());
  out.mutable_messages();
  for (const ShardMessage& message : request.messages) {
    wire::ShardMessage& one = *out.mutable_messages()->add_messages();
    one.set_shard(message.shard);
    consensus::ToWire(message.message, *one.mutable_message());
  }
  out.mutable_proposals();
  for (const ShardProposal& proposal : request.proposals) {
    wire::ShardProposal& one = *out.mutable_proposals()->add_proposals();
    one.set_shard(proposal.shard);
    one.set_command(proposal.command);
  }
  ToWire(request.demand, *out.mutable_demand());
  out.set_wants_heard(request.wants_last_seen);
  for (const UsageReport& report : request.usage) ToWire(report, *out.add_usage());
  out.set_wants_usage(request.wants_usage);
  return out.SerializeAsString();
}

template <>
std::optional<ExchangeRequest> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::ExchangeRequest>(bytes);
  if (!in) return std::nullopt;
  ExchangeRequest request;
  request.sender = FromWire(in->from());
  request.incarnation = in->source();
  request.receiver_incarnation = in->changed_for();
  request.disk = in->disk();
  request.shards_to_join.assign(in->joins().shards().begin(), in->joins().shards().end());
  request.version_vector = FromWire(in->known());
  request.changed_instances = FromWire(in->changed());
  if (!DecodeShardMessages(in->messages(), request.messages)) return std::nullopt;
  for (const wire::ShardProposal& one : in->proposals().proposals())
    request.proposals.push_back({one.shard(), one.command()});
  request.demand = FromWire(in->demand());
  request.wants_last_seen = in->wants_heard();
  for (const wire::UsageReport& report : in->usage()) request.usage.push_back(FromWire(report));
  request.wants_usage = in->wants_usage();
  return request;
}

std::string Encode(const ExchangeReply& reply) {
  wire::ExchangeReply out;
  out.set_source(reply.incarnation);
  ToWire(reply.changed_instances, *out.mutable_changed());
  ToWire(reply.version_vector, *out.mutable_known());
  out.mutable_heard();
  for (const LastSeen& seen : reply.last_seen_instances) {
    wire::HeardServer& one = *out.mutable_heard()->add_servers();
    one.set_id(seen.id);
    one.set_sequence(seen.sequence);
    one.set_age_ms(seen.age_ms);
  }
  out.mutable_edges();
  for (const SidecarLastSeen& seen : reply.last_seen_sidecars) {
    wire::HeardSidecar& one = *out.mutable_edges()->add_sidecars();
    one.set_id(seen.id);
    one.set_address(seen.address);
    one.set_age_ms(seen.age_ms);
  }
  ToWire(reply.control_nodes, *out.mutable_controls());
  if (reply.time_of_day) out.set_time_of_day(*reply.time_of_day);
  for (const UsageReport& report : reply.usage) ToWire(report, *out.add_usage());
  return out.SerializeAsString();
}

template <>
std::optional<ExchangeReply> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::ExchangeReply>(bytes);
  if (!in) return std::nullopt;
  ExchangeReply reply;
  reply.incarnation = in->source();
  reply.changed_instances = FromWire(in->changed());
  reply.version_vector = FromWire(in->known());
  for (const wire::HeardServer& one : in->heard().servers())
    reply.last_seen_instances.push_back({one.id(), one.sequence(), one.age_ms()});
  for (const wire::HeardSidecar& one : in->edges().sidecars())
    reply.last_seen_sidecars.push_back({one.id(), one.address(), one.age_ms()});
  reply.control_nodes = FromWire(in->controls());
  if (in->has_time_of_day()) reply.time_of_day = in->time_of_day();
  for (const wire::UsageReport& report : in->usage()) reply.usage.push_back(FromWire(report));
  return reply;
}

}  // namespace violetwing
