// Conversions between the message types of this folder and their generated protocol buffer types
// (internal.proto), shared by the encoders of several messages.
#ifndef VIOLETWING_MESSAGES_WIRE_CONVERSION_HPP_
#define VIOLETWING_MESSAGES_WIRE_CONVERSION_HPP_

#include <vector>

#include "messages/control_node.hpp"
#include "messages/instances.hpp"
#include "messages/usage.hpp"

namespace violetwing::wire {
class ControlNode;
class ControlNodes;
class Demand;
class Instances;
class UsageReport;
class VersionVector;
}  // namespace violetwing::wire

namespace violetwing {

/// Each converts its first argument into `out`; lists are appended. A phase without a value on the wire is
/// encoded as the ready phase.
void ToWire(const std::vector<Instance>& instances, wire::Instances& out);
void ToWire(const VersionVector& version_vector, wire::VersionVector& out);
void ToWire(const std::vector<ModelDemand>& demand, wire::Demand& out);
void ToWire(const ControlNode& node, wire::ControlNode& out);
void ToWire(const std::vector<ControlNode>& nodes, wire::ControlNodes& out);
void ToWire(const UsageReport& report, wire::UsageReport& out);

/// The inverse of ToWire. All required fields must be present, which Parse has checked.
std::vector<Instance> FromWire(const wire::Instances& in);
VersionVector FromWire(const wire::VersionVector& in);
/// Skips models whose names are not UTF-8: clients choose these names, and orders to load a model are JSON,
/// which cannot represent them.
std::vector<ModelDemand> FromWire(const wire::Demand& in);
ControlNode FromWire(const wire::ControlNode& in);
std::vector<ControlNode> FromWire(const wire::ControlNodes& in);
UsageReport FromWire(const wire::UsageReport& in);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_WIRE_CONVERSION_HPP_
