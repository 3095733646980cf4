// The HTTP API of a control process: decodes requests, passes them to the core and encodes its answers. It
// holds no clock, socket, file or thread.
#ifndef VIOLETWING_CONTROL_API_HANDLERS_HPP_
#define VIOLETWING_CONTROL_API_HANDLERS_HPP_

#include <cstddef>
#include <string>

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

/// The rule for the body of a request to HandlePublic. `max_document_bytes`: of a configuration or patch.
http::BodyRule PublicBodyRule(const std::string& method, const std::string& path,
                              std::size_t max_document_bytes);
/// Likewise for HandleInternal.
http::BodyRule InternalBodyRule(const std::string& path);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_API_HANDLERS_HPP_
