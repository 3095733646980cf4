// Tests of a single replica with individual messages: startup elections, the leader lease and quorum contact.
#include <catch2/catch.hpp>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

const Members kThreeMembers = {{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}};
constexpr Micros kStart = 1'000'000;
constexpr Micros kElectionDelayEnd = kStart + Timing{}.startup_election_delay;
constexpr Term kTerm = 4;

// Replica "a" after a restart, with a log that ends in `kTerm`.
Replica RestartedReplica() {
  StoredState stored;
  stored.hard_state = {kTerm, "b"};
  stored.entries = {{kTerm, EntryKind::kNoop, {}, {}}};
  return Replica("a", kThreeMembers, stored, Timing{}, 1, kStart);
}

Message MessageFrom(const ReplicaId& sender, MessageKind kind, Term term) {
  Message message;
  message.kind = kind;
  message.from = sender;
  message.to = "a";
  message.term = term;
  message.index = 1;
  message.log_term = kTerm;
  return message;
}

std::vector<Message> SentMessages(Replica& replica, MessageKind kind) {
  std::vector<Message> out;
  const Effects effects = replica.TakeEffects();
  for (const auto* messages : {&effects.messages, &effects.messages_after_write})
    for (const Message& message : *messages)
      if (message.kind == kind) out.push_back(message);
  return out;
}

// Whether the replica reports itself leaderless in reply to a pre-vote for the term.
bool ReportsLeaderless(Replica& replica, Term requested_term, Micros now) {
  replica.TakeEffects();
  replica.Step(MessageFrom("b", MessageKind::kPreVote, requested_term), now);
  const auto replies = SentMessages(replica, MessageKind::kPreVoteReply);
  return !replies.empty() && replies[0].leaderless;
}

bool VotesFor(Replica& replica, const Message& request, Micros now) {
  replica.TakeEffects();
  replica.Step(request, now);
  const auto replies = SentMessages(replica, MessageKind::kVoteReply);
  return !replies.empty() && replies[0].granted;
}

Message LeaderlessVote() {
  Message vote = MessageFrom("b", MessageKind::kVote, kTerm + 1);
  vote.leaderless = true;
  return vote;
}

void TickUntilCandidate(Replica& replica) {
  Micros now = kElectionDelayEnd;
  for (int i = 0; i < 10; ++i) replica.Tick(now += Timing{}.election_slot_duration);
  for (const ReplicaId id : {"b", "c"}) {
    Message reply = MessageFrom(id, MessageKind::kPreVoteReply, kTerm + 1);
    reply.leaderless = true;
    replica.Step(reply, now);
  }
  REQUIRE(replica.term() == kTerm + 1);
}

}  // namespace

TEST_CASE("A restarted replica reports itself leaderless after the startup election delay") {
  Replica replica = RestartedReplica();
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 1, kElectionDelayEnd - 1));
  CHECK(ReportsLeaderless(replica, kTerm + 1, kElectionDelayEnd));
}

TEST_CASE("A replica reports itself leaderless only at the candidate's own term") {
  Replica replica = RestartedReplica();
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 2, kElectionDelayEnd));
  CHECK_FALSE(ReportsLeaderless(replica, kTerm, kElectionDelayEnd));
}

TEST_CASE("A replica reports itself leaderless only to a candidate whose log is up to date") {
  Replica replica = RestartedReplica();
  Message request = MessageFrom("b", MessageKind::kPreVote, kTerm + 1);
  request.index = 0;
  request.log_term = 0;
  replica.TakeEffects();
  replica.Step(request, kElectionDelayEnd);
  CHECK(SentMessages(replica, MessageKind::kPreVoteReply).empty());
}

TEST_CASE("A replica with leader contact since its start is not leaderless and withholds its vote") {
  Replica replica = RestartedReplica();
  replica.Step(MessageFrom("c", MessageKind::kHeartbeat, kTerm), kStart + 1);
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 1, kElectionDelayEnd));
  CHECK_FALSE(VotesFor(replica, LeaderlessVote(), kElectionDelayEnd));
}

TEST_CASE("A replica without leader contact votes at once if all voters are leaderless, otherwise waits") {
  Replica waiting = RestartedReplica();
  CHECK_FALSE(VotesFor(waiting, MessageFrom("b", MessageKind::kVote, kTerm + 1), kElectionDelayEnd));
  Replica replica = RestartedReplica();
  CHECK(VotesFor(replica, LeaderlessVote(), kElectionDelayEnd));
}

TEST_CASE("A candidate does not report itself leaderless") {
  Replica replica = RestartedReplica();
  TickUntilCandidate(replica);
  CHECK_FALSE(ReportsLeaderless(replica, kTerm + 2, kElectionDelayEnd + kStart));
}

TEST_CASE("A startup election before lease expiry needs every voter to be leaderless, not a quorum") {
  Replica replica = RestartedReplica();
  replica.Tick(kElectionDelayEnd + Timing{}.election_slot_duration);
  Message reply = MessageFrom("b", MessageKind::kPreVoteReply, kTerm + 1);
  reply.leaderless = true;
  replica.Step(reply, kElectionDelayEnd);
  CHECK(replica.term() == kTerm);
  reply.from = "c";
  replica.Step(reply, kElectionDelayEnd);
  CHECK(replica.term() == kTerm + 1);
  for (const Message& vote : SentMessages(replica, MessageKind::kVote)) CHECK(vote.leaderless);
}

namespace {

// A leader elected by the vote of one other replica, which does not store any of its entries yet.
Replica ElectedReplica(Micros now) {
  Replica replica = RestartedReplica();
  TickUntilCandidate(replica);
  Message vote = MessageFrom("b", MessageKind::kVoteReply, kTerm + 1);
  vote.granted = true;
  replica.Step(vote, now);
  return replica;
}

}  // namespace

TEST_CASE("A leader has a lease once a quorum stores an entry of its term") {
  const Micros now = kElectionDelayEnd + kStart;
  Replica replica = ElectedReplica(now);
  REQUIRE(replica.leader());
  Message heartbeat_reply = MessageFrom("b", MessageKind::kHeartbeatReply, kTerm + 1);
  heartbeat_reply.sent_at = now;
  replica.Step(heartbeat_reply, now + 1'000);
  CHECK_FALSE(replica.HasLease(now + 1'000));
  Message append_reply = MessageFrom("b", MessageKind::kAppendReply, kTerm + 1);
  append_reply.granted = true;
  append_reply.index = replica.last();
  replica.Step(append_reply, now + 2'000);
  CHECK(replica.HasLease(now + 2'000));
}

TEST_CASE("A leader has quorum contact only once it has applied all entries committed before its term") {
  const Micros now = kElectionDelayEnd + kStart;
  Replica replica = ElectedReplica(now);
  Message append_reply = MessageFrom("b", MessageKind::kAppendReply, kTerm + 1);
  append_reply.granted = true;
  append_reply.index = replica.last();
  replica.Step(append_reply, now);
  Message heartbeat_reply = MessageFrom("b", MessageKind::kHeartbeatReply, kTerm + 1);
  heartbeat_reply.sent_at = now;
  replica.Step(heartbeat_reply, now);
  REQUIRE(replica.HasLease(now));
  CHECK_FALSE(replica.HasQuorumContact(
      now));  // the entry of its term is not durable on its own disk, so no quorum stores it
  replica.OnLogDurable(replica.last(), kTerm + 1);
  CHECK(replica.HasQuorumContact(now));
}

TEST_CASE(
    "A leader's state is confirmed up to the sending time of heartbeats answered by a quorum, and no later") {
  const Micros now = kElectionDelayEnd + kStart;
  Replica replica = ElectedReplica(now);
  CHECK(replica.StateConfirmedAt() == 0);  // it has not applied the entries committed before its term
  Message append_reply = MessageFrom("b", MessageKind::kAppendReply, kTerm + 1);
  append_reply.granted = true;
  append_reply.index = replica.last();
  replica.Step(append_reply, now);
  replica.OnLogDurable(replica.last(), kTerm + 1);
  Message heartbeat_reply = MessageFrom("b", MessageKind::kHeartbeatReply, kTerm + 1);
  heartbeat_reply.sent_at = now;
  replica.Step(heartbeat_reply, now + 50'000);  // a read requested after the sending waits for the next reply
  CHECK(replica.StateConfirmedAt() == now);
  Message later_term_reply = MessageFrom("c", MessageKind::kAppendReply, kTerm + 2);
  replica.Step(later_term_reply, now + 60'000);  // a new leader has been elected
  CHECK(replica.StateConfirmedAt() <= now);
}

namespace {

constexpr Micros kReplySentAt = kElectionDelayEnd + 100'000;
constexpr Micros kQuorumAge = 50'000;

// From leader "c", which has committed entry 1 and received a reply that "a" sent at `kReplySentAt`.
Message ConfirmingHeartbeat() {
  Message heartbeat = MessageFrom("c", MessageKind::kHeartbeat, kTerm);
  heartbeat.commit = heartbeat.leader_commit = 1;
  heartbeat.follower_sent_at = kReplySentAt;
  heartbeat.quorum_age = kQuorumAge;
  return heartbeat;
}

}  // namespace

TEST_CASE("A follower's read validity counts from its own reply, even if it reads the heartbeat late") {
  constexpr Micros kValidUntil = kReplySentAt - kQuorumAge + Timing{}.follower_read_validity;
  Replica replica = RestartedReplica();
  replica.Step(ConfirmingHeartbeat(), kReplySentAt + 10'000);
  CHECK(replica.HasQuorumContact(kValidUntil - 1));
  CHECK_FALSE(replica.HasQuorumContact(kValidUntil));
  Replica late = RestartedReplica();  // its process was paused while the heartbeat was unread
  late.Step(ConfirmingHeartbeat(), kReplySentAt + 20 * kStart);
  CHECK_FALSE(late.HasQuorumContact(kReplySentAt + 20 * kStart));
}

TEST_CASE("A heartbeat without a lease or without the time of a reply gives no quorum contact") {
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

TEST_CASE(
    "A lagging follower gains quorum contact from the older confirmation once it has applied its commits") {
  Replica replica = RestartedReplica();
  Message ahead = ConfirmingHeartbeat();
  ahead.leader_commit = 2;
  replica.Step(ahead, kReplySentAt + 10'000);
  CHECK_FALSE(replica.HasQuorumContact(kReplySentAt + 10'000));
  Message later = ahead;  // under write load the commit index rises with each heartbeat
  later.leader_commit = 3;
  replica.Step(later, kReplySentAt + 20'000);
  Message entry = MessageFrom("c", MessageKind::kAppend, kTerm);
  entry.entries = {{kTerm, EntryKind::kCommand, "x", {}}};
  entry.commit = 2;
  replica.Step(entry, kReplySentAt + 30'000);
  CHECK(replica.HasQuorumContact(kReplySentAt + 30'000));
}

}  // namespace violetwing::consensus
