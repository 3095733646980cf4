// Graceful shutdown of a sidecar, from SIGTERM on: decides when each step is due. Owns the state and its one
// timer; the sidecar carries out the steps. All times count from the start of the shutdown, which is recorded
// once.
//
//   kServing -> kAccepting -> kAwaitingRequests -> kFinishingRequests -> kFailingRequests -> kFinished
//
// kAccepting: new connections are still accepted, and each response closes its connection.
// kAwaitingRequests: the connections accepted last may still send their requests.
// kFinishingRequests: idle connections are closed; requests go on.
// kFailingRequests: each remaining request is answered at once.
// kFinished: also reached from kFinishingRequests, as soon as no request and no connection is left.
//
// A process that shares its listener with another one accepts nothing from the start, and goes from
// kAccepting to kFinishingRequests.
#ifndef VIOLETWING_SIDECAR_DRAIN_HPP_
#define VIOLETWING_SIDECAR_DRAIN_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "sidecar/balancer_types.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

/// The state machine of the shutdown.
class Drain {
 public:
  struct Steps {
    std::function<void()> stop_accepting;  // after accepting the connections in the listen queue
    std::function<void()> close_listener;  // accept nothing more; another process shares the listener
    std::function<void()> close_idle;
    std::function<void()> fail_requests;  // answer each remaining request now
    std::function<bool()> holds_requests;
    std::function<bool()> holds_connections;
  };

  /// `shares_listener`: another process accepts connections from the same listener.
  Drain(asio::io_context& io, const Settings& settings, bool shares_listener);
  Drain(const Drain&) = delete;
  Drain& operator=(const Drain&) = delete;

  /// Starts the shutdown; later calls have no effect. `finished` is called once, when the process may exit.
  void Begin(Steps steps, std::function<void()> finished);
  bool begun() const { return state_ != State::kServing; }
  /// Time until the remaining requests are answered (kFailingRequests); 0 if that is due. Call after Begin.
  Micros TimeUntilForcedResponses() const;
  /// A request has finished; it may have been the last one.
  void OnRequestFinished();

 private:
  enum class State {
    kServing,
    kAccepting,
    kAwaitingRequests,
    kFinishingRequests,
    kFailingRequests,
    kFinished
  };

  void Enter(State state);
  void EnterAt(Micros after, State state);
  void FinishIfDone();
  Micros Elapsed() const;

  const bool shares_listener_;
  const Micros fail_requests_after_;
  asio::steady_timer timer_;
  State state_ = State::kServing;
  std::chrono::steady_clock::time_point started_;
  Steps steps_;
  std::function<void()> finished_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_DRAIN_HPP_
