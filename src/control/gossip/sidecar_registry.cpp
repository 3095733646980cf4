#include "control/gossip/sidecar_registry.hpp"

#include <algorithm>

#include "common/random.hpp"

namespace violetwing {
namespace {

// Without a word of a sidecar for so long, the others share its part of what all may spend.
constexpr Micros kLostAfter = 5'000'000;
// Neighbors of a sidecar, on both sides together: what each report of load costs in datagrams.
constexpr std::size_t kMostNeighbors = 24;

}  // namespace

void SidecarRegistry::Hear(const std::string& name, const std::string& address, Micros now) {
  Sidecar& sidecar = sidecars_[name];
  sidecar.address = address;
  sidecar.heard_at = sidecar.heard_directly_at = now;
}

void SidecarRegistry::HearOf(const SidecarLastSeen& heard, Micros now) {
  Sidecar& sidecar = sidecars_[heard.id];
  if (!heard.address.empty()) sidecar.address = heard.address;
  sidecar.heard_at = std::max(sidecar.heard_at, now - heard.age_ms * 1000);
}

SidecarRegistry::Place SidecarRegistry::PlaceOf(const std::string& name, Micros now) const {
  Place place;
  int count = 0;
  for (const auto& [other, sidecar] : sidecars_) {
    if (now - sidecar.heard_at > kLostAfter) continue;
    if (other == name) place.number = count;
    ++count;
  }
  place.count = std::max(count, 1);
  return place;
}

Neighbors SidecarRegistry::NeighborsOf(const std::string& name, Micros now) const {
  std::vector<const std::string*> ring;  // addresses, in the order of the numbers
  std::size_t own = 0;
  for (const auto& [other, sidecar] : sidecars_) {
    if (now - sidecar.heard_at > kLostAfter) continue;
    if (other == name) own = ring.size();
    ring.push_back(&sidecar.address);
  }
  Neighbors out;
  const std::size_t others = ring.empty() ? 0 : ring.size() - 1;
  const std::size_t kept = std::min(others, kMostNeighbors);
  std::string all;
  for (std::size_t step = 0; step < kept; ++step) {
    const std::size_t distance = step / 2 + 1;
    const std::size_t at = step % 2 == 0 ? own + distance : own + ring.size() - distance;
    const std::string& address = *ring[at % ring.size()];
    if (address.empty()) continue;
    out.addresses.push_back(address);
    all += address + ",";
  }
  out.hash = out.addresses.empty() ? 0 : Hash(0, all);
  return out;
}

std::vector<SidecarLastSeen> SidecarRegistry::HeardSince(Micros since, Micros now) const {
  std::vector<SidecarLastSeen> out;
  for (const auto& [name, sidecar] : sidecars_)
    if (sidecar.heard_directly_at > since)
      out.push_back({name, sidecar.address, (now - sidecar.heard_directly_at) / 1000});
  return out;
}

}  // namespace violetwing
