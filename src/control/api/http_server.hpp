// An HTTP server over libevent's evhttp, whose handlers may respond asynchronously.
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
  /// Handles one request; the responder may be called at once or later.
  using Handler = std::function<void(Request, Responder)>;

  /// `base` has to outlive the server.
  Server(event_base* base, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens on an address host:port. Errors: invalid_argument if the address cannot be parsed, else that of
  /// the operating system.
  std::error_code Listen(const std::string& address);
  /// Accepts no further connections; open ones are still served.
  void StopListening();
  /// The number of requests that have been passed to the handler and have no response yet.
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
