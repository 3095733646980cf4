#include "sidecar/drain.hpp"

#include <algorithm>
#include <utility>

namespace violetwing::sidecar {
namespace {

// Connections still come for up to 0.4 s after SIGTERM, and the kill comes so long after the longest
// deadline, or after 3 s where that is longer.
constexpr Micros kAcceptFor = 550'000;
constexpr Micros kSettleFor = 150'000;  // and then so long for what was accepted last to speak
constexpr Micros kKillAfterDeadline = 700'000;
constexpr Micros kMostDeadline = 3 * kSecond;
constexpr Micros kLastWords = 100'000;  // for the answers given at the end to be read
constexpr Micros kEndMargin = 400'000;  // and for a busy loop, before the kill
constexpr Micros kPoll = 20'000;

// From SIGTERM on.
Micros HurryAfter(const Settings& settings) {
  Micros longest = 0;
  for (const RequestClass& c : settings.classes) longest = std::max(longest, c.deadline);
  return std::min(longest, kMostDeadline) + kKillAfterDeadline - kLastWords - kEndMargin;
}

}  // namespace

Drain::Drain(asio::io_context& io, const Settings& settings, bool passes_listener)
    : passes_listener_(passes_listener), hurry_after_(HurryAfter(settings)), timer_(io) {}

void Drain::Begin(Steps steps, std::function<void()> finished) {
  if (begun()) return;
  steps_ = std::move(steps);
  finished_ = std::move(finished);
  begun_ = std::chrono::steady_clock::now();
  Enter(State::kAccepting);
}

Micros Drain::Passed() const {
  const auto passed = std::chrono::steady_clock::now() - begun_;
  return std::chrono::duration_cast<std::chrono::microseconds>(passed).count();
}

Micros Drain::TimeUntilForcedResponses() const { return std::max<Micros>(hurry_after_ - Passed(), 0); }

void Drain::Enter(State state) {
  state_ = state;
  switch (state) {
    case State::kServing:
    case State::kOver:
      return;
    case State::kAccepting:
      if (!passes_listener_) return EnterAt(kAcceptFor, State::kSettling);
      // The clients that wait are the next process's. Those that are here go there with the answer that
      // closes their connection; one that is closed between requests may cross one, so few are, and late.
      steps_.close_listener();
      return EnterAt(hurry_after_ / 2, State::kFinishing);
    case State::kSettling:
      steps_.stop_accepting();
      return EnterAt(kAcceptFor + kSettleFor, State::kFinishing);
    case State::kFinishing:
      steps_.close_idle();
      return FinishIfDone();
    case State::kHurrying:
      steps_.fail_requests();
      return FinishIfDone();
  }
}

void Drain::EnterAt(Micros after, State state) {
  timer_.expires_at(begun_ + std::chrono::microseconds(after));
  timer_.async_wait([this, state](ErrorCode error) {
    if (!error) Enter(state);
  });
}

void Drain::OnRequestFinished() {
  if (state_ == State::kFinishing || state_ == State::kHurrying) FinishIfDone();
}

// Guards against ending with answers still unsent: each connection goes when its client has read its answer.
// A request may still come on one that is open, so the next step stays due whatever is held now.
void Drain::FinishIfDone() {
  const bool holds_requests = steps_.holds_requests();
  if (!holds_requests && (!steps_.holds_connections() || Passed() >= hurry_after_ + kLastWords)) {
    state_ = State::kOver;
    timer_.cancel();
    return std::exchange(finished_, nullptr)();
  }
  if (state_ == State::kFinishing && (holds_requests || TimeUntilForcedResponses() <= kPoll))
    return EnterAt(hurry_after_, State::kHurrying);
  timer_.expires_after(std::chrono::microseconds(kPoll));
  timer_.async_wait([this](ErrorCode error) {
    if (!error) FinishIfDone();
  });
}

}  // namespace violetwing::sidecar
