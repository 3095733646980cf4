// One shard in a process: answers to submitters, and snapshots that cannot be loaded.
#include "control/replication/replicated_state_machine.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "control/control_error.hpp"
#include "control/replication/commands.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing {
namespace {

// Returns each command as its answer.
class EchoMachine : public StateMachine {
 public:
  std::string Apply(const std::string& command) override { return command; }
  std::string Save() const override { return {}; }
  std::error_code Load(const std::string&) override { return {}; }
};

// A process with the only replica of a shard. Its clock restarts with each incarnation, as after a power
// loss.
class Process {
 public:
  Process(std::string incarnation, consensus::StoredState& disk)
      : disk_(disk), shard_(1, std::move(incarnation), MakeReplica(disk), machine_, Outputs()) {
    shard_.Start();
  }

  void Submit(const std::string& command, std::optional<Result<std::string>>& answer) {
    shard_.Submit(command, kNow, kTimeout, [&answer](const Result<std::string>& got) { answer = got; });
  }
  void SubmitIdempotent(const std::string& request_id, const std::string& command,
                        std::vector<std::string>& answers) {
    shard_.SubmitIdempotent(
        request_id, command, kNow, {kTimeout, kTimeout},
        [&answers](const Result<std::string>& got) { answers.push_back(got ? got.value() : ""); });
  }
  // Handles the request as forwarded by another process.
  void ReceiveForwarded(const std::string& request_id, const std::string& command) {
    shard_.OnForwardedProposal(Encode(Envelope{request_id, command}));
  }
  std::size_t last_index() const { return shard_.replica().last(); }
  void Elect() {
    for (Micros at = kNow; !shard_.replica().leader(); at += 50'000) shard_.Tick(at);
  }
  void Expire() { shard_.Tick(kNow + kTimeout); }
  void CompleteWrites() {
    while (!writes_.empty()) {
      const auto [write, token] = std::move(writes_.front());
      writes_.pop_front();
      testing::ApplyWrite(disk_, write);
      shard_.OnWriteDurable(token);
    }
  }

 private:
  static constexpr Micros kNow = 1'000'000;
  static constexpr Micros kTimeout = 1'000'000;

  static consensus::Replica MakeReplica(const consensus::StoredState& disk) {
    return {"disk", {{"disk", "here:1"}}, disk, consensus::Timing{}, 1, kNow};
  }
  ReplicatedStateMachine::Outputs Outputs() {
    ReplicatedStateMachine::Outputs outputs;
    outputs.send = [](int, const consensus::Message&) {};
    outputs.forward = [](int, const consensus::Member&, const std::string&) {};
    outputs.write = [this](ShardWrite write, std::uint64_t token) {
      writes_.emplace_back(std::move(write), token);
    };
    outputs.has_pending_writes = [this] { return !writes_.empty(); };
    outputs.next_write_token = [this] { return ++token_; };
    outputs.applied = [](int) {};
    outputs.failed = [](int, std::error_code error) { FAIL(error.message()); };
    return outputs;
  }

  consensus::StoredState& disk_;
  EchoMachine machine_;
  std::deque<std::pair<ShardWrite, std::uint64_t>> writes_;
  std::uint64_t token_ = 0;
  ReplicatedStateMachine shard_;
};

}  // namespace

TEST_CASE("A command of an earlier incarnation does not answer a request of the current one") {
  consensus::StoredState disk;
  std::optional<Result<std::string>> ignored;
  {
    Process process("incarnation 1", disk);
    process.Elect();
    process.Submit("earlier", ignored);
    process.CompleteWrites();
  }
  REQUIRE(disk.entries.size() >= 2);
  Process process("incarnation 2", disk);
  std::optional<Result<std::string>> answer;
  process.Submit("later", answer);
  process.Elect();
  process.CompleteWrites();
  REQUIRE(answer);
  REQUIRE(answer->has_value());
  CHECK(answer->value() == "later");
}

TEST_CASE("Concurrent idempotent requests share one log entry, including one forwarded by a peer") {
  consensus::StoredState disk;
  Process process("incarnation", disk);
  process.Elect();
  const std::size_t before = process.last_index();
  std::vector<std::string> answers;
  process.SubmitIdempotent("change", "large", answers);
  process.SubmitIdempotent("change", "large", answers);
  process.ReceiveForwarded("change", "large");
  CHECK(process.last_index() == before + 1);
  process.CompleteWrites();
  CHECK(answers == std::vector<std::string>{"large", "large"});
  // After it has been applied, the same request is a new command, answered from the current state.
  process.SubmitIdempotent("change", "large", answers);
  process.CompleteWrites();
  CHECK(process.last_index() == before + 2);
  CHECK(answers.size() == 3);
}

namespace {

// Fails to load any snapshot.
class FailingLoadMachine : public EchoMachine {
 public:
  std::error_code Load(const std::string&) override { return ControlErrc::kUnreadableState; }
};

// Records the outputs of a shard.
struct RecordingHost {
  int writes = 0;
  int messages = 0;
  std::vector<std::error_code> failures;

  ReplicatedStateMachine::Outputs Outputs() {
    ReplicatedStateMachine::Outputs outputs;
    outputs.send = [this](int, const consensus::Message&) { ++messages; };
    outputs.forward = [](int, const consensus::Member&, const std::string&) {};
    outputs.write = [this](ShardWrite, std::uint64_t) { ++writes; };
    outputs.has_pending_writes = [] { return false; };
    outputs.next_write_token = [] { return std::uint64_t{1}; };
    outputs.applied = [](int) {};
    outputs.failed = [this](int, std::error_code error) { failures.push_back(error); };
    return outputs;
  }
};

}  // namespace

TEST_CASE("A stored snapshot that cannot be loaded fails the shard, which stays inactive") {
  consensus::StoredState disk;
  disk.snapshot = {5, 2, {{"disk", "here:1"}}, "state"};
  FailingLoadMachine machine;
  RecordingHost host;
  ReplicatedStateMachine shard(1, "incarnation", {"disk", {}, disk, consensus::Timing{}, 1, 1'000'000},
                               machine, host.Outputs());
  shard.Start();
  CHECK(host.failures == std::vector<std::error_code>{ControlErrc::kUnreadableState});
  for (Micros now = 1'000'000; now < 10'000'000; now += 50'000) shard.Tick(now);
  CHECK(host.writes == 0);
  CHECK(host.messages == 0);
  CHECK(host.failures.size() == 1);
}

TEST_CASE("A received snapshot that cannot be loaded is neither stored nor acknowledged") {
  const consensus::Members members{{"disk", "here:1"}, {"other", "there:1"}, {"third", "there:2"}};
  FailingLoadMachine machine;
  RecordingHost host;
  ReplicatedStateMachine shard(1, "incarnation", {"disk", members, {}, consensus::Timing{}, 1, 1'000'000},
                               machine, host.Outputs());
  shard.Start();
  consensus::Message install;
  install.kind = consensus::MessageKind::kSnapshot;
  install.from = "other";
  install.to = "disk";
  install.term = 3;
  install.snapshot = consensus::Snapshot{5, 2, members, "state"};
  install.size = install.snapshot->state.size();
  shard.OnMessage(install, 1'100'000);
  CHECK(host.failures == std::vector<std::error_code>{ControlErrc::kUnreadableState});
  CHECK(host.writes == 0);
  CHECK(host.messages == 0);
}

TEST_CASE("A command that is not applied before its deadline fails with kCommitStatusUnknown") {
  consensus::StoredState disk;
  Process process("incarnation", disk);
  std::optional<Result<std::string>> answer;
  process.Submit("late", answer);
  CHECK_FALSE(answer);
  process.Expire();
  REQUIRE(answer);
  REQUIRE(answer->has_error());
  CHECK(answer->error() == ControlErrc::kCommitStatusUnknown);
}

}  // namespace violetwing
