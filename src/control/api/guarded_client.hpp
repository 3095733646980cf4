// Asynchronous HTTP/1.1 calls of a control process that must not be late: a request leaves only if a guard
// allows it in the very turn of the event loop in which its first byte is written, after the connection is
// established. A connection may take hundreds of milliseconds, and a process that was suspended meanwhile
// must not send what it was allowed to send before.
#ifndef VIOLETWING_CONTROL_API_GUARDED_CLIENT_HPP_
#define VIOLETWING_CONTROL_API_GUARDED_CLIENT_HPP_

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/api/messages.hpp"

namespace violetwing::http {

/// How a guarded call ended.
struct GuardedResult {
  enum class Outcome {
    kAnswered,    ///< a complete response arrived
    kNotSent,     ///< no byte has left: the guard refused, or no connection was established
    kUnanswered,  ///< the request may have arrived
  };
  Outcome outcome = Outcome::kNotSent;
  int status = 0;  ///< the HTTP status of an answered call, else 0
};

/// Not thread-safe: it runs on the event loop that it is given.
class GuardedClient {
 public:
  /// Asked right before the request is written.
  using Guard = std::function<bool()>;
  /// Called once, from the event loop, unless the client ends before.
  using Callback = std::function<void(const GuardedResult&)>;

  /// What is called.
  struct Call {
    std::string address;  ///< host:port, an IPv4 address
    std::string method = "POST";
    std::string path;
    Headers headers;
    std::string body;  ///< JSON
    /// Bounds the wait for the connection, and that for the response.
    std::chrono::milliseconds timeout{800};
  };

  /// `base` outlives the client.
  explicit GuardedClient(event_base* base);
  ~GuardedClient();
  GuardedClient(const GuardedClient&) = delete;
  GuardedClient& operator=(const GuardedClient&) = delete;

  /// Begins the call, on a kept connection that carries no other or on a new one. A call that times out
  /// resets its connection, so that its request does not arrive later.
  void Start(const Call& call, Guard may_send, Callback done);
  /// Closes kept connections that were last used longer ago than this.
  void CloseIdle(std::chrono::seconds max_idle);

 private:
  class Connection;
  friend class Connection;

  // Ends the ownership of a connection that has failed or that its peer has closed.
  void Remove(Connection* connection);

  event_base* const base_;
  std::multimap<std::string, std::unique_ptr<Connection>> connections_;  // by address
};

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_GUARDED_CLIENT_HPP_
