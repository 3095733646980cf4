// Imports the balancer types that the bench adapter uses into its namespace.
#ifndef VIOLETWING_BENCH_ADAPTER_BALANCER_TYPES_HPP_
#define VIOLETWING_BENCH_ADAPTER_BALANCER_TYPES_HPP_

#include <violetwing_balancer/balancer.hpp>

namespace violetwing::bench_adapter {

using balancer::ActionSink;
using balancer::Balancer;
using balancer::DedupGroup;
using balancer::ListUpdate;
using balancer::LoadReport;
using balancer::Micros;
using balancer::Outcome;
using balancer::ProbeResult;
using balancer::Request;
using balancer::RequestClass;
using balancer::Result;
using balancer::RetrySafety;
using balancer::ServerInfo;
using balancer::Settings;
using balancer::Tenant;

}  // namespace violetwing::bench_adapter

#endif  // VIOLETWING_BENCH_ADAPTER_BALANCER_TYPES_HPP_
