// A bufferevent that owns a socket.
#ifndef VIOLETWING_CONTROL_API_SOCKET_BUFFER_EVENT_HPP_
#define VIOLETWING_CONTROL_API_SOCKET_BUFFER_EVENT_HPP_

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <memory>

namespace violetwing::http {

/// Frees a bufferevent and closes its socket, if it has one, at once. By itself, libevent closes it only in a
/// later step of the event loop, so that a series of connections that are closed and opened within one step
/// would hold the descriptors of all of them.
struct SocketBufferEventDeleter {
  void operator()(bufferevent* owned) const;
};

/// A bufferevent that owns its socket.
using SocketBufferEvent = std::unique_ptr<bufferevent, SocketBufferEventDeleter>;

/// `socket`: its own from now on, or -1 for one that is to be connected.
SocketBufferEvent MakeSocketBufferEvent(event_base* base, evutil_socket_t socket);

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_SOCKET_BUFFER_EVENT_HPP_
