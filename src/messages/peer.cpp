#include "messages/peer.hpp"

#include "control/consensus/encoding.hpp"
#include "generated/internal.pb.h"
#include "messages/load.hpp"
#include "messages/parse.hpp"

namespace violetwing {
namespace {

wire::Phase ToWire(Phase phase) {
  switch (phase) {
    case Phase::kReady:
      return wire::READY;
    case Phase::kLost:
      return wire::LOST;
    case Phase::kDraining:
      return wire::DRAINING;
    case Phase::kDeregistered:
      return wire::GONE;
  }
  return wire::READY;
}

Phase FromWire(wire::Phase phase) {
  switch (phase) {
    case wire::READY:
      return Phase::kReady;
    case wire::LOST:
      return Phase::kLost;
    case wire::DRAINING:
      return Phase::kDraining;
    case wire::GONE:
      return Phase::kDeregistered;
  }
  return Phase::kReady;
}

void ToWire(const Instance& instance, wire::Instance& out) {
  out.set_id(instance.id);
  out.set_backend(instance.backend);
  out.set_address(instance.address);
  out.set_zone(instance.zone);
  out.set_capacity(instance.capacity);
  out.set_phase(ToWire(instance.phase));
  for (const HeldModel& held : instance.models) {
    wire::HeldModel& model = *out.add_models();
    model.set_name(held.name);
    model.set_version(held.version);
    for (const std::string& adapter : held.adapters) model.add_adapters(adapter);
  }
  out.set_sequence(instance.sequence);
  out.set_origin(instance.origin);
  out.set_counter(instance.counter);
}

Instance FromWire(const wire::Instance& in) {
  Instance instance;
  instance.id = in.id();
  instance.backend = in.backend();
  instance.address = in.address();
  instance.zone = in.zone();
  instance.capacity = in.capacity();
  instance.phase = FromWire(in.phase());
  for (const wire::HeldModel& model : in.models())
    instance.models.push_back(
        {model.name(), model.version(), {model.adapters().begin(), model.adapters().end()}});
  instance.sequence = in.sequence();
  instance.origin = in.origin();
  instance.counter = in.counter();
  return instance;
}

void ToWire(const std::vector<Instance>& instances, wire::Instances& out) {
  for (const Instance& instance : instances) ToWire(instance, *out.add_instances());
}

std::vector<Instance> FromWire(const wire::Instances& in) {
  std::vector<Instance> out;
  out.reserve(static_cast<std::size_t>(in.instances_size()));
  for (const wire::Instance& instance : in.instances()) out.push_back(FromWire(instance));
  return out;
}

void ToWire(const VersionVector& known, wire::VersionVector& out) {
  for (const auto& [origin, counter] : known) {
    wire::VersionVector::Version& version = *out.add_versions();
    version.set_origin(origin);
    version.set_counter(counter);
  }
}

VersionVector FromWire(const wire::VersionVector& in) {
  VersionVector out;
  for (const auto& version : in.versions()) out[version.origin()] = version.counter();
  return out;
}

void ToWire(const std::vector<ModelDemand>& demand, wire::Demand& out) {
  for (const ModelDemand& one : demand) {
    wire::ModelDemand& model = *out.add_models();
    model.set_backend(one.backend);
    model.set_model(one.model);
    model.set_requests(one.requests);
    model.set_tokens(one.tokens);
    model.set_waiting(one.waiting);
  }
}

std::vector<ModelDemand> FromWire(const wire::Demand& in) {
  std::vector<ModelDemand> out;
  out.reserve(static_cast<std::size_t>(in.models_size()));
  for (const wire::ModelDemand& one : in.models())
    out.push_back({one.backend(), one.model(), one.requests(), one.tokens(), one.waiting()});
  return out;
}

void ToWire(const ControlNode& node, wire::ControlNode& out) {
  out.set_node(node.node);
  out.set_zone(node.zone);
  out.set_address(node.address);
  out.set_api_address(node.api_address);
  out.set_leaving(node.leaving);
}

ControlNode FromWire(const wire::ControlNode& in) {
  return {in.node(), in.zone(), in.address(), in.api_address(), in.leaving()};
}

void ToWire(const std::vector<ControlNode>& nodes, wire::ControlNodes& out) {
  for (const ControlNode& node : nodes) ToWire(node, *out.add_nodes());
}

std::vector<ControlNode> FromWire(const wire::ControlNodes& in) {
  std::vector<ControlNode> out;
  out.reserve(static_cast<std::size_t>(in.nodes_size()));
  for (const wire::ControlNode& node : in.nodes()) out.push_back(FromWire(node));
  return out;
}

bool ReadMessages(const wire::ShardMessages& in, std::vector<ShardMessage>& out) {
  out.resize(static_cast<std::size_t>(in.messages_size()));
  for (std::size_t i = 0; i < out.size(); ++i) {
    const wire::ShardMessage& one = in.messages(static_cast<int>(i));
    out[i].shard = one.shard();
    if (!consensus::FromWire(one.message(), out[i].message)) return false;
  }
  return true;
}

}  // namespace

// ---- Exchanges ----

std::string Encode(const ExchangeRequest& request) {
  wire::ExchangeRequest out;
  ToWire(request.from, *out.mutable_from());
  out.set_source(request.source);
  out.set_changed_for(request.changed_for);
  out.set_disk(request.disk);
  out.mutable_joins();
  for (const int shard : request.joins) out.mutable_joins()->add_shards(shard);
  ToWire(request.known, *out.mutable_known());
  ToWire(request.changed, *out.mutable_changed());
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
  out.set_wants_heard(request.wants_heard);
  return out.SerializeAsString();
}

template <>
std::optional<ExchangeRequest> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::ExchangeRequest>(bytes);
  if (!in) return std::nullopt;
  ExchangeRequest request;
  request.from = FromWire(in->from());
  request.source = in->source();
  request.changed_for = in->changed_for();
  request.disk = in->disk();
  request.joins.assign(in->joins().shards().begin(), in->joins().shards().end());
  request.known = FromWire(in->known());
  request.changed = FromWire(in->changed());
  if (!ReadMessages(in->messages(), request.messages)) return std::nullopt;
  for (const wire::ShardProposal& one : in->proposals().proposals())
    request.proposals.push_back({one.shard(), one.command()});
  request.demand = FromWire(in->demand());
  request.wants_heard = in->wants_heard();
  return request;
}

std::string Encode(const ExchangeReply& reply) {
  wire::ExchangeReply out;
  out.set_source(reply.source);
  ToWire(reply.changed, *out.mutable_changed());
  ToWire(reply.known, *out.mutable_known());
  out.mutable_heard();
  for (const LastSeen& heard : reply.heard) {
    wire::HeardServer& one = *out.mutable_heard()->add_servers();
    one.set_id(heard.id);
    one.set_sequence(heard.sequence);
    one.set_age_ms(heard.age_ms);
  }
  out.mutable_edges();
  for (const SidecarLastSeen& heard : reply.edges) {
    wire::HeardSidecar& one = *out.mutable_edges()->add_sidecars();
    one.set_id(heard.id);
    one.set_address(heard.address);
    one.set_age_ms(heard.age_ms);
  }
  ToWire(reply.controls, *out.mutable_controls());
  return out.SerializeAsString();
}

template <>
std::optional<ExchangeReply> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::ExchangeReply>(bytes);
  if (!in) return std::nullopt;
  ExchangeReply reply;
  reply.source = in->source();
  reply.changed = FromWire(in->changed());
  reply.known = FromWire(in->known());
  for (const wire::HeardServer& one : in->heard().servers())
    reply.heard.push_back({one.id(), one.sequence(), one.age_ms()});
  for (const wire::HeardSidecar& one : in->edges().sidecars())
    reply.edges.push_back({one.id(), one.address(), one.age_ms()});
  reply.controls = FromWire(in->controls());
  return reply;
}

// ---- Pulls ----

std::string Encode(const WatchRequest& request) {
  wire::PullRequest out;
  out.set_node(request.node);
  out.set_source(request.source);
  out.set_configuration(request.configuration);
  ToWire(request.known, *out.mutable_known());
  out.set_wait_ms(request.wait_ms);
  ToWire(request.demand, *out.mutable_demand());
  out.set_address(request.address);
  out.set_neighbors_hash(request.neighbors_hash);
  out.set_takes_patches(request.takes_patches);
  return out.SerializeAsString();
}

template <>
std::optional<WatchRequest> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::PullRequest>(bytes);
  if (!in) return std::nullopt;
  WatchRequest request;
  request.node = in->node();
  request.source = in->source();
  request.configuration = in->configuration();
  request.known = FromWire(in->known());
  request.wait_ms = in->wait_ms();
  request.demand = FromWire(in->demand());
  request.address = in->address();
  request.neighbors_hash = in->neighbors_hash();
  request.takes_patches = in->takes_patches();
  return request;
}

std::string Encode(const WatchReply& reply) {
  wire::PullReply out;
  out.set_source(reply.source);
  out.set_whole(reply.whole);
  out.set_configuration(reply.configuration);
  out.set_document(reply.document);
  out.mutable_patches();
  for (const std::string& patch : reply.patches) out.mutable_patches()->add_patches(patch);
  ToWire(reply.changed, *out.mutable_changed());
  ToWire(reply.known, *out.mutable_known());
  ToWire(reply.controls, *out.mutable_controls());
  out.set_number(reply.number);
  out.set_sidecars(reply.sidecars);
  out.mutable_neighbors()->set_hash(reply.neighbors.hash);
  for (const std::string& address : reply.neighbors.addresses)
    out.mutable_neighbors()->add_addresses(address);
  return out.SerializeAsString();
}

template <>
std::optional<WatchReply> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::PullReply>(bytes);
  if (!in) return std::nullopt;
  WatchReply reply;
  reply.source = in->source();
  reply.whole = in->whole();
  reply.configuration = in->configuration();
  reply.document = in->document();
  reply.patches.assign(in->patches().patches().begin(), in->patches().patches().end());
  reply.changed = FromWire(in->changed());
  reply.known = FromWire(in->known());
  reply.controls = FromWire(in->controls());
  reply.number = in->number();
  reply.sidecars = in->sidecars();
  reply.neighbors.hash = in->neighbors().hash();
  reply.neighbors.addresses.assign(in->neighbors().addresses().begin(), in->neighbors().addresses().end());
  return reply;
}

std::string Encode(const std::vector<ModelDemand>& demand) {
  wire::Demand out;
  ToWire(demand, out);
  return out.SerializeAsString();
}

template <>
std::optional<std::vector<ModelDemand>> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::Demand>(bytes);
  if (!in) return std::nullopt;
  return FromWire(*in);
}

// ---- Reports of load ----

std::string Encode(const LoadReport& report) {
  wire::LoadReport out;
  out.set_node(report.node);
  for (const SentPrompt& prompt : report.prompts) {
    wire::SentPrompt& one = *out.add_prompts();
    one.set_server(prompt.server);
    one.set_weights(prompt.weights);
    one.set_parts(prompt.parts);
    one.set_read_ms(prompt.read_ms);
  }
  return out.SerializeAsString();
}

std::optional<LoadReport> DecodeLoadReport(std::string_view bytes) {
  const auto in = wire::Parse<wire::LoadReport>(bytes);
  if (!in) return std::nullopt;
  LoadReport report;
  report.node = in->node();
  for (const wire::SentPrompt& one : in->prompts())
    report.prompts.push_back({one.server(), one.weights(), one.parts(), one.read_ms()});
  return report;
}

}  // namespace violetwing
