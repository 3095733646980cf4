#include "balancer/evidence.hpp"

#include <algorithm>

namespace violetwing::balancer {
namespace {

// Answers over which a class's usual time is remembered.
constexpr double kAnswerMemory = 100;
// Answers over which a server's slowness is remembered, and the most that one answer may say of it.
constexpr double kSlowMemory = 8;
constexpr double kSlowMost = 4;
// Answers over which a server's turning away of a class, or its failing, is remembered: quick to believe,
// slow to forget. It is never quite believed, so that an attempt now and then finds the end of it.
constexpr double kRefusalMemory = 3;
constexpr double kServedMemory = 10;
constexpr double kRefusalMost = 0.95;

}  // namespace

bool Learn(Server& server, ClassTimes& times, std::size_t own, std::size_t classes, Micros latency_target,
           const Outcome& outcome) {
  const double elapsed = static_cast<double>(outcome.elapsed);
  double slow = kSlowMost;  // timed out or unreachable
  if (outcome.result == Result::kSuccess) {
    if (times.answer <= 0) times.answer = elapsed;
    times.answer += (elapsed - times.answer) / kAnswerMemory;
    slow = std::min(elapsed / std::max(times.answer, 1.0), kSlowMost);
  } else if (outcome.result == Result::kError) {
    server.fails += (kRefusalMost - server.fails) / kRefusalMemory;
    return false;
  } else if (outcome.result == Result::kReset || outcome.result == Result::kCancelled ||
             outcome.result == Result::kNeverSent || outcome.result == Result::kNoDescriptor) {
    // A reset tells of a connection. Were servers ejected for it, a path that breaks now and then would
    // keep half the window idle; one whose process has died cannot be reached next, and that counts.
    return false;
  }
  server.refuses.resize(classes);
  double& refuses = server.refuses[own];
  if (outcome.result == Result::kRejected) refuses += (kRefusalMost - refuses) / kRefusalMemory;
  if (outcome.result == Result::kSuccess) {
    refuses -= refuses / kServedMemory;
    server.fails -= server.fails / kServedMemory;
  }
  if (outcome.result != Result::kRejected) server.slow += (slow - server.slow) / kSlowMemory;
  if (outcome.result == Result::kSuccess) {
    if (outcome.elapsed < latency_target) server.consecutive_failures = 0;
    return false;
  }
  return outcome.result != Result::kRejected;
}

}  // namespace violetwing::balancer
