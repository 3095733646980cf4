// An HTTP client over libevent's evhttp that keeps connections open between calls.
#ifndef VIOLETWING_CONTROL_API_HTTP_CLIENT_HPP_
#define VIOLETWING_CONTROL_API_HTTP_CLIENT_HPP_

#include <event2/event.h>
#include <event2/http.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/api/messages.hpp"

namespace violetwing::http {

/// Not thread-safe: it runs on the event loop that it is given.
class Client {
 public:
  /// `status` is an HTTP status, or 0 if no complete response was received. Called once, unless the client is
  /// destroyed before.
  using ResponseCallback = std::function<void(int status, std::string body)>;

  /// `base` has to outlive the client.
  explicit Client(event_base* base) : base_(base) {}
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request to an address host:port. A connection carries one request at a time, so that no request
  /// waits for another one. `timeout` limits each wait without progress: for the connection, and again for
  /// the response. A request that times out resets its connection, so that the peer does not receive it
  /// later.
  void Call(const std::string& address, const std::string& method, const std::string& path, std::string body,
            std::chrono::milliseconds timeout, ResponseCallback done, const Headers& headers = {},
            BodyType type = BodyType::kJson);
  /// Closes connections without pending requests that were last used more than `max_idle` ago.
  void CloseIdle(std::chrono::seconds max_idle);

 private:
  struct Connection {
    evhttp_connection* handle = nullptr;
    bool busy = false;
    std::chrono::steady_clock::time_point last_used_at;
  };
  struct PendingRequest {
    std::weak_ptr<Connection> connection;
    ResponseCallback done;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  // A connection without a pending request; null if the address cannot be parsed.
  ConnectionPtr IdleConnection(const std::string& address);
  static void OnDone(evhttp_request* request, void* pending);
  static void ResetOnClose(evhttp_connection* connection);

  event_base* base_;
  std::multimap<std::string, ConnectionPtr> connections_;  // by address
};

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_HTTP_CLIENT_HPP_
