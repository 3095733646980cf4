// The unit of time of components that hold no clock and receive the current time with each event.
#ifndef VIOLETWING_COMMON_TIME_HPP_
#define VIOLETWING_COMMON_TIME_HPP_

#include <cstdint>

namespace violetwing {

/// Microseconds: a duration, or a time on the steady clock of the process (steady_time.hpp).
using Micros = std::int64_t;

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_TIME_HPP_
