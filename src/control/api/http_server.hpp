// An HTTP server over libevent, whose handlers may respond asynchronously.
#ifndef VIOLETWING_CONTROL_API_HTTP_SERVER_HPP_
#define VIOLETWING_CONTROL_API_HTTP_SERVER_HPP_

#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <system_error>

#include "common/connection_budget.hpp"
#include "control/api/messages.hpp"
#include "control/api/server_connection.hpp"

namespace violetwing::http {

/// Not thread-safe: it runs on the event loop that it is given.
class Server {
 public:
  /// Handles one request; the responder may be called at once or later.
  using Handler = std::function<void(Request, Responder)>;
  /// The rule for the body of a request, by its method and path.
  using BodyRules = std::function<BodyRule(const std::string& method, const std::string& path)>;

  /// `base` has to outlive the server. `limits`: what its connections may hold together.
  Server(event_base* base, ConnectionBudget::Limits limits, BodyRules body_rules, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens on an address host:port. Errors: invalid_argument if the address cannot be parsed, else that of
  /// the operating system.
  std::error_code Listen(const std::string& address);
  /// Accepts no further connections; open ones are still served.
  void StopListening();
  /// The number of requests that have been passed to the handler and have no response yet.
  std::size_t unanswered() const { return *context_.unanswered; }

 private:
  struct ListenerDeleter {
    void operator()(evconnlistener* owned) const { evconnlistener_free(owned); }
  };
  struct EventDeleter {
    void operator()(event* owned) const { event_free(owned); }
  };

  void OnAccepted(evutil_socket_t socket);
  // Such as a lack of descriptors: tries again later.
  void OnAcceptError();
  void OnConnectionClosed(const std::shared_ptr<ServerConnection>& connection);

  ConnectionBudget budget_;
  ServerContext context_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  std::unique_ptr<event, EventDeleter> accept_retry_;
  std::unique_ptr<event, EventDeleter> release_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  std::set<std::shared_ptr<ServerConnection>> closed_;  // to be released from the event loop
};

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_HTTP_SERVER_HPP_
