#include "control/duties/lease_keeper.hpp"

#include <algorithm>
#include <utility>

namespace violetwing::duties {
namespace {

// A request that was not applied is repeated.
constexpr Micros kRequestInterval = 500'000;

}  // namespace

LeaseKeeper::LeaseKeeper(Settings settings, Micros started_at, Acquire acquire)
    : settings_(std::move(settings)), acquire_(std::move(acquire)) {
  // The calls of an earlier process of this machine have ended with it.
  for (const Duty duty : kAllDuties) held_[duty].last_call_at = started_at - settings_.call_time_limit;
}

bool LeaseKeeper::IsSureToLead(const consensus::Replica& replica, Micros now) {
  return replica.leader() && replica.Ready() && replica.HasLease(now);
}

void LeaseKeeper::Tick(const consensus::Replica& replica, const DutyTable& table, Micros now) {
  const bool is_sure_to_lead = IsSureToLead(replica, now);
  for (auto& [duty, held] : held_) {
    const Lease* lease = table.Find(duty);
    if (lease != nullptr && lease->holder == settings_.holder)
      Observe(*lease, held, now);
    else if (is_sure_to_lead)
      Request(duty, lease, replica, now);
  }
}

// A token other than the last one shows that another process may have acted meanwhile.
void LeaseKeeper::Observe(const Lease& lease, Held& held, Micros now) const {
  if (lease.token == held.token) return;
  held.token = lease.token;
  held.requested_at = 0;
  const Micros last_arrival = held.last_call_at + settings_.call_time_limit;
  held.acts_from = std::max(now + settings_.call_time_limit, last_arrival + settings_.lease);
}

void LeaseKeeper::Request(Duty duty, const Lease* current, const consensus::Replica& replica, Micros now) {
  Held& held = held_[duty];
  if (held.requested_at != 0 && now - held.requested_at < kRequestInterval) return;
  held.requested_at = now;
  acquire_(
      {std::string(Name(duty)), settings_.holder, current == nullptr ? 0 : current->token, replica.term()});
}

std::optional<FencingToken> LeaseKeeper::Grant(Duty duty, const consensus::Replica& replica,
                                               const DutyTable& table, Micros now) const {
  if (!IsSureToLead(replica, now)) return std::nullopt;
  const Lease* lease = table.Find(duty);
  const Held& held = held_.at(duty);
  if (lease == nullptr || lease->holder != settings_.holder || lease->token != held.token)
    return std::nullopt;
  if (now < held.acts_from) return std::nullopt;
  return lease->token;
}

}  // namespace violetwing::duties
