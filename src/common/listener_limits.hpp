// How the memory and the descriptors of a process are shared out among its listeners (docs/overload.md).
#ifndef VIOLETWING_COMMON_LISTENER_LIMITS_HPP_
#define VIOLETWING_COMMON_LISTENER_LIMITS_HPP_

#include <cstddef>

#include "common/connection_budget.hpp"
#include "common/node_settings.hpp"

namespace violetwing {

/// SO_RCVBUF and SO_SNDBUF of connections. A fixed size bounds what the kernel holds for a connection that
/// one of its ends does not read.
inline constexpr int kReceiveBufferBytes = 32 * 1024;
inline constexpr int kSendBufferBytes = 64 * 1024;
/// The most bytes that wait unread in a socket with a receive buffer of that size.
inline constexpr std::size_t kMaxUnreadBytes = std::size_t{48} * 1024;
/// What a connection holds while no request is read or served: its objects and small buffers.
inline constexpr std::size_t kIdleConnectionBytes = std::size_t{4} * 1024;
/// What a field of a message holds in addition to its text, in the parser and in the copy that is passed on.
inline constexpr std::size_t kFieldOverheadBytes = 256;

/// Limits of an edge.
struct EdgeLimits {
  ConnectionBudget::Limits ingress;
  ConnectionBudget::Limits readiness;
  std::size_t max_idle_upstream_connections = 0;
};
/// The limits that follow from the settings of an edge.
EdgeLimits EdgeLimitsOf(const NodeSettings& settings);

/// Limits of a control process.
struct ControlLimits {
  ConnectionBudget::Limits public_api;
  ConnectionBudget::Limits internal_api;
  std::size_t max_document_bytes = 0;  ///< of a configuration, or of a patch to it
};
/// The limits that follow from the settings of a control process.
ControlLimits ControlLimitsOf(const NodeSettings& settings);

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_LISTENER_LIMITS_HPP_
