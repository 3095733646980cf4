// The end of a sidecar, from SIGTERM on (graceful shutdown): which step is due when. Owns the state and its
// one timer; the sidecar takes the steps. Each time is counted from the beginning, which is taken once.
//
//   kServing -> kAccepting -> kSettling -> kFinishing -> kHurrying -> kOver
//
// kAccepting: connections still come, and each answer closes its own. kSettling: what was accepted last may
// speak. kFinishing: idle connections are closed, requests go on. kHurrying: requests are answered now.
// kOver is also reached from kFinishing on, as soon as no request is held and no connection open. A process
// whose listener another one has too accepts nothing from the beginning on and goes from kAccepting to
// kFinishing.
#ifndef VIOLETWING_SIDECAR_DRAIN_HPP_
#define VIOLETWING_SIDECAR_DRAIN_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "sidecar/balancer_types.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

class Drain {
 public:
  struct Steps {
    std::function<void()> stop_accepting;  // what has connected is taken first
    std::function<void()> close_listener;  // accept no more: another process has the listener too
    std::function<void()> close_idle;
    std::function<void()> fail_requests;  // each request that is held gets an answer now
    std::function<bool()> holds_requests;
    std::function<bool()> holds_connections;
  };

  Drain(asio::io_context& io, const Settings& settings, bool passes_listener);
  Drain(const Drain&) = delete;
  Drain& operator=(const Drain&) = delete;

  // Once; later calls change nothing. `finished` is called when the process may go.
  void Begin(Steps steps, std::function<void()> finished);
  bool begun() const { return state_ != State::kServing; }
  // When the requests that are still held are to be answered: in how long.
  Micros TimeUntilForcedResponses() const;
  // A request is over: it may have been the last.
  void OnRequestFinished();

 private:
  enum class State { kServing, kAccepting, kSettling, kFinishing, kHurrying, kOver };

  void Enter(State state);
  void EnterAt(Micros after, State state);
  void FinishIfDone();
  Micros Passed() const;

  const bool passes_listener_;
  const Micros hurry_after_;
  asio::steady_timer timer_;
  State state_ = State::kServing;
  std::chrono::steady_clock::time_point begun_;
  Steps steps_;
  std::function<void()> finished_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_DRAIN_HPP_
