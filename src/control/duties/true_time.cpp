#include "control/duties/true_time.hpp"

#include <algorithm>
#include <vector>

namespace violetwing::duties {
namespace {

// A reading is off by up to half of its round trip. Readings with longer round trips than this are discarded.
constexpr Micros kMaxRoundTrip = 100'000;
// A reading that is older than this is ignored.
constexpr Micros kMaxReadingAge = 10'000'000;

}  // namespace

void TrueTime::OnPeerClock(const std::string& peer, Micros time_of_day, Micros requested_at, Micros now) {
  const Micros round_trip = now - requested_at;
  if (round_trip < 0 || round_trip > kMaxRoundTrip) return;
  peers_[peer] = {time_of_day + round_trip / 2 - now, now};
}

std::optional<Micros> TrueTime::At(Micros now) const {
  if (!own_offset_) return std::nullopt;
  std::vector<Micros> offsets{*own_offset_};
  for (const auto& [peer, reading] : peers_)
    if (now - reading.read_at < kMaxReadingAge) offsets.push_back(reading.offset);
  // Takes the lower of the two middle offsets if their number is even. The mean of the two would follow a
  // clock that has jumped.
  const auto median = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  return now + *median;
}

}  // namespace violetwing::duties
