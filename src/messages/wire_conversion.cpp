#include "messages/wire_conversion.hpp"

#include "common/utf8.hpp"
#include "generated/internal.pb.h"

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

}  // namespace

void ToWire(const std::vector<Instance>& instances, wire::Instances& out) {
  for (const Instance& instance : instances) ToWire(instance, *out.add_instances());
}

std::vector<Instance> FromWire(const wire::Instances& in) {
  std::vector<Instance> out;
  out.reserve(static_cast<std::size_t>(in.instances_size()));
  for (const wire::Instance& instance : in.instances()) out.push_back(FromWire(instance));
  return out;
}

void ToWire(const VersionVector& version_vector, wire::VersionVector& out) {
  for (const auto& [origin, counter] : version_vector) {
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
  for (const ModelDemand& item : demand) {
    wire::ModelDemand& model = *out.add_models();
    model.set_backend(item.backend);
    model.set_model(item.model);
    model.set_requests(item.requests);
    model.set_tokens(item.tokens);
    model.set_waiting(item.waiting);
  }
}

std::vector<ModelDemand> FromWire(const wire::Demand& in) {
  std::vector<ModelDemand> out;
  out.reserve(static_cast<std::size_t>(in.models_size()));
  for (const wire::ModelDemand& item : in.models())
    if (IsUtf8(item.backend()) && IsUtf8(item.model()))
      out.push_back({item.backend(), item.model(), item.requests(), item.tokens(), item.waiting()});
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

void ToWire(const UsageReport& report, wire::UsageReport& out) {
  out.set_reporter(report.reporter);
  for (const UsageCount& item : report.counts) {
    wire::UsageCount& count = *out.add_counts();
    count.set_window(item.window);
    count.set_tenant(item.tenant);
    count.set_count(item.count);
  }
}

UsageReport FromWire(const wire::UsageReport& in) {
  UsageReport report{in.reporter(), {}};
  for (const wire::UsageCount& item : in.counts())
    report.counts.push_back({item.window(), item.tenant(), item.count()});
  return report;
}

}  // namespace violetwing
