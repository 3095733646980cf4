// The leader lease, and how followers learn that their state is recent enough to be read (Ongaro 2014, 6.4).
#include <algorithm>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

// Heartbeats whose commits are not yet applied; further ones only cost freshness.
constexpr std::size_t kMaxPendingReadProofs = 64;

}  // namespace

// ---- Leader ----

// Only replicas that hold an entry of the leader's term count: they refuse their vote to any whose log ends
// in an earlier term, also where an election needs not wait for the end of the lease.
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

// Followers that have yet to catch up count too: a leader that stepped down meanwhile would have to send them
// everything again.
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

// The leader had this replica's reply before it sent the heartbeat, and what a quorum had confirmed by then
// was sent no longer ago than it says: both are measured back from this replica's own reading of its clock.
void Replica::AddReadProof(const Message& heartbeat) {
  if (heartbeat.follower_sent_at <= 0 || heartbeat.quorum_age < 0) return;
  const ReadProof proof{heartbeat.leader_commit, heartbeat.follower_sent_at - heartbeat.quorum_age};
  if (!pending_read_proofs_.empty() && pending_read_proofs_.back().commit >= proof.commit) {
    ReadProof& latest = pending_read_proofs_.back();
    if (latest.commit == proof.commit)
      latest.confirmed_at = std::max(latest.confirmed_at, proof.confirmed_at);
    return;
  }
  if (pending_read_proofs_.size() < kMaxPendingReadProofs) pending_read_proofs_.push_back(proof);
}

void Replica::ApplyReadProofs() {
  while (!pending_read_proofs_.empty() && pending_read_proofs_.front().commit <= applied_) {
    quorum_confirmed_at_ = std::max(quorum_confirmed_at_, pending_read_proofs_.front().confirmed_at);
    pending_read_proofs_.pop_front();
  }
}

}  // namespace violetwing::consensus
