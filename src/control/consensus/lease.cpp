// The leader lease, and the confirmations by which a follower knows that its state is recent enough to be
// read (Ongaro 2014, 6.4).
#include <algorithm>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

// Maximum number of pending confirmations. When further ones are dropped, reads only become less fresh.
constexpr std::size_t kMaxPendingConfirmations = 64;

}  // namespace

// ---- Leader ----

// Only replicas that store an entry of the leader's term count. They reject any candidate whose log ends in
// an earlier term, even in an election that does not wait for the lease to expire.
Micros Replica::LeaseStart() const {
  return ReachedByQuorum(now_, [this](const FollowerProgress& follower) {
    return follower.match_index >= term_start_index_ ? follower.acknowledged_heartbeat_sent_at : 0;
  });
}

bool Replica::HasLease(Micros now) const {
  if (!leader()) return false;
  const Micros start = members_.size() == 1 ? now : LeaseStart();
  return start > 0 && now - start < timing_.lease_duration;
}

// Followers that are still catching up count too: if the leader stepped down while they catch up, everything
// would have to be sent to them again.
bool Replica::IsQuorumActive(Micros now) const {
  if (members_.size() == 1) return true;
  const Micros acknowledged = ReachedByQuorum(
      now, [](const FollowerProgress& follower) { return follower.acknowledged_heartbeat_sent_at; });
  return acknowledged > 0 && now - acknowledged < timing_.min_election_timeout;
}

bool Replica::LeaseMayBeHeld(Micros now) const {
  return now - last_leader_contact_at_ < timing_.min_election_timeout || (leader() && HasLease(now));
}

// ---- Followers ----

bool Replica::HasQuorumContact(Micros now) const {
  if (leader()) return Ready() && HasLease(now);
  return known_leader_.has_value() && quorum_confirmed_at_ > 0 &&
         now - quorum_confirmed_at_ < timing_.follower_read_validity;
}

Micros Replica::StateConfirmedAt() const {
  if (!leader()) return quorum_confirmed_at_;
  if (!Ready()) return 0;
  return members_.size() == 1 ? now_ : LeaseStart();
}

// The leader received this replica's reply before it sent the heartbeat, and at that time the quorum's
// confirmation was at most `quorum_age` old. Subtracting that age from the time of the reply therefore gives
// a lower bound of the confirmation time on this replica's own clock.
void Replica::AddQuorumConfirmation(const Message& heartbeat) {
  if (heartbeat.follower_sent_at <= 0 || heartbeat.quorum_age < 0) return;
  const QuorumConfirmation confirmation{heartbeat.leader_commit,
                                        heartbeat.follower_sent_at - heartbeat.quorum_age};
  if (!pending_confirmations_.empty() && pending_confirmations_.back().commit >= confirmation.commit) {
    QuorumConfirmation& latest = pending_confirmations_.back();
    if (latest.commit == confirmation.commit)
      latest.confirmed_at = std::max(latest.confirmed_at, confirmation.confirmed_at);
    return;
  }
  if (pending_confirmations_.size() < kMaxPendingConfirmations)
    pending_confirmations_.push_back(confirmation);
}

void Replica::ApplyQuorumConfirmations() {
  while (!pending_confirmations_.empty() && pending_confirmations_.front().commit <= applied_) {
    quorum_confirmed_at_ = std::max(quorum_confirmed_at_, pending_confirmations_.front().confirmed_at);
    pending_confirmations_.pop_front();
  }
}

}  // namespace violetwing::consensus
