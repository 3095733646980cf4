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
    const wire::ShardMessage& encoded = in.messages(static_cast<int>(i));
    out[i].shard = encoded.shard();
    if (!consensus::FromWire(encoded.message(), out[i].message)) return false;
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
    wire::ShardMessage& encoded = *out.mutable_messages()->add_messages();
    encoded.set_shard(message.shard);
    consensus::ToWire(message.message, *encoded.mutable_message());
  }
  out.mutable_proposals();
  for (const ShardProposal& proposal : request.proposals) {
    wire::ShardProposal& encoded = *out.mutable_proposals()->add_proposals();
    encoded.set_shard(proposal.shard);
    encoded.set_command(proposal.command);
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
  for (const wire::ShardProposal& encoded : in->proposals().proposals())
    request.proposals.push_back({encoded.shard(), encoded.command()});
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
    wire::HeardServer& encoded = *out.mutable_heard()->add_servers();
    encoded.set_id(seen.id);
    encoded.set_sequence(seen.sequence);
    encoded.set_age_ms(seen.age_ms);
  }
  out.mutable_edges();
  for (const SidecarLastSeen& seen : reply.last_seen_sidecars) {
    wire::HeardSidecar& encoded = *out.mutable_edges()->add_sidecars();
    encoded.set_id(seen.id);
    encoded.set_address(seen.address);
    encoded.set_age_ms(seen.age_ms);
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
  for (const wire::HeardServer& encoded : in->heard().servers())
    reply.last_seen_instances.push_back({encoded.id(), encoded.sequence(), encoded.age_ms()});
  for (const wire::HeardSidecar& encoded : in->edges().sidecars())
    reply.last_seen_sidecars.push_back({encoded.id(), encoded.address(), encoded.age_ms()});
  reply.control_nodes = FromWire(in->controls());
  if (in->has_time_of_day()) reply.time_of_day = in->time_of_day();
  for (const wire::UsageReport& report : in->usage()) reply.usage.push_back(FromWire(report));
  return reply;
}

}  // namespace violetwing
