#include "control/duties/lease_keeper.hpp"

#include <algorithm>
#include <utility>

namespace violetwing::duties {
namespace {

// A request for a lease that was not applied is repeated after this time.
constexpr Micros kRequestInterval = 500'000;

}  // namespace

LeaseKeeper::LeaseKeeper(Settings settings, Micros started_at, Acquire acquire)
    : settings_(std::move(settings)), acquire_(std::move(acquire)) {
  // The calls of an earlier process on this machine ended with that process.
  for (const Duty duty : kAllDuties) leases_[duty].last_call_at = started_at - settings_.call_time_limit;
}

bool LeaseKeeper::HasLeaderLease(const consensus::Replica& replica, Micros now) {
  return replica.leader() && replica.Ready() && replica.HasLease(now);
}

void LeaseKeeper::Tick(const consensus::Replica& replica, const DutyTable& table, Micros now) {
  const bool has_leader_lease = HasLeaderLease(replica, now);
  for (auto& [duty, state] : leases_) {
    const Lease* lease = table.Find(duty);
    if (lease != nullptr && lease->holder == settings_.holder)
      OnGranted(*lease, state, now);
    else if (has_leader_lease)
      SubmitRequest(duty, lease, replica, now);
  }
}

// If the token has changed, another process may have acted under the lease in the meantime.
void LeaseKeeper::OnGranted(const Lease& lease, LeaseState& state, Micros now) const {
  if (lease.token == state.token) return;
  state.token = lease.token;
  state.requested_at = 0;
  const Micros latest_arrival = state.last_call_at + settings_.call_time_limit;
  state.may_call_from = std::max(now + settings_.call_time_limit, latest_arrival + settings_.lease_duration);
}

void LeaseKeeper::SubmitRequest(Duty duty, const Lease* current, const consensus::Replica& replica,
                                Micros now) {
  LeaseState& state = leases_[duty];
  if (state.requested_at != 0 && now - state.requested_at < kRequestInterval) return;
  state.requested_at = now;
  acquire_(
      {std::string(Name(duty)), settings_.holder, current == nullptr ? 0 : current->token, replica.term()});
}

std::optional<FencingToken> LeaseKeeper::Grant(Duty duty, const consensus::Replica& replica,
                                               const DutyTable& table, Micros now) const {
  if (!HasLeaderLease(replica, now)) return std::nullopt;
  const Lease* lease = table.Find(duty);
  const LeaseState& state = leases_.at(duty);
  if (lease == nullptr || lease->holder != settings_.holder || lease->token != state.token)
    return std::nullopt;
  if (now < state.may_call_from) return std::nullopt;
  return lease->token;
}

}  // namespace violetwing::duties
