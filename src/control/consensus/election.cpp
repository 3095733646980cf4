// Elections: when a replica asks for votes, and whom it votes for (Ongaro 2014, 3.4, 9.6 and 6.4.1).
//
// A replica that has started may have acknowledged a lease before its restart, so it gives no vote for
// `min_election_timeout`. Where all voters have started (after a power failure, say) nobody can hold a lease,
// and they need not wait. A candidate learns this from each voter of the group, in replies to pre-votes at
// its own term; a voter that has had contact with a leader since its start, leads, or is a candidate, does
// not claim it. The claim stays true while votes are requested: whoever of them comes to lead later does so
// in a term at least as high as the candidate's, and of one term there is one leader. A leader whom the
// candidate's group does not name (a membership change that the candidate has not received) has no lease
// without a quorum that holds an entry of its term, and one of those finds the candidate's log out of date.
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
  const auto turn = static_cast<Micros>(ElectionRank()) * timing_.election_slot_duration;
  election_deadline_ = now + timing_.min_election_timeout + timing_.contact_skew + turn;
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

// Another order for each term and group: the groups that a machine led go to different ones when it fails,
// and do not gather at one for good. The members know the same term from the leader's heartbeats.
std::uint64_t Replica::ElectionKey(const ReplicaId& id) const {
  const std::uint64_t group = Hash(timing_.startup_first_candidate, "election order");
  return Hash(group + hard_.term, id);
}

// The last leader comes last.
std::size_t Replica::ElectionRank() const {
  if (id_ == last_leader_) return members_.size() - 1;
  const std::uint64_t own_key = ElectionKey(id_);
  std::size_t rank = 0;
  for (const Member& member : members_)
    rank += member.id != last_leader_ && ElectionKey(member.id) < own_key ? 1U : 0U;
  return rank;
}

// Members that differ in which leader was the last may have the same turn; their next ones differ.
Micros Replica::SlotJitter() {
  const auto most = static_cast<std::uint64_t>(timing_.election_slot_duration / 2);
  return static_cast<Micros>(random_.Below(most + 1));
}

// Slots are counted from this replica's own start. Where the others started at other times two may coincide,
// so each is moved a little at random, and slots come less often with each election that failed.
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
  if (term > hard_.term) {
    hard_ = {term, {}};
    effects_.hard_state = hard_;
  }
  ResetElectionTimer(now_);
}

void Replica::StartPreVote(Micros now) {
  ScheduleNextAttempt(now);
  known_leader_.reset();
  role_ = Role::kPreCandidate;
  Message request = NewMessage(MessageKind::kPreVote, {});
  request.term = hard_.term + 1;
  RequestVotes(std::move(request), now);
}

void Replica::StartElection(Micros now) {
  ++elections_started_;
  ScheduleNextAttempt(now);
  known_leader_.reset();
  role_ = Role::kCandidate;
  hard_ = {hard_.term + 1, id_};
  effects_.hard_state = hard_;
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
  durable_index_ = 0;  // counted from here on, by OnLogDurable
  followers_.clear();
  for (const Member& member : members_)
    if (member.id == id_) known_leader_ = member;
  SyncFollowers(now);
  term_start_index_ = AppendEntry({hard_.term, EntryKind::kNoop, {}, {}});
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
  BecomeFollower(hard_.term, {});
}

std::vector<const FollowerProgress*> Replica::Successors(Micros now) const {
  std::vector<const FollowerProgress*> successors;
  for (const auto& [id, follower] : followers_)
    if (IsMember(id)) successors.push_back(&follower);
  const auto is_available = [&](const FollowerProgress& follower) {
    return draining_.count(follower.member.id) == 0 &&
           now - follower.last_contact_at < timing_.min_election_timeout;
  };
  std::sort(successors.begin(), successors.end(),
            [&](const FollowerProgress* one, const FollowerProgress* other) {
              const bool one_available = is_available(*one);
              const bool other_available = is_available(*other);
              if (one_available != other_available) return one_available;
              if (one->match_index != other->match_index) return one->match_index > other->match_index;
              return ElectionKey(one->member.id) < ElectionKey(other->member.id);
            });
  return successors;
}

// No lease of this term, or of one before it, can be held any more, so that nobody has to wait for its end:
// the leader of this term has given its own up, and was elected by voters that had waited for the end of
// those before. A later leader's lease is kept from harm as its voters have a later term (see OnHeartbeat).
void Replica::OnLeaderResigned(std::uint32_t rank, Micros now) {
  BecomeFollower(hard_.term, {});
  resigned_term_ = hard_.term;
  last_leader_contact_at_ = now - timing_.min_election_timeout;
  election_deadline_ = now + static_cast<Micros>(rank) * timing_.election_slot_duration;
}

// ---- Votes ----

bool Replica::IsLogUpToDate(const Message& candidate) const {
  const Term last_term = TermAt(last());
  return candidate.log_term > last_term || (candidate.log_term == last_term && candidate.index >= last());
}

// Its process has neither led nor had contact with a leader, and is not a candidate that votes in flight may
// make one.
bool Replica::IsLeaderless(Micros now) const {
  const bool passive = role_ == Role::kFollower || role_ == Role::kPreCandidate;
  return !seen_leader_ && passive && now - started_at_ >= timing_.startup_election_delay;
}

bool Replica::AllVotersLeaderless() const {
  return std::all_of(members_.begin(), members_.end(),
                     [&](const Member& member) { return leaderless_voters_.count(member.id) > 0; });
}

void Replica::OnPreVote(const Message& message, Micros now) {
  const bool electable = message.term > hard_.term && IsLogUpToDate(message);
  const bool lease_may_be_held = LeaseMayBeHeld(now);
  Message reply = NewMessage(MessageKind::kPreVoteReply, message.from);
  reply.term = message.term;
  reply.granted = electable && !lease_may_be_held;
  // Only at the candidate's own term: whatever this replica comes to lead later is of a higher one.
  reply.leaderless = electable && message.term == hard_.term + 1 && IsLeaderless(now);
  if (lease_may_be_held && !reply.leaderless) return;
  effects_.messages.push_back(std::move(reply));
}

void Replica::OnVote(const Message& message, Micros now) {
  // While a lease may be held nobody else is elected, and terms do not rise.
  const bool no_lease = message.leaderless && !seen_leader_;
  if (LeaseMayBeHeld(now) && !no_lease) return;
  if (message.term > hard_.term) BecomeFollower(message.term, {});
  Message reply = NewMessage(MessageKind::kVoteReply, message.from);
  reply.granted = message.term == hard_.term && role_ == Role::kFollower && IsLogUpToDate(message) &&
                  (hard_.vote.empty() || hard_.vote == message.from);
  if (reply.granted && hard_.vote.empty()) {
    hard_.vote = message.from;
    effects_.hard_state = hard_;
  }
  if (reply.granted) ResetElectionTimer(now);
  effects_.messages_after_write.push_back(std::move(reply));
}

void Replica::OnVoteReply(const Message& message, Micros now) {
  const bool pre_vote = message.kind == MessageKind::kPreVoteReply;
  if (!pre_vote && message.term > hard_.term) return BecomeFollower(message.term, {});
  const bool expected = pre_vote ? role_ == Role::kPreCandidate && message.term == hard_.term + 1
                                 : role_ == Role::kCandidate && message.term == hard_.term;
  if (!expected) return;
  if (message.granted) votes_granted_.insert(message.from);
  if (message.leaderless) leaderless_voters_.insert(message.from);
  CountVotes(now);
}

}  // namespace violetwing::consensus
