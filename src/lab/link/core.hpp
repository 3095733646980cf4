// One direction of a link: when what comes in now goes out again, if at all. Pure.
#ifndef VIOLETWING_LAB_LINK_CORE_HPP_
#define VIOLETWING_LAB_LINK_CORE_HPP_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "common/random.hpp"
#include "lab/server/core.hpp"

namespace violetwing::lab {

struct LaneState {
  Micros delay = 0;
  Micros jitter = 0;       // up to so much more
  double bytes_per_s = 0;  // 0 = as fast as loopback
  bool cut = false;        // nothing goes out until it is healed; datagrams are lost
  double loss = 0;         // share of datagrams
  double reorder = 0;      // share of datagrams that are held back for a further delay
};

class Lane {
 public:
  explicit Lane(std::uint64_t seed) : random_(seed) {}

  // Of a stream: never before what came earlier. A cut holds it back beyond this time.
  Micros Due(const LaneState& state, Micros now, std::size_t bytes) {
    last_ = std::max(last_, now + Delay(state)) + Length(state, bytes);
    return last_;
  }
  // Of a datagram; nothing if it is lost.
  std::optional<Micros> DueDatagram(const LaneState& state, Micros now, std::size_t bytes) {
    const bool lost = random_.Uniform() < state.loss;
    const bool held = random_.Uniform() < state.reorder;
    const Micros delay = Delay(state);
    if (state.cut || lost) return std::nullopt;
    busy_until_ = std::max(busy_until_, now) + Length(state, bytes);
    return busy_until_ + delay + (held ? std::max<Micros>(delay, kHeld) : 0);
  }

 private:
  static constexpr Micros kHeld = 2'000;  // ample for the next ones to overtake on loopback

  Micros Delay(const LaneState& state) {
    if (state.jitter <= 0) return state.delay;
    return state.delay + static_cast<Micros>(random_.Uniform() * static_cast<double>(state.jitter));
  }
  static Micros Length(const LaneState& state, std::size_t bytes) {
    return state.bytes_per_s > 0 ? static_cast<Micros>(static_cast<double>(bytes) * 1e6 / state.bytes_per_s)
                                 : 0;
  }

  Random random_;
  Micros last_ = INT64_MIN;
  Micros busy_until_ = INT64_MIN;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_LINK_CORE_HPP_
