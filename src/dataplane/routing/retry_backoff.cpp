#include "dataplane/routing/retry_backoff.hpp"

#include <algorithm>
#include <cstdint>

namespace violetwing {
namespace {

// Latency targets are about a third of a second; a longer first backoff would make the retry late.
constexpr Micros kBaseBackoff = 60'000;
constexpr Micros kMaxBackoff = 2'000'000;
constexpr int kMaxDoublings = 10;  // enough to exceed kMaxBackoff; prevents overflow of the shift

}  // namespace

Micros RetryBackoff(int rejections, Random& random) {
  const Micros bound = std::min(kMaxBackoff, kBaseBackoff << std::min(rejections, kMaxDoublings));
  return static_cast<Micros>(random.Below(static_cast<std::uint64_t>(bound) + 1));
}

}  // namespace violetwing
