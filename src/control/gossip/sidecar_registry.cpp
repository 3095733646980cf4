#include "control/gossip/sidecar_registry.hpp"

#include <algorithm>

#include "common/random.hpp"

namespace violetwing {
namespace {

// A sidecar that has not been seen for longer is not live, and the live ones divide its share among
// themselves.
constexpr Micros kLivenessTimeout = 5'000'000;
// Maximum number of neighbors on both sides together. Each load report costs one datagram per neighbor.
constexpr std::size_t kMaxNeighbors = 24;

constexpr Micros kMicrosPerMs = 1000;

}  // namespace

bool SidecarRegistry::IsLive(const Sidecar& sidecar, Micros now) {
  return now - sidecar.last_seen_at <= kLivenessTimeout;
}

void SidecarRegistry::OnWatch(const std::string& name, const std::string& address, Micros now) {
  Sidecar& sidecar = sidecars_[name];
  sidecar.address = address;
  sidecar.last_seen_at = now;
  sidecar.last_watch_at = now;
}

void SidecarRegistry::MergeLastSeen(const SidecarLastSeen& seen, Micros now) {
  Sidecar& sidecar = sidecars_[seen.id];
  if (!seen.address.empty()) sidecar.address = seen.address;
  sidecar.last_seen_at = std::max(sidecar.last_seen_at, now - seen.age_ms * kMicrosPerMs);
}

SidecarRegistry::WindowPosition SidecarRegistry::WindowPositionOf(const std::string& name, Micros now) const {
  WindowPosition position;
  int count = 0;
  for (const auto& [other, sidecar] : sidecars_) {
    if (!IsLive(sidecar, now)) continue;
    if (other == name) position.index = count;
    ++count;
  }
  position.count = std::max(count, 1);
  return position;
}

Neighbors SidecarRegistry::NeighborsOf(const std::string& name, Micros now) const {
  std::vector<const std::string*> ring;  // addresses of live sidecars, in the order of their names
  std::size_t own_index = 0;
  for (const auto& [other, sidecar] : sidecars_) {
    if (!IsLive(sidecar, now)) continue;
    if (other == name) own_index = ring.size();
    ring.push_back(&sidecar.address);
  }
  const std::size_t others = ring.empty() ? 0 : ring.size() - 1;
  const std::size_t count = std::min(others, kMaxNeighbors);
  Neighbors neighbors;
  std::string hash_input;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t distance = i / 2 + 1;
    const bool forward = i % 2 == 0;
    const std::size_t index = forward ? own_index + distance : own_index + ring.size() - distance;
    const std::string& address = *ring[index % ring.size()];
    if (address.empty()) continue;
    neighbors.addresses.push_back(address);
    hash_input += address + ",";
  }
  neighbors.hash = neighbors.addresses.empty() ? 0 : Hash(0, hash_input);
  return neighbors;
}

std::vector<SidecarLastSeen> SidecarRegistry::LastSeenSince(Micros since, Micros now) const {
  std::vector<SidecarLastSeen> out;
  for (const auto& [name, sidecar] : sidecars_)
    if (sidecar.last_watch_at > since)
      out.push_back({name, sidecar.address, (now - sidecar.last_watch_at) / kMicrosPerMs});
  return out;
}

}  // namespace violetwing
