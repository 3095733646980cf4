// The duties: kinds of calls to others that one control process at a time may make.
#ifndef VIOLETWING_CONTROL_DUTIES_DUTY_HPP_
#define VIOLETWING_CONTROL_DUTIES_DUTY_HPP_

#include <array>
#include <cstdint>
#include <string_view>

namespace violetwing::duties {

/// A duty has one lease, which covers all of its subjects: every server, window, or service and zone.
enum class Duty {
  kPlacement,  ///< orders to model servers
  kUsage,      ///< usage reports to the platform
  kScale,      ///< orders to the platform on the number of servers
};

inline constexpr std::array kAllDuties{Duty::kPlacement, Duty::kUsage, Duty::kScale};

/// Rises whenever the holder of a duty's lease changes; 0 stands for none.
using FencingToken = std::uint64_t;

/// Names the duty in the log and in stored state: it must not change.
constexpr std::string_view Name(Duty duty) {
  switch (duty) {
    case Duty::kPlacement:
      return "placement";
    case Duty::kUsage:
      return "usage";
    case Duty::kScale:
      return "scale";
  }
  return {};
}

}  // namespace violetwing::duties

#endif  // VIOLETWING_CONTROL_DUTIES_DUTY_HPP_
