// The phases of an instance as logs name them.
#ifndef VIOLETWING_MESSAGES_PHASE_NAME_HPP_
#define VIOLETWING_MESSAGES_PHASE_NAME_HPP_

#include "messages/instances.hpp"

namespace violetwing {

/// The name of a phase in logs.
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
