#include "dataplane/routing/request_deadline.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace violetwing {
namespace {

// The client has the sidecar's own answer before it gives up itself.
constexpr std::chrono::milliseconds kAnswerMargin{15};
// Clients of a stream give up after the longest of these without an event.
constexpr double kMinFirstEventTimeoutMs = 2000;
constexpr double kFirstEventTargetLatencies = 4;
constexpr double kFirstEventGaps = 8;
// A load may have to wait for another one at the same server.
constexpr double kModelLoadFactor = 1.5;
constexpr double kModelLoadSlackMs = 900;
// Kept free of a request's time for the response after the model has been loaded.
constexpr double kResponseReserveMs = 300;

}  // namespace

std::chrono::steady_clock::time_point RequestDeadline(const ClientRequest& request,
                                                      const configuration::Route& route) {
  const std::string* client_deadline = FindField(request.fields, field::kDeadline);
  double timeout_ms = std::min(ParseNumber(client_deadline, route.timeout_ms), route.timeout_ms);
  if (!(timeout_ms > 0)) timeout_ms = 0;  // NaN as well
  return request.arrived + std::chrono::microseconds(static_cast<std::int64_t>(timeout_ms * 1000)) -
         kAnswerMargin;
}

double FirstEventTimeoutMs(const configuration::Route& route) {
  if (route.type != configuration::RouteType::kStreaming) return std::numeric_limits<double>::infinity();
  return std::max({kMinFirstEventTimeoutMs, kFirstEventTargetLatencies * route.target_latency_ms,
                   kFirstEventGaps * route.gap_aim_ms});
}

double MaxModelWaitMs(double load_ms, double remaining_ms) {
  return std::min(load_ms * kModelLoadFactor + kModelLoadSlackMs, remaining_ms - kResponseReserveMs);
}

}  // namespace violetwing
