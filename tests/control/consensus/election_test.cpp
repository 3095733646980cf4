// Single replicas, message by message: when one says that it knows of no leader, and when a leader has a
// lease.
#include <catch2/catch.hpp>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

const Members kThree = {{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}};
constexpr Micros kStart = 1'000'000;
constexpr Micros kSettled = kStart + Timing{}.startup_election_delay;
constexpr Term kTerm = 4;

// Replica "a" as it starts with a log that ends in `kTerm`.
Replica Restarted() {
  StoredState stored;
  stored.hard = {kTerm, "b"};
  stored.entries = {{kTerm, EntryKind::kNoop, {}, {}}};
  return Replica("a", kThree, stored, Timing{}, 1, kStart);
}

Message From(const ReplicaId& sender, MessageKind kind, Term term) {
  Message message;
  message.kind = kind;
  message.from = sender;
  message.to = "a";
  message.term = term;
  message.index = 1;
  message.log_term = kTerm;
  return message;
}

std::vector<Message> Sent(Replica& replica, MessageKind kind) {
  std::vector<Message> out;
  const Effects effects = replica.TakeEffects();
  for (const auto* messages : {&effects.messages, &effects.messages_after_write})
    for (const Message& message : *messages)
      if (message.kind == kind) out.push_back(message);
  return out;
}

// Whether the replica answers a pre-vote for the term by saying that it knows of no leader.
bool SaysLeaderless(Replica& replica, Term asked, Micros now) {
  replica.TakeEffects();
  replica.Step(From("b", MessageKind::kPreVote, asked), now);
  const auto replies = Sent(replica, MessageKind::kPreVoteReply);
  return !replies.empty() && replies[0].leaderless;
}

bool VotesFor(Replica& replica, const Message& request, Micros now) {
  replica.TakeEffects();
  replica.Step(request, now);
  const auto replies = Sent(replica, MessageKind::kVoteReply);
  return !replies.empty() && replies[0].granted;
}

Message LeaderlessVote() {
  Message vote = From("b", MessageKind::kVote, kTerm + 1);
  vote.leaderless = true;
  return vote;
}

void TickUntilCandidate(Replica& replica) {
  Micros now = kSettled;
  for (int i = 0; i < 10; ++i) replica.Tick(now += Timing{}.startup_slot_duration);
  for (const ReplicaId id : {"b", "c"}) {
    Message reply = From(id, MessageKind::kPreVoteReply, kTerm + 1);
    reply.leaderless = true;
    replica.Step(reply, now);
  }
  REQUIRE(replica.term() == kTerm + 1);
}

}  // namespace

TEST_CASE("A replica that has started says that it knows of no leader, once it has settled") {
  Replica replica = Restarted();
  CHECK_FALSE(SaysLeaderless(replica, kTerm + 1, kSettled - 1));
  CHECK(SaysLeaderless(replica, kTerm + 1, kSettled));
}

TEST_CASE("It says so only at the candidate's own term: at another it may yet come to lead in one below") {
  Replica replica = Restarted();
  CHECK_FALSE(SaysLeaderless(replica, kTerm + 2, kSettled));
  CHECK_FALSE(SaysLeaderless(replica, kTerm, kSettled));
}

TEST_CASE("It says so only to a candidate whose log is as long") {
  Replica replica = Restarted();
  Message request = From("b", MessageKind::kPreVote, kTerm + 1);
  request.index = 0;
  request.log_term = 0;
  replica.TakeEffects();
  replica.Step(request, kSettled);
  CHECK(Sent(replica, MessageKind::kPreVoteReply).empty());
}

TEST_CASE("A replica that has heard a leader since its start does not say so, and holds its vote back") {
  Replica replica = Restarted();
  replica.Step(From("c", MessageKind::kHeartbeat, kTerm), kStart + 1);
  CHECK_FALSE(SaysLeaderless(replica, kTerm + 1, kSettled));
  CHECK_FALSE(VotesFor(replica, LeaderlessVote(), kSettled));
}

TEST_CASE("A replica that has heard no leader votes at once where all know of none, otherwise it waits") {
  Replica waiting = Restarted();
  CHECK_FALSE(VotesFor(waiting, From("b", MessageKind::kVote, kTerm + 1), kSettled));
  Replica replica = Restarted();
  CHECK(VotesFor(replica, LeaderlessVote(), kSettled));
}

TEST_CASE("A candidate does not say so: the votes on their way may make it the leader of its term") {
  Replica replica = Restarted();
  TickUntilCandidate(replica);
  CHECK_FALSE(SaysLeaderless(replica, kTerm + 2, kSettled + kStart));
}

TEST_CASE("A candidate needs the word of every voter, a majority's is not enough before a lease is over") {
  Replica replica = Restarted();
  replica.Tick(kSettled + Timing{}.startup_slot_duration);
  Message reply = From("b", MessageKind::kPreVoteReply, kTerm + 1);
  reply.leaderless = true;
  replica.Step(reply, kSettled);
  CHECK(replica.term() == kTerm);
  reply.from = "c";
  replica.Step(reply, kSettled);
  CHECK(replica.term() == kTerm + 1);
  for (const Message& vote : Sent(replica, MessageKind::kVote)) CHECK(vote.leaderless);
}

namespace {

// A leader by the vote of one other, which holds none of its entries yet.
Replica Elected(Micros now) {
  Replica replica = Restarted();
  TickUntilCandidate(replica);
  Message vote = From("b", MessageKind::kVoteReply, kTerm + 1);
  vote.granted = true;
  replica.Step(vote, now);
  return replica;
}

}  // namespace

TEST_CASE("A leader has a lease once a quorum holds an entry of its term") {
  const Micros now = kSettled + kStart;
  Replica replica = Elected(now);
  REQUIRE(replica.leader());
  Message confirmed = From("b", MessageKind::kHeartbeatReply, kTerm + 1);
  confirmed.sent_at = now;
  replica.Step(confirmed, now + 1'000);
  CHECK_FALSE(replica.HasLease(now + 1'000));
  Message held = From("b", MessageKind::kAppendReply, kTerm + 1);
  held.granted = true;
  held.index = replica.last();
  replica.Step(held, now + 2'000);
  CHECK(replica.HasLease(now + 2'000));
}

TEST_CASE("A leader is in touch only once it has applied all that was committed before its term") {
  const Micros now = kSettled + kStart;
  Replica replica = Elected(now);
  Message held = From("b", MessageKind::kAppendReply, kTerm + 1);
  held.granted = true;
  held.index = replica.last();
  replica.Step(held, now);
  Message confirmed = From("b", MessageKind::kHeartbeatReply, kTerm + 1);
  confirmed.sent_at = now;
  replica.Step(confirmed, now);
  REQUIRE(replica.HasLease(now));
  CHECK_FALSE(replica.HasQuorumContact(
      now));  // its own disk has not written the entry of its term: a quorum lacks it
  replica.OnLogDurable(replica.last(), kTerm + 1);
  CHECK(replica.HasQuorumContact(now));
}

namespace {

constexpr Micros kReplied = kSettled + 100'000;
constexpr Micros kQuorumAge = 50'000;

// From leader "c": all up to entry 1 is committed, and it has a reply that "a" sent at `kReplied`.
Message ProvingHeartbeat() {
  Message heartbeat = From("c", MessageKind::kHeartbeat, kTerm);
  heartbeat.commit = heartbeat.leader_commit = 1;
  heartbeat.follower_sent_at = kReplied;
  heartbeat.quorum_age = kQuorumAge;
  return heartbeat;
}

}  // namespace

TEST_CASE("A follower's proof counts from its own reply, however late the heartbeat is read") {
  constexpr Micros kProvenUntil = kReplied - kQuorumAge + Timing{}.follower_read_validity;
  Replica replica = Restarted();
  replica.Step(ProvingHeartbeat(), kReplied + 10'000);
  CHECK(replica.HasQuorumContact(kProvenUntil - 1));
  CHECK_FALSE(replica.HasQuorumContact(kProvenUntil));
  Replica late = Restarted();  // it stood still with the heartbeat unread
  late.Step(ProvingHeartbeat(), kReplied + 20 * kStart);
  CHECK_FALSE(late.HasQuorumContact(kReplied + 20 * kStart));
}

TEST_CASE("A heartbeat of a leader without a lease proves nothing, nor one that returns no reply") {
  Message without_lease = ProvingHeartbeat();
  without_lease.quorum_age = -1;
  Message without_reply = ProvingHeartbeat();
  without_reply.follower_sent_at = 0;
  for (const Message& heartbeat : {without_lease, without_reply}) {
    Replica replica = Restarted();
    replica.Step(heartbeat, kReplied + 10'000);
    CHECK_FALSE(replica.HasQuorumContact(kReplied + 10'000));
  }
}

TEST_CASE("A follower that lacks what is committed is in touch once it has applied it, by the older proof") {
  Replica replica = Restarted();
  Message ahead = ProvingHeartbeat();
  ahead.leader_commit = 2;
  replica.Step(ahead, kReplied + 10'000);
  CHECK_FALSE(replica.HasQuorumContact(kReplied + 10'000));
  Message later = ahead;  // a storm: there is more with each heartbeat
  later.leader_commit = 3;
  replica.Step(later, kReplied + 20'000);
  Message entry = From("c", MessageKind::kAppend, kTerm);
  entry.entries = {{kTerm, EntryKind::kCommand, "x", {}}};
  entry.commit = 2;
  replica.Step(entry, kReplied + 30'000);
  CHECK(replica.HasQuorumContact(kReplied + 30'000));
}

}  // namespace violetwing::consensus
