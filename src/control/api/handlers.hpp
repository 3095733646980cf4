// The HTTP API of a control process: decodes requests, passes them to the core and encodes its answers. It
// holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_API_HANDLERS_HPP_
#define VIOLETWING_CONTROL_API_HANDLERS_HPP_

#include "common/time.hpp"
#include "control/api/messages.hpp"
#include "control/core/control_core.hpp"

namespace violetwing {

/// Requests of servers and of the operator (PROTOCOL.md). `respond` is called once, at once or later; a path
/// or method that does not exist is answered with 404.
void HandlePublic(ControlCore& core, const http::Request& request, Micros now,
                  const http::Responder& respond);
/// Requests of the other control processes and of the sidecars (messages/peer.hpp); likewise.
void HandleInternal(ControlCore& core, const http::Request& request, Micros now,
                    const http::Responder& respond);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_API_HANDLERS_HPP_
