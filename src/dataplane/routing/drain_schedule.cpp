#include "dataplane/routing/drain_schedule.hpp"

#include <algorithm>

namespace violetwing {
namespace {

using std::chrono::milliseconds;

// The platform probes readiness every second and sends no new connections after two failed probes.
constexpr milliseconds kUnreadyNoticeDelay{2600};
// Time reserved for the exit of the process, and before it for the last responses to reach their clients.
constexpr milliseconds kExitReserve{400};
constexpr milliseconds kResponseReserve{200};
// Largest parts of a short grace period that the reserves take.
constexpr int kExitReserveDivisor = 10;
constexpr int kResponseReserveDivisor = 20;

}  // namespace

DrainSchedule DrainSchedule::Make(TimePoint now, milliseconds grace) {
  DrainSchedule schedule;
  schedule.unready_noticed = now + std::min(kUnreadyNoticeDelay, grace / 2);
  schedule.last_attempt = now + grace / 2;
  schedule.exit = now + grace - std::min(kExitReserve, grace / kExitReserveDivisor);
  schedule.requests_end = schedule.exit - std::min(kResponseReserve, grace / kResponseReserveDivisor);
  return schedule;
}

}  // namespace violetwing
