#include "messages/watch.hpp"

#include "generated/internal.pb.h"
#include "messages/parse.hpp"
#include "messages/wire_conversion.hpp"

namespace violetwing {

std::string Encode(const WatchRequest& request) {
  wire::PullRequest out;
  out.set_node(request.node);
  out.set_source(request.incarnation);
  out.set_configuration(request.configuration_version);
  ToWire(request.version_vector, *out.mutable_known());
  out.set_wait_ms(request.wait_ms);
  ToWire(request.demand, *out.mutable_demand());
  out.set_address(request.load_report_address);
  out.set_neighbors_hash(request.neighbors_hash);
  out.set_takes_patches(request.accepts_patches);
  if (!request.usage.reporter.empty()) ToWire(request.usage, *out.mutable_usage());
  return out.SerializeAsString();
}

template <>
std::optional<WatchRequest> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::PullRequest>(bytes);
  if (!in) return std::nullopt;
  WatchRequest request;
  request.node = in->node();
  request.incarnation = in->source();
  request.configuration_version = in->configuration();
  request.version_vector = FromWire(in->known());
  request.wait_ms = in->wait_ms();
  request.demand = FromWire(in->demand());
  request.load_report_address = in->address();
  request.neighbors_hash = in->neighbors_hash();
  request.accepts_patches = in->takes_patches();
  if (in->has_usage()) request.usage = FromWire(in->usage());
  return request;
}

std::string Encode(const WatchReply& reply) {
  wire::PullReply out;
  out.set_source(reply.incarnation);
  out.set_whole(reply.complete);
  out.set_configuration(reply.configuration_version);
  out.set_document(reply.configuration_document);
  out.mutable_patches();
  for (const std::string& patch : reply.configuration_patches) out.mutable_patches()->add_patches(patch);
  ToWire(reply.changed_instances, *out.mutable_changed());
  ToWire(reply.version_vector, *out.mutable_known());
  ToWire(reply.control_nodes, *out.mutable_controls());
  out.set_number(reply.window_position);
  out.set_sidecars(reply.sidecar_count);
  out.mutable_neighbors()->set_hash(reply.neighbors.hash);
  for (const std::string& address : reply.neighbors.addresses)
    out.mutable_neighbors()->add_addresses(address);
  if (reply.true_time) out.set_true_time(*reply.true_time);
  return out.SerializeAsString();
}

template <>
std::optional<WatchReply> Decode(const std::string& bytes) {
  const auto in = wire::Parse<wire::PullReply>(bytes);
  if (!in) return std::nullopt;
  WatchReply reply;
  reply.incarnation = in->source();
  reply.complete = in->whole();
  reply.configuration_version = in->configuration();
  reply.configuration_document = in->document();
  reply.configuration_patches.assign(in->patches().patches().begin(), in->patches().patches().end());
  reply.changed_instances = FromWire(in->changed());
  reply.version_vector = FromWire(in->known());
  reply.control_nodes = FromWire(in->controls());
  reply.window_position = in->number();
  reply.sidecar_count = in->sidecars();
  reply.neighbors.hash = in->neighbors().hash();
  reply.neighbors.addresses.assign(in->neighbors().addresses().begin(), in->neighbors().addresses().end());
  if (in->has_true_time()) reply.true_time = in->true_time();
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

}  // namespace violetwing
