// The steady clock of the process, for the code that drives the parts without a clock.
#ifndef VIOLETWING_COMMON_STEADY_TIME_HPP_
#define VIOLETWING_COMMON_STEADY_TIME_HPP_

#include <chrono>

#include "common/time.hpp"

namespace violetwing {

/// Microseconds on std::chrono::steady_clock: never goes back, and no change of the time of day moves it.
inline Micros SteadyMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_STEADY_TIME_HPP_
