// Elections of a replica: when it looks for votes, whom it votes for, and the leader's lease.
//
// A replica that has started may have confirmed a lease in its incarnation before, so it gives no vote for
// `election_least`. Where all voters have started (all lost power, say) nobody is there to hold a lease, and
// they need not wait. A candidate is told so by each voter of the group, in replies to pre-votes at its own
// term; a voter that has heard a leader since its start, leads, or is a candidate, does not say it. It stays
// true while votes are asked for: whoever of them comes to lead later does so in a term at least as high as
// the candidate's, and of one term there is one leader. A leader whom the candidate's group does not name (a
// change of members that the candidate has not heard of) has no lease without a quorum that holds an entry of
// its term, and one of those finds the candidate's log out of date.
#include <algorithm>
#include <utility>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {

// ---- Time and roles ----

void Replica::Tick(Micros now) {
  now_ = now;
  if (leader()) {
    if (!HearsQuorum(now) && now - led_since_ > timing_.election_least) return BecomeFollower(hard_.term, {});
    ForgetSilentLearners(now);
    if (now >= heartbeat_at_) SendHeartbeats(now);
    for (auto& [id, follower] : followers_)
      if (follower.match < last()) SendAppend(follower, now);
    return;
  }
  if (now >= election_at_ && IsMember(id_)) Campaign(false, now);
}

void Replica::ResetElection(Micros now) {
  if (Starting(now)) {
    election_at_ = NextTurn(now);
    return;
  }
  const auto spread = static_cast<std::uint64_t>(timing_.election_most - timing_.election_least);
  election_at_ = now + timing_.election_least + static_cast<Micros>(random_.Below(spread + 1));
}

// The next of this replica's turns to look for votes while the group starts. Turns are counted from its own
// start: where the others started at other times two may fall together, so each is moved a little by chance,
// and turns come slower with each time that votes were asked for in vain.
Micros Replica::NextTurn(Micros now) {
  const std::size_t count = std::max<std::size_t>(members_.size(), 1);
  std::size_t place = 0;
  while (place < members_.size() && members_[place].id != id_) ++place;
  const auto rank = static_cast<Micros>((place + count - timing_.start_first % count) % count);
  const Micros round = static_cast<Micros>(count) * timing_.start_turn * (1 + campaigns_);
  Micros turn = started_at_ + timing_.settle + rank * timing_.start_turn +
                static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(timing_.start_turn) / 2));
  while (turn <= now) turn += round;
  return turn;
}

void Replica::BecomeFollower(Term term, std::optional<Member> leader) {
  role_ = Role::kFollower;
  known_leader_ = std::move(leader);
  followers_.clear();
  if (term > hard_.term) {
    hard_ = {term, {}};
    effects_.hard = hard_;
  }
  ResetElection(now_);
}

void Replica::Campaign(bool real, Micros now) {
  if (real) ++campaigns_;
  ResetElection(now);
  known_leader_.reset();
  role_ = real ? Role::kCandidate : Role::kPreCandidate;
  if (real) {
    hard_ = {hard_.term + 1, id_};
    effects_.hard = hard_;
  }
  const bool leaderless = real && AllKnowNoLeader();
  votes_ = {id_};
  leaderless_.clear();
  if (KnowsNoLeader(now)) leaderless_ = {id_};
  for (const Member& member : members_) {
    if (member.id == id_) continue;
    Message message = Make(real ? MessageKind::kVote : MessageKind::kPreVote, member.id);
    message.term = real ? hard_.term : hard_.term + 1;
    message.index = last();
    message.log_term = TermAt(last());
    message.leaderless = leaderless;
    effects_.messages_after_write.push_back(std::move(message));
  }
  CountVotes(now);
}

void Replica::CountVotes(Micros now) {
  std::size_t granted = 0;
  for (const Member& member : members_) granted += votes_.count(member.id);
  const bool elected = granted >= Quorum();
  if (role_ == Role::kPreCandidate && (elected || AllKnowNoLeader())) return Campaign(true, now);
  if (role_ == Role::kCandidate && elected) BecomeLeader(now);
}

void Replica::BecomeLeader(Micros now) {
  role_ = Role::kLeader;
  met_leader_ = true;
  led_since_ = now;
  written_ = 0;  // counted anew, as writes of this term are told
  followers_.clear();
  for (const Member& member : members_)
    if (member.id == id_) known_leader_ = member;
  SyncFollowers(now);
  term_start_ = Append({hard_.term, EntryKind::kNoop, {}, {}});
  SendHeartbeats(now);
  Broadcast(now);
}

// Only replicas that hold an entry of the leader's term count: they refuse their vote to any whose log ends
// in an earlier term, also where an election needs not wait for the end of the lease.
Micros Replica::LeaseStart() const {
  return ReachedByQuorum(now_, [this](const Follower& follower) {
    return follower.match >= term_start_ ? follower.confirmed_at : 0;
  });
}

bool Replica::HasLease(Micros now) const {
  if (!leader()) return false;
  const Micros start = members_.size() == 1 ? now : LeaseStart();
  return start > 0 && now - start < timing_.lease;
}

// Also of followers that have yet to catch up: a leader that gave up meanwhile would send them all anew.
bool Replica::HearsQuorum(Micros now) const {
  if (members_.size() == 1) return true;
  const Micros confirmed =
      ReachedByQuorum(now, [](const Follower& follower) { return follower.confirmed_at; });
  return confirmed > 0 && now - confirmed < timing_.election_least;
}

bool Replica::HasQuorumContact(Micros now) const {
  if (leader()) return Ready() && HasLease(now);
  return known_leader_.has_value() && proven_at_ > 0 && now - proven_at_ < timing_.follower_proof;
}

// ---- Votes ----

bool Replica::UpToDate(const Message& candidate) const {
  const Term own = TermAt(last());
  return candidate.log_term > own || (candidate.log_term == own && candidate.index >= last());
}

bool Replica::LeaseMayHold(Micros now) const {
  return now - leader_heard_at_ < timing_.election_least || (leader() && HasLease(now));
}

// Whether no lease can depend on this replica: its process has neither led nor heard a leader, and is not a
// candidate that votes under way may make one.
bool Replica::KnowsNoLeader(Micros now) const {
  const bool passive = role_ == Role::kFollower || role_ == Role::kPreCandidate;
  return !met_leader_ && passive && now - started_at_ >= timing_.settle;
}

bool Replica::AllKnowNoLeader() const {
  return std::all_of(members_.begin(), members_.end(),
                     [&](const Member& member) { return leaderless_.count(member.id) > 0; });
}

void Replica::OnPreVote(const Message& message, Micros now) {
  const bool electable = message.term > hard_.term && UpToDate(message);
  const bool held = LeaseMayHold(now);
  Message reply = Make(MessageKind::kPreVoteReply, message.from);
  reply.term = message.term;
  reply.granted = electable && !held;
  // At the candidate's own term: whatever this replica comes to lead later is of a higher one.
  reply.leaderless = electable && message.term == hard_.term + 1 && KnowsNoLeader(now);
  if (held && !reply.leaderless) return;
  effects_.messages.push_back(std::move(reply));
}

void Replica::OnVote(const Message& message, Micros now) {
  // While a leader's lease may hold, nobody else is elected, and terms do not rise.
  const bool no_lease = message.leaderless && !met_leader_;
  if (LeaseMayHold(now) && !no_lease) return;
  if (message.term > hard_.term) BecomeFollower(message.term, {});
  Message reply = Make(MessageKind::kVoteReply, message.from);
  reply.granted = message.term == hard_.term && role_ == Role::kFollower && UpToDate(message) &&
                  (hard_.vote.empty() || hard_.vote == message.from);
  if (reply.granted && hard_.vote.empty()) {
    hard_.vote = message.from;
    effects_.hard = hard_;
  }
  if (reply.granted) ResetElection(now);
  effects_.messages_after_write.push_back(std::move(reply));
}

void Replica::OnVoteReply(const Message& message, Micros now) {
  const bool pre = message.kind == MessageKind::kPreVoteReply;
  if (!pre && message.term > hard_.term) return BecomeFollower(message.term, {});
  const bool awaited = pre ? role_ == Role::kPreCandidate && message.term == hard_.term + 1
                           : role_ == Role::kCandidate && message.term == hard_.term;
  if (!awaited) return;
  if (message.granted) votes_.insert(message.from);
  if (message.leaderless) leaderless_.insert(message.from);
  CountVotes(now);
}

}  // namespace violetwing::consensus
