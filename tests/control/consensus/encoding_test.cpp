// Tests of the serialization of messages and log entries.
#include "control/consensus/encoding.hpp"

#include <catch2/catch.hpp>

#include "testing/wire_fields.hpp"

namespace violetwing::consensus {

TEST_CASE("Messages keep their fields through encoding and decoding") {
  Message message;
  message.kind = MessageKind::kAppend;
  message.from = "a";
  message.to = "b";
  message.term = 7;
  message.index = 3;
  message.log_term = 2;
  message.commit = 1;
  message.entries = {{7, EntryKind::kCommand, "x\"\n", {}}, {7, EntryKind::kMembers, {}, {{"a", "1:2"}}}};
  const Message decoded = DecodeMessage(Encode(message)).value();
  CHECK(decoded.index == 3);
  Message reply;
  reply.kind = MessageKind::kPreVoteReply;
  reply.leaderless = true;
  CHECK(DecodeMessage(Encode(reply)).value().leaderless);
  Message vote = reply;
  vote.kind = MessageKind::kVote;
  CHECK(DecodeMessage(Encode(vote)).value().leaderless);
  CHECK(decoded.entries[0].command == "x\"\n");
  CHECK(decoded.entries[1].members == message.entries[1].members);
  constexpr char kUnknownKind = 100;
  std::string unknown = Encode(message);  // the kind is the first field: a tag byte, then the value
  unknown[1] = kUnknownKind;
  CHECK_FALSE(DecodeMessage(unknown));
  const wire::ConsensusMessage prototype;
  CHECK_FALSE(DecodeMessage(
      testing::Without(prototype, prototype.GetDescriptor()->FindFieldByName("entries"), Encode(message))));
}

TEST_CASE("Decoding rejects a message that lacks a field required by its kind") {
  const wire::ConsensusMessage prototype;
  for (int kind = 0; kind <= static_cast<int>(MessageKind::kSnapshotReply); ++kind) {
    Message message;
    message.kind = static_cast<MessageKind>(kind);
    if (message.kind == MessageKind::kSnapshot) message.snapshot = Snapshot{3, 1, {{"a", "1:2"}}, "state"};
    const std::string encoded = Encode(message);
    REQUIRE(DecodeMessage(encoded));
    CHECK(DecodeMessage(encoded)->kind == message.kind);
    for (const auto* field : testing::FieldsOf(prototype)) {
      INFO("kind " << kind << ", field " << field->name());
      const std::string incomplete = testing::Without(prototype, field, encoded);
      if (incomplete != encoded) CHECK_FALSE(DecodeMessage(incomplete));
    }
  }
}

TEST_CASE("Decoding rejects an entry of two kinds and reads one without a kind as a no-op") {
  wire::Entry entry;
  entry.set_term(4);
  CHECK(DecodeEntry(entry.SerializeAsString()).value().kind == EntryKind::kNoop);
  entry.set_command("x");
  entry.mutable_members();
  CHECK_FALSE(DecodeEntry(entry.SerializeAsString()));
}

}  // namespace violetwing::consensus
