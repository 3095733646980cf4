// An asynchronous HTTP/1.1 client for calls that must not be sent late. A request is sent only if a guard
// allows it in the iteration of the event loop in which its first byte is written, after the connection is
// established. Connecting may take hundreds of milliseconds, and a process that was suspended meanwhile must
// not send what it was allowed to send before.
#ifndef VIOLETWING_CONTROL_API_GUARDED_CLIENT_HPP_
#define VIOLETWING_CONTROL_API_GUARDED_CLIENT_HPP_

#include <event2/event.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/api/messages.hpp"

namespace violetwing::http {

/// How a guarded call ended.
struct GuardedResult {
  enum class Outcome {
    kAnswered,    ///< a complete HTTP response arrived
    kNotSent,     ///< no byte was sent: the guard refused, or no connection was established
    kUnanswered,  ///< no complete HTTP response arrived; the request may have been received
  };
  Outcome outcome = Outcome::kNotSent;
  int status = 0;    ///< the HTTP status of an answered call, else 0
  std::string body;  ///< that of an answered call
};

/// What the timeout of a call limits once its connection is established.
enum class TimeoutScope {
  kResponse,  ///< the time until the response is complete
  kProgress,  ///< each wait in which no byte is sent or received
};

/// Not thread-safe: it runs on the event loop that it is given.
class GuardedClient {
 public:
  /// Called right before the request is written; the request is sent only if it returns true.
  using Guard = std::function<bool()>;
  /// Called once, from the event loop, unless the client is destroyed before.
  using Callback = std::function<void(GuardedResult)>;

  /// One HTTP call.
  struct Call {
    std::string address;  ///< host:port, an IPv4 address
    std::string method = "POST";
    std::string path;
    Headers headers;
    std::string body;
    BodyType type = BodyType::kJson;
    /// Limit for the wait for the connection, and again for the response.
    std::chrono::milliseconds timeout{800};
    TimeoutScope timeout_scope = TimeoutScope::kResponse;
    std::uint64_t max_response_bytes = std::uint64_t{1024} * 1024;  ///< of the body
  };

  /// `base` has to outlive the client.
  explicit GuardedClient(event_base* base);
  ~GuardedClient();
  GuardedClient(const GuardedClient&) = delete;
  GuardedClient& operator=(const GuardedClient&) = delete;

  /// Begins the call, on an idle connection if there is one, else on a new one. A call that times out resets
  /// its connection, so that its request does not arrive later.
  void Start(Call call, Guard may_send, Callback done);
  /// Closes idle connections that were last used more than `max_idle` ago.
  void CloseIdle(std::chrono::seconds max_idle);

 private:
  class Connection;
  friend class Connection;

  // Destroys a connection that cannot be reused.
  void Remove(Connection* connection);

  event_base* const base_;
  std::multimap<std::string, std::unique_ptr<Connection>> connections_;  // by address
};

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_GUARDED_CLIENT_HPP_
