#include "dataplane/routing/request_deadline.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace violetwing {
namespace {

// Time for the sidecar's own response to reach the client before the client times out.
constexpr std::chrono::milliseconds kResponseMargin{15};
// Clients of a stream time out if no event arrives within the longest of these: a fixed minimum, and
// multiples of the route's target latency and of its target gap between events.
constexpr double kMinFirstEventTimeoutMs = 2000;
constexpr double kFirstEventLatencyFactor = 4;
constexpr double kFirstEventGapFactor = 8;
// Slack of the wait for a model, as its load may have to wait for another load on the same server.
constexpr double kModelLoadFactor = 1.5;
constexpr double kModelLoadSlackMs = 900;
// Part of a request's time that is reserved for the response after the model has been loaded.
constexpr double kResponseReserveMs = 300;

}  // namespace

std::chrono::steady_clock::time_point RequestDeadline(const ClientRequest& request,
                                                      const configuration::Route& route) {
  const std::string* client_deadline = FindField(request.fields, field::kDeadline);
  double timeout_ms = std::min(ParseNumber(client_deadline, route.timeout_ms), route.timeout_ms);
  if (!(timeout_ms > 0)) timeout_ms = 0;  // includes NaN
  return request.arrived + std::chrono::microseconds(static_cast<std::int64_t>(timeout_ms * 1000)) -
         kResponseMargin;
}

double FirstEventTimeoutMs(const configuration::Route& route) {
  if (route.type != configuration::RouteType::kStreaming) return std::numeric_limits<double>::infinity();
  return std::max({kMinFirstEventTimeoutMs, kFirstEventLatencyFactor * route.target_latency_ms,
                   kFirstEventGapFactor * route.gap_aim_ms});
}

double MaxModelWaitMs(double load_ms, double remaining_ms) {
  return std::min(load_ms * kModelLoadFactor + kModelLoadSlackMs, remaining_ms - kResponseReserveMs);
}

}  // namespace violetwing
