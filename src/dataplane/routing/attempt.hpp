// One attempt of a request at one server, and a counter of a request's attempts.
#ifndef VIOLETWING_DATAPLANE_ROUTING_ATTEMPT_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_ATTEMPT_HPP_

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include "dataplane/routing/retry_backoff.hpp"
#include "dataplane/upstream/upstream_exchange.hpp"

namespace violetwing {

/// Whether, and how, a server has rejected an attempt.
enum class Rejection {
  kNone,         ///< no rejection received so far
  kServerBusy,   ///< not executed: the server rejected it with X-Violetwing-Not-Executed
  kWrongServer,  ///< not executed: status 421, from another instance or one without the model
};

/// The latest attempt of a request. Its server and times are kept after its end for the log.
struct Attempt {
  using TimePoint = std::chrono::steady_clock::time_point;

  std::shared_ptr<UpstreamExchange> exchange;  ///< null if no attempt is in flight
  std::string server;                          ///< instance id
  TimePoint sent_at;
  TimePoint first_byte_at;  ///< of the latest attempt that received one
  bool first_byte_received = false;
  Rejection rejection = Rejection::kNone;

  /// True until the exchange ends or is canceled.
  bool InFlight() const { return exchange != nullptr; }
  /// True if the server guarantees that it did not execute the request.
  bool IsRejected() const { return rejection != Rejection::kNone; }
};

/// Counts the attempts of one request by outcome.
class AttemptCounter {
 public:
  /// Counts an attempt that was sent.
  void OnSent() { ++sent_; }
  /// Recounts a sent attempt as one that reached no server.
  void OnUnreachable() {
    --sent_;
    ++unreachable_;
  }
  /// Counts an attempt that a server rejected.
  void OnRejected() { ++rejected_; }

  /// True if another attempt is allowed on a route with the given `max_attempts`.
  bool MayRetry(int max_attempts) const {
    return sent_ < std::min(kMaxAttempts, max_attempts) && unreachable_ < kMaxUnreachable;
  }
  /// Number of attempts that may have reached a server.
  int sent() const { return sent_; }
  /// Number of attempts that a server rejected.
  int rejected() const { return rejected_; }

 private:
  // Maximum number of attempts of one request that reach no server.
  static constexpr int kMaxUnreachable = 3;

  int sent_ = 0;
  int rejected_ = 0;
  int unreachable_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_ATTEMPT_HPP_
