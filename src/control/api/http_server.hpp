// An HTTP server over libevent's evhttp, whose handlers may answer later.
#ifndef VIOLETWING_CONTROL_API_HTTP_SERVER_HPP_
#define VIOLETWING_CONTROL_API_HTTP_SERVER_HPP_

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "control/api/messages.hpp"

namespace violetwing::http {

/// Not thread-safe: it runs on the event loop that it is given.
class Server {
 public:
  /// Handles one request; the answer may be given at once or later.
  using Handler = std::function<void(Request, Responder)>;

  /// `base` outlives the server.
  Server(event_base* base, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens at an address host:port. Errors: invalid_argument for another form, else the system's.
  std::error_code Listen(const std::string& address);
  /// Accepts no further connections; open ones are still served.
  void StopListening();
  /// Requests that have been handled and not been answered yet.
  std::size_t unanswered() const { return *unanswered_; }

 private:
  static void OnRequest(evhttp_request* request, void* self);

  evhttp* http_;
  std::vector<evhttp_bound_socket*> sockets_;
  Handler handler_;
  std::shared_ptr<std::size_t> unanswered_ = std::make_shared<std::size_t>(0);
};

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_HTTP_SERVER_HPP_
