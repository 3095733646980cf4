#include "control/api/socket_buffer_event.hpp"

#include <event2/event.h>

namespace violetwing::http {

void SocketBufferEventDeleter::operator()(bufferevent* owned) const {
  const evutil_socket_t socket = bufferevent_getfd(owned);
  bufferevent_setcb(owned, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(owned, EV_READ | EV_WRITE);
  bufferevent_setfd(owned, -1);
  if (socket >= 0) evutil_closesocket(socket);
  bufferevent_free(owned);
}

SocketBufferEvent MakeSocketBufferEvent(event_base* base, evutil_socket_t socket) {
  return SocketBufferEvent(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE));
}

}  // namespace violetwing::http
