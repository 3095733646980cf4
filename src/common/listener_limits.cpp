#include "common/listener_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace violetwing {
namespace {

constexpr std::size_t kBytesPerMb = 1'000'000;
// For files, timers and calls to other processes.
constexpr std::size_t kReservedDescriptors = 200;
// Of a process with fewer descriptors than that, a listener still gets this number.
constexpr std::size_t kMinConnections = 16;
constexpr std::size_t kReadinessConnections = 32;
constexpr std::size_t kReadinessBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t kMaxDocumentBytes = std::size_t{16} * 1024 * 1024;
// A document is held as text, as parsed values, and as a configuration, all of which grow with its size.
constexpr std::size_t kMemoryPerDocument = 64;

std::size_t MemoryBytes(const NodeSettings& settings) {
  return static_cast<std::size_t>(settings.memory_mb) * kBytesPerMb;
}

// A share of the descriptors that are not reserved.
std::size_t Connections(const NodeSettings& settings, std::size_t fifths) {
  auto descriptors = static_cast<std::size_t>(settings.max_descriptors);
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
    descriptors = std::min(descriptors, static_cast<std::size_t>(limit.rlim_cur));
  const std::size_t available =
      descriptors > kReservedDescriptors ? descriptors - kReservedDescriptors : std::size_t{0};
  return std::max(available / 5 * fifths, kMinConnections);
}

}  // namespace

EdgeLimits EdgeLimitsOf(const NodeSettings& settings) {
  EdgeLimits limits;
  // Each connection of a client may need one to a server.
  limits.ingress = {Connections(settings, 2), MemoryBytes(settings) / 8 * 5};
  limits.readiness = {kReadinessConnections, kReadinessBytes};
  limits.max_idle_upstream_connections = Connections(settings, 1);
  return limits;
}

ControlLimits ControlLimitsOf(const NodeSettings& settings) {
  ControlLimits limits;
  limits.public_api = {Connections(settings, 2), MemoryBytes(settings) / 4};
  limits.internal_api = {Connections(settings, 2), MemoryBytes(settings) / 4};
  limits.max_document_bytes = std::min(MemoryBytes(settings) / kMemoryPerDocument, kMaxDocumentBytes);
  return limits;
}

}  // namespace violetwing
