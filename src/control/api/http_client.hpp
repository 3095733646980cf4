// An HTTP client that keeps connections open between calls, for calls that need no guard.
#ifndef VIOLETWING_CONTROL_API_HTTP_CLIENT_HPP_
#define VIOLETWING_CONTROL_API_HTTP_CLIENT_HPP_

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <string>

#include "control/api/guarded_client.hpp"
#include "control/api/messages.hpp"

namespace violetwing::http {

/// Not thread-safe: it runs on the event loop that it is given.
class Client {
 public:
  /// `status` is an HTTP status, or 0 if no complete HTTP response was received. Called once, from the event
  /// loop, unless the client is destroyed before.
  using ResponseCallback = std::function<void(int status, std::string body)>;

  /// `base` has to outlive the client.
  explicit Client(event_base* base) : calls_(base) {}

  /// Sends a request to an address host:port, with an IPv4 address. A connection carries one request at a
  /// time, so that no request waits for another one. `timeout` limits each wait without progress: for the
  /// connection, and again for each byte sent or received. A request that times out resets its connection, so
  /// that the peer does not receive it later.
  void Call(const std::string& address, const std::string& method, const std::string& path, std::string body,
            std::chrono::milliseconds timeout, ResponseCallback done, const Headers& headers = {},
            BodyType type = BodyType::kJson);
  /// Closes connections without pending requests that were last used more than `max_idle` ago.
  void CloseIdle(std::chrono::seconds max_idle) { calls_.CloseIdle(max_idle); }

 private:
  GuardedClient calls_;
};

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_HTTP_CLIENT_HPP_
