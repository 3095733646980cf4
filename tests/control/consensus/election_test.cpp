// Single replicas, message by message: startup elections, the leader lease and quorum contact.
#include <catch2/catch.hpp>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

const Members kThree = {{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}};
constexpr Micros kStart = 1'000'000;
constexpr Micros kElectionDelayOver = kStart + Timing{}.startup_election_delay;
constexpr Term kTerm = 4;

// Replica "a" as it starts with a log that ends in `kTerm`.
Replica RestartedReplica() {
  StoredState stored;
  stored.hard_state = {kTerm, "b"};
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

// Whether the replica answers a pre-vote for the term as leaderless.
bool ReportsLeaderless(Replica& replica, Term asked, Micros now) {
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
  Micros now = kElectionDelayOver;
  for (int i = 0; i < 10; ++i) replica.Tick(now += Timing{}.election_slot_duration);
  for (const ReplicaId id : {"b", "c"}) {
    Message reply = From(id, MessageKind::kPreVoteReply, kTerm + 1);
    reply.leaderless = true;
    replica.Step(reply, now);
  }
  REQUIRE(replica.term() == kTerm + 1);
}

}  // namespace

TEST_CASE("A restarted replica reports itself leaderless after the startup election delay") {
  Replica replica = RestartedReplica();
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 1, kElectionDelayOver - 1));
  CHECK(ReportsLeaderless(replica, kTerm + 1, kElectionDelayOver));
}

TEST_CASE("A replica reports itself leaderless only at the candidate's own term") {
  Replica replica = RestartedReplica();
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 2, kElectionDelayOver));
  CHECK_FALSE(ReportsLeaderless(replica, kTerm, kElectionDelayOver));
}

TEST_CASE("A replica reports itself leaderless only to a candidate whose log is up to date") {
  Replica replica = RestartedReplica();
  Message request = From("b", MessageKind::kPreVote, kTerm + 1);
  request.index = 0;
  request.log_term = 0;
  replica.TakeEffects();
  replica.Step(request, kElectionDelayOver);
  CHECK(Sent(replica, MessageKind::kPreVoteReply).empty());
}

TEST_CASE("A replica with leader contact since its start is not leaderless and withholds its vote") {
  Replica replica = RestartedReplica();
  replica.Step(From("c", MessageKind::kHeartbeat, kTerm), kStart + 1);
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 1, kElectionDelayOver));
  CHECK_FALSE(VotesFor(replica, LeaderlessVote(), kElectionDelayOver));
}

TEST_CASE("A replica without leader contact votes at once if all voters are leaderless, otherwise waits") {
  Replica waiting = RestartedReplica();
  CHECK_FALSE(VotesFor(waiting, From("b", MessageKind::kVote, kTerm + 1), kElectionDelayOver));
  Replica replica = RestartedReplica();
  CHECK(VotesFor(replica, LeaderlessVote(), kElectionDelayOver));
}

TEST_CASE("A candidate does not report itself leaderless") {
  Replica replica = RestartedReplica();
  TickUntilCandidate(replica);
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 2, kElectionDelayOver + kStart));
}

TEST_CASE("A startup election before lease expiry needs every voter to be leaderless, not a quorum") {
  Replica replica = RestartedReplica();
  replica.Tick(kElectionDelayOver + Timing{}.election_slot_duration);
  Message reply = From("b", MessageKind::kPreVoteReply, kTerm + 1);
  reply.leaderless = true;
  replica.Step(reply, kElectionDelayOver);
  CHECK(replica.term() == kTerm);
  reply.from = "c";
  replica.Step(reply, kElectionDelayOver);
  CHECK(replica.term() == kTerm + 1);
  for (const Message& vote : Sent(replica, MessageKind::kVote)) CHECK(vote.leaderless);
}

namespace {

// A leader by the vote of one other, which holds none of its entries yet.
Replica ElectedReplica(Micros now) {
  Replica replica = RestartedReplica();
  TickUntilCandidate(replica);
  Message vote = From("b", MessageKind::kVoteReply, kTerm + 1);
  vote.granted = true;
  replica.Step(vote, now);
  return replica;
}

}  // namespace

TEST_CASE("A leader has a lease once a quorum stores an entry of its term") {
  const Micros now = kElectionDelayOver + kStart;
  Replica replica = ElectedReplica(now);
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

TEST_CASE("A leader has quorum contact only once it has applied all entries committed before its term") {
  const Micros now = kElectionDelayOver + kStart;
  Replica replica = ElectedReplica(now);
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

TEST_CASE(
    "A leader confirms its state as of the sending of heartbeats that a quorum has answered, not later") {
  const Micros now = kElectionDelayOver + kStart;
  Replica replica = ElectedReplica(now);
  CHECK(replica.StateConfirmedAt() == 0);  // it has yet to apply what was committed before its term
  Message held = From("b", MessageKind::kAppendReply, kTerm + 1);
  held.granted = true;
  held.index = replica.last();
  replica.Step(held, now);
  replica.OnLogDurable(replica.last(), kTerm + 1);
  Message answered = From("b", MessageKind::kHeartbeatReply, kTerm + 1);
  answered.sent_at = now;
  replica.Step(answered, now + 50'000);  // a read that was asked for in the meantime waits for the next one
  CHECK(replica.StateConfirmedAt() == now);
  Message of_later_term = From("c", MessageKind::kAppendReply, kTerm + 2);
  replica.Step(of_later_term, now + 60'000);  // another leader has replaced it
  CHECK(replica.StateConfirmedAt() <= now);
}

namespace {

constexpr Micros kReplySentAt = kElectionDelayOver + 100'000;
constexpr Micros kQuorumAge = 50'000;

// From leader "c": all up to entry 1 is committed, and it has a reply that "a" sent at `kReplySentAt`.
Message ConfirmingHeartbeat() {
  Message heartbeat = From("c", MessageKind::kHeartbeat, kTerm);
  heartbeat.commit = heartbeat.leader_commit = 1;
  heartbeat.follower_sent_at = kReplySentAt;
  heartbeat.quorum_age = kQuorumAge;
  return heartbeat;
}

}  // namespace

TEST_CASE("A follower's read validity counts from its own reply, however late the heartbeat is read") {
  constexpr Micros kValidUntil = kReplySentAt - kQuorumAge + Timing{}.follower_read_validity;
  Replica replica = RestartedReplica();
  replica.Step(ConfirmingHeartbeat(), kReplySentAt + 10'000);
  CHECK(replica.HasQuorumContact(kValidUntil - 1));
  CHECK_FALSE(replica.HasQuorumContact(kValidUntil));
  Replica late = RestartedReplica();  // it stood still with the heartbeat unread
  late.Step(ConfirmingHeartbeat(), kReplySentAt + 20 * kStart);
  CHECK_FALSE(late.HasQuorumContact(kReplySentAt + 20 * kStart));
}

TEST_CASE("A heartbeat without a lease, or that returns no reply, gives no quorum contact") {
  Message without_lease = ConfirmingHeartbeat();
  without_lease.quorum_age = -1;
  Message without_reply = ConfirmingHeartbeat();
  without_reply.follower_sent_at = 0;
  for (const Message& heartbeat : {without_lease, without_reply}) {
    Replica replica = RestartedReplica();
    replica.Step(heartbeat, kReplySentAt + 10'000);
    CHECK_FALSE(replica.HasQuorumContact(kReplySentAt + 10'000));
  }
}

TEST_CASE("A lagging follower gains quorum contact from the older proof once it has applied its commits") {
  Replica replica = RestartedReplica();
  Message ahead = ConfirmingHeartbeat();
  ahead.leader_commit = 2;
  replica.Step(ahead, kReplySentAt + 10'000);
  CHECK_FALSE(replica.HasQuorumContact(kReplySentAt + 10'000));
  Message later = ahead;  // a storm: there is more with each heartbeat
  later.leader_commit = 3;
  replica.Step(later, kReplySentAt + 20'000);
  Message entry = From("c", MessageKind::kAppend, kTerm);
  entry.entries = {{kTerm, EntryKind::kCommand, "x", {}}};
  entry.commit = 2;
  replica.Step(entry, kReplySentAt + 30'000);
  CHECK(replica.HasQuorumContact(kReplySentAt + 30'000));
}

}  // namespace violetwing::consensus
