// The serialized form of messages and log entries.
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
  const Message back = DecodeMessage(Encode(message)).value();
  CHECK(back.index == 3);
  Message reply;
  reply.kind = MessageKind::kPreVoteReply;
  reply.leaderless = true;
  CHECK(DecodeMessage(Encode(reply)).value().leaderless);
  Message vote = reply;
  vote.kind = MessageKind::kVote;
  CHECK(DecodeMessage(Encode(vote)).value().leaderless);
  CHECK(back.entries[0].command == "x\"\n");
  CHECK(back.entries[1].members == message.entries[1].members);
  constexpr char kUnknownKind = 100;
  std::string unknown = Encode(message);  // the kind is its first field: a tag, and the number
  unknown[1] = kUnknownKind;
  CHECK_FALSE(DecodeMessage(unknown));
  const wire::ConsensusMessage form;
  CHECK_FALSE(DecodeMessage(
      testing::Without(form, form.GetDescriptor()->FindFieldByName("entries"), Encode(message))));
}

TEST_CASE("Decoding rejects a message that lacks a field required by its kind") {
  const wire::ConsensusMessage form;
  for (int kind = 0; kind <= static_cast<int>(MessageKind::kSnapshotReply); ++kind) {
    Message message;
    message.kind = static_cast<MessageKind>(kind);
    if (message.kind == MessageKind::kSnapshot) message.snapshot = Snapshot{3, 1, {{"a", "1:2"}}, "state"};
    const std::string whole = Encode(message);
    REQUIRE(DecodeMessage(whole));
    CHECK(DecodeMessage(whole)->kind == message.kind);
    for (const auto* field : testing::FieldsOf(form)) {
      INFO("kind " << kind << ", field " << field->name());
      const std::string without = testing::Without(form, field, whole);
      if (without != whole) CHECK_FALSE(DecodeMessage(without));
    }
  }
}

TEST_CASE("Decoding rejects an entry of two kinds and reads one of no kind as a no-op") {
  wire::Entry entry;
  entry.set_term(4);
  CHECK(DecodeEntry(entry.SerializeAsString()).value().kind == EntryKind::kNoop);
  entry.set_command("x");
  entry.mutable_members();
  CHECK_FALSE(DecodeEntry(entry.SerializeAsString()));
}

}  // namespace violetwing::consensus
