#include "balancer/server_health.hpp"

#include <algorithm>

namespace violetwing::balancer {
namespace {

// Responses over which the latency of a class is averaged.
constexpr double kLatencyWindow = 100;
// Responses over which a server's slowness is averaged, and the maximum that one response counts as.
constexpr double kSlownessWindow = 8;
constexpr double kMaxSlowness = 4;
// Responses over which the rejected share of a class, or the error share, rises and falls: it rises quickly
// and falls slowly. It stays below 1, so that an occasional attempt detects that the server serves again.
constexpr double kRejectionWindow = 3;
constexpr double kSuccessWindow = 10;
constexpr double kMaxRejectedShare = 0.95;

}  // namespace

bool UpdateServerHealth(Server& server, ClassTimes& class_times, std::size_t request_class,
                        std::size_t class_count, Micros latency_target, const Outcome& outcome) {
  const double elapsed = static_cast<double>(outcome.elapsed);
  double slowness = kMaxSlowness;  // timed out or unreachable
  if (outcome.result == Result::kSuccess) {
    if (class_times.mean_latency <= 0) class_times.mean_latency = elapsed;
    class_times.mean_latency += (elapsed - class_times.mean_latency) / kLatencyWindow;
    slowness = std::min(elapsed / std::max(class_times.mean_latency, 1.0), kMaxSlowness);
  } else if (outcome.result == Result::kError) {
    server.error_share += (kMaxRejectedShare - server.error_share) / kRejectionWindow;
    return false;
  } else if (outcome.result == Result::kReset || outcome.result == Result::kCancelled ||
             outcome.result == Result::kNeverSent || outcome.result == Result::kNoDescriptor) {
    // A reset concerns one connection. If servers were ejected for resets, an unreliable network path would
    // keep half of the window idle. A server whose process has died is unreachable at the next attempt, and
    // that counts.
    return false;
  }
  server.rejected_share.resize(class_count);
  double& rejected_share = server.rejected_share[request_class];
  if (outcome.result == Result::kRejected)
    rejected_share += (kMaxRejectedShare - rejected_share) / kRejectionWindow;
  if (outcome.result == Result::kSuccess) {
    rejected_share -= rejected_share / kSuccessWindow;
    server.error_share -= server.error_share / kSuccessWindow;
  }
  if (outcome.result != Result::kRejected) server.slowness += (slowness - server.slowness) / kSlownessWindow;
  if (outcome.result == Result::kSuccess) {
    if (outcome.elapsed < latency_target) server.consecutive_failures = 0;
    return false;
  }
  return outcome.result != Result::kRejected;
}

}  // namespace violetwing::balancer
