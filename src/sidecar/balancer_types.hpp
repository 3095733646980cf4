// Brings the balancer's types that the sidecar uses into its namespace.
#ifndef VIOLETWING_SIDECAR_BALANCER_TYPES_HPP_
#define VIOLETWING_SIDECAR_BALANCER_TYPES_HPP_

#include <violetwing_balancer/balancer.hpp>

namespace violetwing::sidecar {

using balancer::ActionSink;
using balancer::Balancer;
using balancer::ListUpdate;
using balancer::Membership;
using balancer::Micros;
using balancer::Outcome;
using balancer::RequestClass;
using balancer::Result;
using balancer::RetrySafety;
using balancer::ServerInfo;
using balancer::Settings;
using balancer::Tenant;
using balancer::ZoneOrder;

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_BALANCER_TYPES_HPP_
