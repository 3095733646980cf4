// The HTTP surface of a control process: reads what was called, hands it to the core, and words the answer.
// It holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_API_HANDLERS_HPP_
#define VIOLETWING_CONTROL_API_HANDLERS_HPP_

#include "common/time.hpp"
#include "control/api/messages.hpp"
#include "control/core/control_core.hpp"

namespace violetwing {

// Calls of servers and of the operator.
void HandlePublic(ControlCore& core, const http::Request& request, Micros now, const http::Answer& answer);
// Calls of the other processes of the system.
void HandleInternal(ControlCore& core, const http::Request& request, Micros now, const http::Answer& answer);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_API_HANDLERS_HPP_
