// The HTTP API of a control process: decodes requests, passes them to the core and encodes its answers. It
// holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_API_HANDLERS_HPP_
#define VIOLETWING_CONTROL_API_HANDLERS_HPP_

#include "common/time.hpp"
#include "control/api/messages.hpp"
#include "control/core/control_core.hpp"

namespace violetwing {

/// Handles a request of a server or of the operator (PROTOCOL.md). `respond` is called once, possibly after
/// this function has returned. The response to an unknown path or method is 404.
void HandlePublic(ControlCore& core, const http::Request& request, Micros now,
                  const http::Responder& respond);
/// Likewise for a request of another control process (control/gossip/exchange_message.hpp) or of a sidecar
/// (messages/watch.hpp).
void HandleInternal(ControlCore& core, const http::Request& request, Micros now,
                    const http::Responder& respond);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_API_HANDLERS_HPP_
