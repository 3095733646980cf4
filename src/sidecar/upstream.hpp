// Connection pool to the servers. Each connection carries one request at a time, and the most recently
// used idle connection is reused first. Every attempt is sent at most once and its result is reported; the
// pool never retries.
#ifndef VIOLETWING_SIDECAR_UPSTREAM_HPP_
#define VIOLETWING_SIDECAR_UPSTREAM_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sidecar/balancer_types.hpp"
#include "sidecar/body.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

/// The outcome of one attempt.
struct UpstreamResponse {
  Result result = Result::kUnreachable;
  ResponseHead head;       // set only if the result is kSuccess
  BodyPtr body = nullptr;  // the complete body; null without success or if the response was streamed
};

/// Pool of keep-alive HTTP/1.1 connections to the servers. All calls and callbacks run on the loop of `io`.
class Upstream {
 public:
  using AttemptId = std::uint64_t;
  struct Events {
    /// Called exactly once with the result, always from the event loop and never from within Send, unless
    /// the attempt is canceled.
    std::function<void(UpstreamResponse)> done;
    /// Called before `done` if the response is streamed, as it is too long to be buffered or its end has not
    /// arrived in time. A later failure breaks the body.
    std::function<void(const ResponseHead&, const BodyPtr&)> response_started;
  };
  struct Limits {
    Micros idle_timeout = 0;  ///< idle connections are closed after this time; 0 = only when the peer does
    Micros dial_timeout = 0;  ///< 0 = limited only by the attempt itself
    std::size_t max_connections = 512;  ///< maximum number of open connections, over all servers
  };

  /// The request that an attempt sends. A body that is still being received is streamed.
  struct OutgoingRequest {
    RequestHead head;
    BodyPtr body;
    /// Time left, sent to the server in Req-Deadline. If the body is complete, the time spent on connecting
    /// is deducted. 0 = the header is not set.
    Micros time_left = 0;
    /// A connection that is established later than this is closed with nothing written, and the result is
    /// kNeverSent; 0 = no limit.
    Micros begin_within = 0;
  };

  /// Callbacks for all attempts. Either may be empty.
  struct Hooks {
    std::function<void()> request_written;  ///< the last byte of a request has been written
    /// A connection attempt has ended; whether its server may still be used is checked next.
    std::function<void()> before_server_check;
  };

  Upstream(asio::io_context& io, Limits limits, std::shared_ptr<BufferBudget> budget, Hooks hooks);
  Upstream(asio::io_context& io, Limits limits, std::shared_ptr<BufferBudget> budget)
      : Upstream(io, limits, std::move(budget), Hooks()) {}
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// Applies a server list. Idle connections to a server that is draining, was removed, or has a new address
  /// or start time are closed; requests in flight finish.
  void Apply(const EndpointList& list);

  /// Closes the idle connections to a server and fails attempts that are still connecting to it. Requests in
  /// flight finish.
  void Retire(const std::string& server);

  /// Starts an attempt. Its result, also of an immediate failure, is reported through `events`.
  AttemptId Send(const std::string& server, OutgoingRequest request, Events events);
  /// Ends an attempt by closing its connection; its `done` is not called. Does nothing if it has ended.
  void Cancel(AttemptId attempt);
  /// Cancels an attempt that is still connecting, so that nothing of it has been written. Returns false, and
  /// lets it continue, in any other state.
  bool CancelIfUnsent(AttemptId attempt);

  bool has_servers() const { return !servers_.empty(); }
  std::size_t open_connections() const { return open_connections_; }

 private:
  class Connection;
  struct Server;
  using ConnectionPtr = std::shared_ptr<Connection>;

  static void Update(Server& server, const Endpoint& endpoint);
  static void CloseIdle(Server& server);
  ConnectionPtr AcquireIdle(Server& server);
  bool CloseOldestIdle();
  AttemptId PostFailure(Events events, Result result);
  void Release(const ConnectionPtr& connection);
  void OnClosed(const Connection& connection);
  void ScheduleSweep();
  void Sweep();

  asio::io_context& io_;
  const Limits limits_;
  const std::shared_ptr<BufferBudget> budget_;
  const Hooks hooks_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
  std::size_t open_connections_ = 0;
  AttemptId last_attempt_ = 0;
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::unordered_map<AttemptId, ConnectionPtr> attempts_;  // null: failed, `done` is pending
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_UPSTREAM_HPP_
