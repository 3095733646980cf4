// The process's steady clock in microseconds, as the cores take time.
#ifndef VIOLETWING_COMMON_STEADY_TIME_HPP_
#define VIOLETWING_COMMON_STEADY_TIME_HPP_

#include <chrono>
#include <cstdint>

namespace violetwing {

inline std::int64_t SteadyMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_STEADY_TIME_HPP_
