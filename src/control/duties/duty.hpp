// Duties: kinds of calls to servers and the platform that only one control process at a time may make.
#ifndef VIOLETWING_CONTROL_DUTIES_DUTY_HPP_
#define VIOLETWING_CONTROL_DUTIES_DUTY_HPP_

#include <array>
#include <cstdint>
#include <string_view>

namespace violetwing::duties {

/// Each duty has one lease, which covers all of its subjects: all servers, windows, or services and zones.
enum class Duty {
  kPlacement,  ///< orders to model servers
  kUsage,      ///< usage reports to the platform
  kScale,      ///< orders to the platform that set the number of servers
};

inline constexpr std::array kAllDuties{Duty::kPlacement, Duty::kUsage, Duty::kScale};

/// A token that increases whenever the holder of a duty's lease changes; 0 stands for no token.
using FencingToken = std::uint64_t;

/// Returns the name of the duty in the replicated log and in stored state. These names must not change.
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
