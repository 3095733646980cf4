#include "sidecars.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// Without a word of a sidecar for so long, the others share its part of what all may spend.
constexpr Sidecars::Micros kLostAfter = 5'000'000;

}  // namespace

void Sidecars::Hear(const std::string& name, Micros now) {
  Sidecar& sidecar = sidecars_[name];
  sidecar.heard_at = sidecar.heard_directly_at = now;
}

void Sidecars::HearOf(const Heard& heard, Micros now) {
  Sidecar& sidecar = sidecars_[heard.id];
  sidecar.heard_at = std::max(sidecar.heard_at, now - heard.age_ms * 1000);
}

Sidecars::Place Sidecars::PlaceOf(const std::string& name, Micros now) const {
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

std::vector<Heard> Sidecars::HeardSince(Micros since, Micros now) const {
  std::vector<Heard> out;
  for (const auto& [name, sidecar] : sidecars_)
    if (sidecar.heard_directly_at > since) out.push_back({name, 0, (now - sidecar.heard_directly_at) / 1000});
  return out;
}

}  // namespace violetwing
