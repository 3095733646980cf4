// Reads the steady clock, for the code that passes the time to components that hold no clock.
#ifndef VIOLETWING_COMMON_STEADY_TIME_HPP_
#define VIOLETWING_COMMON_STEADY_TIME_HPP_

#include <chrono>

#include "common/time.hpp"

namespace violetwing {

/// Microseconds on std::chrono::steady_clock, which is monotonic and unaffected by changes of the system
/// time.
inline Micros SteadyMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_STEADY_TIME_HPP_
