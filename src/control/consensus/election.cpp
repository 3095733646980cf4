// Elections: when a replica requests votes, and to whom it grants its own (Ongaro 2014, 3.4, 9.6 and 6.4.1).
//
// A replica may have acknowledged a lease just before a restart, so it grants no vote for
// `min_election_timeout` after its start. If all voters have restarted (after a power failure, for example),
// no lease can be held and they need not wait. A candidate learns this from pre-vote replies in which every
// voter of the group reports, at the candidate's own term, that it is leaderless. A voter that has had
// contact with a leader since its start, leads, or is a candidate, does not report this. The report stays
// valid while votes are requested: a voter that becomes leader later does so in a term at least as high as
// the candidate's, and a term has only one leader. A leader may also be missing from the candidate's member
// list, if the candidate has not received a membership change. Such a leader has a lease only if a quorum
// stores an entry of its term, and at least one replica of that quorum rejects the candidate's log as out of
// date.
#include <algorithm>
#include <utility>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {

// ---- Timers ----

void Replica::Tick(Micros now) {
  now_ = now;
  if (leader()) {
    const bool grace_over = now - leader_since_ > timing_.min_election_timeout;
    if (!IsQuorumActive(now) && grace_over) return Resign(now);
    RemoveUnresponsiveLearners(now);
    if (now >= next_heartbeat_at_) SendHeartbeats(now);
    for (auto& [id, follower] : followers_)
      if (follower.match_index < last()) SendAppend(follower, now);
    return;
  }
  if (now >= election_deadline_ && IsMember(id_)) StartPreVote(now);
}

void Replica::ResetElectionTimer(Micros now) {
  if (InStartupPeriod(now)) {
    election_deadline_ = NextStartupSlot(now);
    return;
  }
  const auto slot_offset = static_cast<Micros>(ElectionRank()) * timing_.election_slot_duration;
  election_deadline_ = now + timing_.min_election_timeout + timing_.contact_skew + slot_offset;
}

void Replica::ScheduleNextAttempt(Micros now) {
  const auto round = static_cast<Micros>(members_.size()) * timing_.election_slot_duration;
  election_deadline_ = InStartupPeriod(now) ? NextStartupSlot(now) : now + round + SlotJitter();
}

std::size_t Replica::PositionOf(const ReplicaId& id) const {
  const auto it =
      std::find_if(members_.begin(), members_.end(), [&](const Member& member) { return member.id == id; });
  return static_cast<std::size_t>(it - members_.begin());
}

// The order differs between terms and groups, so that the groups led by a failed machine get their new
// leaders on different machines and leaders do not accumulate on one machine permanently. All members use the
// same term, which they know from the leader's heartbeats.
std::uint64_t Replica::ElectionKey(const ReplicaId& id) const {
  const std::uint64_t group = Hash(timing_.startup_first_candidate, "election order");
  return Hash(group + hard_state_.term, id);
}

// The previous leader has the last slot.
std::size_t Replica::ElectionRank() const {
  if (id_ == last_leader_) return members_.size() - 1;
  const std::uint64_t own_key = ElectionKey(id_);
  std::size_t rank = 0;
  for (const Member& member : members_)
    rank += member.id != last_leader_ && ElectionKey(member.id) < own_key ? 1U : 0U;
  return rank;
}

// Members that disagree about the previous leader may compute the same slot. The jitter separates their next
// attempts.
Micros Replica::SlotJitter() {
  const auto max_jitter = static_cast<std::uint64_t>(timing_.election_slot_duration / 2);
  return static_cast<Micros>(random_.Below(max_jitter + 1));
}

// Slots are counted from the start of this replica. Since the others may have started at other times, slots
// of two replicas can coincide. Each slot therefore has a random jitter, and the period between a replica's
// slots grows with each failed election.
Micros Replica::NextStartupSlot(Micros now) {
  const std::size_t count = std::max<std::size_t>(members_.size(), 1);
  const std::size_t position = PositionOf(id_);
  const auto slot = static_cast<Micros>((position + count - timing_.startup_first_candidate % count) % count);
  const Micros period =
      static_cast<Micros>(count) * timing_.election_slot_duration * (1 + elections_started_);
  const Micros jitter = SlotJitter();
  Micros next = started_at_ + timing_.startup_election_delay + slot * timing_.election_slot_duration + jitter;
  while (next <= now) next += period;
  return next;
}

// ---- Roles ----

void Replica::BecomeFollower(Term term, std::optional<Member> leader) {
  role_ = Role::kFollower;
  known_leader_ = std::move(leader);
  followers_.clear();
  if (term > hard_state_.term) {
    hard_state_ = {term, {}};
    effects_.hard_state = hard_state_;
  }
  ResetElectionTimer(now_);
}

void Replica::StartPreVote(Micros now) {
  ScheduleNextAttempt(now);
  known_leader_.reset();
  role_ = Role::kPreCandidate;
  Message request = NewMessage(MessageKind::kPreVote, {});
  request.term = hard_state_.term + 1;
  RequestVotes(std::move(request), now);
}

void Replica::StartElection(Micros now) {
  ++elections_started_;
  ScheduleNextAttempt(now);
  known_leader_.reset();
  role_ = Role::kCandidate;
  hard_state_ = {hard_state_.term + 1, id_};
  effects_.hard_state = hard_state_;
  Message request = NewMessage(MessageKind::kVote, {});
  request.leaderless = AllVotersLeaderless();
  RequestVotes(std::move(request), now);
}

void Replica::RequestVotes(Message request, Micros now) {
  votes_granted_ = {id_};
  leaderless_voters_.clear();
  if (IsLeaderless(now)) leaderless_voters_ = {id_};
  request.index = last();
  request.log_term = TermAt(last());
  for (const Member& member : members_) {
    if (member.id == id_) continue;
    request.to = member.id;
    effects_.messages_after_write.push_back(request);
  }
  CountVotes(now);
}

void Replica::CountVotes(Micros now) {
  std::size_t granted = 0;
  for (const Member& member : members_) granted += votes_granted_.count(member.id);
  const bool elected = granted >= Quorum();
  if (role_ == Role::kPreCandidate && (elected || AllVotersLeaderless())) return StartElection(now);
  if (role_ == Role::kCandidate && elected) BecomeLeader(now);
}

void Replica::BecomeLeader(Micros now) {
  role_ = Role::kLeader;
  last_leader_ = id_;
  seen_leader_ = true;
  leader_since_ = now;
  durable_index_ = 0;  // advanced by OnLogDurable from here on
  followers_.clear();
  for (const Member& member : members_)
    if (member.id == id_) known_leader_ = member;
  SyncFollowers(now);
  term_start_index_ = AppendEntry({hard_state_.term, EntryKind::kNoop, {}, {}});
  SendHeartbeats(now);
  SendAppends(now);
}

// ---- Succession ----

void Replica::Resign(Micros now) {
  now_ = now;
  if (!leader()) return;
  std::uint32_t rank = 0;
  for (const FollowerProgress* successor : Successors(now)) {
    Message message = HeartbeatFor(*successor);
    message.sent_at = now;
    message.succession_rank = rank++;
    effects_.messages.push_back(std::move(message));
  }
  BecomeFollower(hard_state_.term, {});
}

std::vector<const FollowerProgress*> Replica::Successors(Micros now) const {
  std::vector<const FollowerProgress*> successors;
  for (const auto& [id, follower] : followers_)
    if (IsMember(id)) successors.push_back(&follower);
  const auto is_available = [&](const FollowerProgress& follower) {
    return draining_.count(follower.member.id) == 0 &&
           now - follower.last_contact_at < timing_.min_election_timeout;
  };
  std::sort(successors.begin(), successors.end(), [&](const FollowerProgress* a, const FollowerProgress* b) {
    const bool a_available = is_available(*a);
    const bool b_available = is_available(*b);
    if (a_available != b_available) return a_available;
    if (a->match_index != b->match_index) return a->match_index > b->match_index;
    return ElectionKey(a->member.id) < ElectionKey(b->member.id);
  });
  return successors;
}

// No lease of this term or an earlier one can still be held, so there is no lease to wait for: the leader of
// this term has given up its own, and the voters that elected it had waited until all earlier leases expired.
// The lease of a later leader is not affected, because its voters are in a later term and ignore this
// resignation (see OnHeartbeat).
void Replica::OnLeaderResigned(std::uint32_t rank, Micros now) {
  BecomeFollower(hard_state_.term, {});
  resigned_term_ = hard_state_.term;
  last_leader_contact_at_ = now - timing_.min_election_timeout;
  election_deadline_ = now + static_cast<Micros>(rank) * timing_.election_slot_duration;
}

// ---- Votes ----

bool Replica::IsLogUpToDate(const Message& candidate) const {
  const Term last_term = TermAt(last());
  return candidate.log_term > last_term || (candidate.log_term == last_term && candidate.index >= last());
}

// True if this process has neither led nor had contact with a leader, and is not a candidate, which votes in
// flight may make the leader.
bool Replica::IsLeaderless(Micros now) const {
  const bool passive = role_ == Role::kFollower || role_ == Role::kPreCandidate;
  return !seen_leader_ && passive && now - started_at_ >= timing_.startup_election_delay;
}

bool Replica::AllVotersLeaderless() const {
  return std::all_of(members_.begin(), members_.end(),
                     [&](const Member& member) { return leaderless_voters_.count(member.id) > 0; });
}

void Replica::OnPreVote(const Message& message, Micros now) {
  const bool electable = message.term > hard_state_.term && IsLogUpToDate(message);
  const bool lease_may_be_held = LeaseMayBeHeld(now);
  Message reply = NewMessage(MessageKind::kPreVoteReply, message.from);
  reply.term = message.term;
  reply.granted = electable && !lease_may_be_held;
  // Only at the candidate's own term: this replica can then become leader only in a higher term.
  reply.leaderless = electable && message.term == hard_state_.term + 1 && IsLeaderless(now);
  if (lease_may_be_held && !reply.leaderless) return;
  effects_.messages.push_back(std::move(reply));
}

void Replica::OnVote(const Message& message, Micros now) {
  // While a lease may be held, no other leader is elected and the term does not increase.
  const bool no_lease = message.leaderless && !seen_leader_;
  if (LeaseMayBeHeld(now) && !no_lease) return;
  if (message.term > hard_state_.term) BecomeFollower(message.term, {});
  Message reply = NewMessage(MessageKind::kVoteReply, message.from);
  reply.granted = message.term == hard_state_.term && role_ == Role::kFollower && IsLogUpToDate(message) &&
                  (hard_state_.vote.empty() || hard_state_.vote == message.from);
  if (reply.granted && hard_state_.vote.empty()) {
    hard_state_.vote = message.from;
    effects_.hard_state = hard_state_;
  }
  if (reply.granted) ResetElectionTimer(now);
  effects_.messages_after_write.push_back(std::move(reply));
}

void Replica::OnVoteReply(const Message& message, Micros now) {
  const bool pre_vote = message.kind == MessageKind::kPreVoteReply;
  if (!pre_vote && message.term > hard_state_.term) return BecomeFollower(message.term, {});
  const bool expected = pre_vote ? role_ == Role::kPreCandidate && message.term == hard_state_.term + 1
                                 : role_ == Role::kCandidate && message.term == hard_state_.term;
  if (!expected) return;
  if (message.granted) votes_granted_.insert(message.from);
  if (message.leaderless) leaderless_voters_.insert(message.from);
  CountVotes(now);
}

}  // namespace violetwing::consensus
