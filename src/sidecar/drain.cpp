#include "sidecar/drain.hpp"

#include <algorithm>
#include <utility>

namespace violetwing::sidecar {
namespace {

// Clients still open connections for up to 0.4 s after SIGTERM. The process is killed kKillAfterDeadline
// after the longest deadline of a request class, capped at 3 s.
constexpr Micros kAcceptTime = 550'000;
constexpr Micros kAwaitRequestsTime = 150'000;  // for the connections accepted last to send a request
constexpr Micros kKillAfterDeadline = 700'000;
constexpr Micros kMaxDeadline = 3 * kSecond;
constexpr Micros kResponseReadTime = 100'000;  // for clients to read the responses given at the end
constexpr Micros kExitMargin = 400'000;        // for a busy event loop, before the kill
constexpr Micros kPollInterval = 20'000;

// Time from SIGTERM until the remaining requests are answered.
Micros FailRequestsAfter(const Settings& settings) {
  Micros longest = 0;
  for (const RequestClass& c : settings.classes) longest = std::max(longest, c.deadline);
  return std::min(longest, kMaxDeadline) + kKillAfterDeadline - kResponseReadTime - kExitMargin;
}

}  // namespace

Drain::Drain(asio::io_context& io, const Settings& settings, bool shares_listener)
    : shares_listener_(shares_listener), fail_requests_after_(FailRequestsAfter(settings)), timer_(io) {}

void Drain::Begin(Steps steps, std::function<void()> finished) {
  if (begun()) return;
  steps_ = std::move(steps);
  finished_ = std::move(finished);
  started_ = std::chrono::steady_clock::now();
  Enter(State::kAccepting);
}

Micros Drain::Elapsed() const {
  const auto elapsed = std::chrono::steady_clock::now() - started_;
  return std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
}

Micros Drain::TimeUntilForcedResponses() const {
  return std::max<Micros>(fail_requests_after_ - Elapsed(), 0);
}

void Drain::Enter(State state) {
  state_ = state;
  switch (state) {
    case State::kServing:
    case State::kFinished:
      return;
    case State::kAccepting:
      if (!shares_listener_) return EnterAt(kAcceptTime, State::kAwaitingRequests);
      // Waiting connections are left to the other process. Connected clients move there after the response
      // that closes their connection. Closing an idle connection may race with a request on it, so idle
      // connections are closed late, when few are left.
      steps_.close_listener();
      return EnterAt(fail_requests_after_ / 2, State::kFinishingRequests);
    case State::kAwaitingRequests:
      steps_.stop_accepting();
      return EnterAt(kAcceptTime + kAwaitRequestsTime, State::kFinishingRequests);
    case State::kFinishingRequests:
      steps_.close_idle();
      return FinishIfDone();
    case State::kFailingRequests:
      steps_.fail_requests();
      return FinishIfDone();
  }
}

void Drain::EnterAt(Micros after, State state) {
  timer_.expires_at(started_ + std::chrono::microseconds(after));
  timer_.async_wait([this, state](ErrorCode error) {
    if (!error) Enter(state);
  });
}

void Drain::OnRequestFinished() {
  if (state_ == State::kFinishingRequests || state_ == State::kFailingRequests) FinishIfDone();
}

// Guards against exiting with responses unsent: a connection closes once its client has read the response.
// An open connection may still bring a request, so the next step stays scheduled even if none is pending now.
void Drain::FinishIfDone() {
  const bool holds_requests = steps_.holds_requests();
  if (!holds_requests &&
      (!steps_.holds_connections() || Elapsed() >= fail_requests_after_ + kResponseReadTime)) {
    state_ = State::kFinished;
    timer_.cancel();
    return std::exchange(finished_, nullptr)();
  }
  if (state_ == State::kFinishingRequests && (holds_requests || TimeUntilForcedResponses() <= kPollInterval))
    return EnterAt(fail_requests_after_, State::kFailingRequests);
  timer_.expires_after(std::chrono::microseconds(kPollInterval));
  timer_.async_wait([this](ErrorCode error) {
    if (!error) FinishIfDone();
  });
}

}  // namespace violetwing::sidecar
