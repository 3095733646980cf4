// One attempt of a request at one server, and the count of a request's attempts.
#ifndef VIOLETWING_DATAPLANE_ROUTING_ATTEMPT_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_ATTEMPT_HPP_

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include "dataplane/routing/retry_backoff.hpp"
#include "dataplane/upstream/upstream_exchange.hpp"

namespace violetwing {

/// What a server has said so far about executing an attempt.
enum class Rejection {
  kNone,         ///< nothing, or that it executes it
  kServerBusy,   ///< not executed: the server rejects it
  kWrongServer,  ///< not executed: status 421, another instance or one without the model
};

/// The latest attempt of a request. Its server and times remain after its end, for the log.
struct Attempt {
  using TimePoint = std::chrono::steady_clock::time_point;

  std::shared_ptr<UpstreamExchange> exchange;  ///< null if no attempt is in flight
  std::string server;                          ///< instance id
  TimePoint sent_at;
  TimePoint first_byte_at;  ///< of the latest attempt that got one
  bool first_byte_received = false;
  Rejection rejection = Rejection::kNone;

  /// True until the exchange ends or is cancelled.
  bool InFlight() const { return exchange != nullptr; }
  /// True if the server promised that it did not execute the request.
  bool IsRejected() const { return rejection != Rejection::kNone; }
};

/// Counts the attempts of one request by how they ended.
class AttemptCounter {
 public:
  /// An attempt was sent.
  void OnSent() { ++sent_; }
  /// No connection could be established: the attempt reached no server.
  void OnUnreachable() {
    --sent_;
    ++unreachable_;
  }
  /// A server rejected an attempt.
  void OnRejected() { ++rejected_; }

  /// True if a further attempt is allowed on a route with that `max_attempts`.
  bool MayRetry(int max_attempts) const {
    return sent_ < std::min(kMaxAttempts, max_attempts) && unreachable_ < kMaxUnreachable;
  }
  /// Attempts that may have reached a server.
  int sent() const { return sent_; }
  /// Attempts that a server rejected.
  int rejected() const { return rejected_; }

 private:
  // Servers attempted one after the other when none of them accepts a connection.
  static constexpr int kMaxUnreachable = 3;

  int sent_ = 0;
  int rejected_ = 0;
  int unreachable_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_ATTEMPT_HPP_
