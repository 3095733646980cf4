// Names of instance phases for log lines.
#ifndef VIOLETWING_MESSAGES_PHASE_NAME_HPP_
#define VIOLETWING_MESSAGES_PHASE_NAME_HPP_

#include "messages/instances.hpp"

namespace violetwing {

/// Returns the name of a phase for log lines.
inline const char* Name(Phase phase) {
  switch (phase) {
    case Phase::kReady:
      return "ready";
    case Phase::kLost:
      return "lost";
    case Phase::kDraining:
      return "draining";
    case Phase::kDeregistered:
      break;
  }
  return "deregistered";
}

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_PHASE_NAME_HPP_
