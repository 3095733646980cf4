#include "control/duties/true_time.hpp"

#include <algorithm>
#include <vector>

namespace violetwing::duties {
namespace {

// Half of a round trip is the error of a reading; longer ones are not used.
constexpr Micros kMaxRoundTrip = 100'000;
// A peer that has not answered for so long no longer counts.
constexpr Micros kReadingLifetime = 10'000'000;

}  // namespace

void TrueTime::OnPeerClock(const std::string& peer, Micros time_of_day, Micros asked_at, Micros now) {
  const Micros round_trip = now - asked_at;
  if (round_trip < 0 || round_trip > kMaxRoundTrip) return;
  peers_[peer] = {time_of_day + round_trip / 2 - now, now};
}

std::optional<Micros> TrueTime::At(Micros now) const {
  if (!own_offset_) return std::nullopt;
  std::vector<Micros> offsets{*own_offset_};
  for (const auto& [peer, reading] : peers_)
    if (now - reading.read_at < kReadingLifetime) offsets.push_back(reading.offset);
  // Of an even number the lower middle one: the mean of the two would follow a clock that has jumped.
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return now + *middle;
}

}  // namespace violetwing::duties
