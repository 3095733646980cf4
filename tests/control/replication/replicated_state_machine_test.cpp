// One shard in a process: who is told what became of a command.
#include "control/replication/replicated_state_machine.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "control/replication/commands.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing {
namespace {

// Answers each command with itself.
class EchoMachine : public StateMachine {
 public:
  std::string Apply(const std::string& command) override { return command; }
  std::string Save() const override { return {}; }
  void Load(const std::string&) override {}
};

// A process with the one replica of a shard. Its clock begins anew with each incarnation, as after a loss of
// power.
class Process {
 public:
  Process(std::string incarnation, consensus::StoredState& disk)
      : disk_(disk), group_(1, std::move(incarnation), MakeReplica(disk), machine_, Outputs()) {
    group_.Start();
  }

  void Call(const std::string& command, std::optional<std::string>& answer) {
    group_.Call(command, kNow, 1'000'000, [&answer](const std::optional<std::string>& got) { answer = got; });
  }
  void SubmitIdempotent(const std::string& name, const std::string& command,
                        std::vector<std::string>& answers) {
    group_.SubmitIdempotent(
        name, command, kNow, {1'000'000, 1'000'000},
        [&answers](const std::optional<std::string>& got) { answers.push_back(got.value_or("")); });
  }
  // A command from a process that took the same call.
  void Forward(const std::string& name, const std::string& command) {
    group_.TakeForwarded(Encode(Envelope{name, command}));
  }
  std::size_t logged() const { return group_.replica().last(); }
  void Elect() {
    for (Micros at = kNow; !group_.replica().leader(); at += 50'000) group_.Tick(at);
  }
  void WriteAll() {
    while (!writes_.empty()) {
      const auto [write, token] = std::move(writes_.front());
      writes_.pop_front();
      testing::ApplyWrite(disk_, write);
      group_.Written(token);
    }
  }

 private:
  static constexpr Micros kNow = 1'000'000;

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
    outputs.writes_wait = [this] { return !writes_.empty(); };
    outputs.next_token = [this] { return ++token_; };
    outputs.applied = [](int) {};
    return outputs;
  }

  consensus::StoredState& disk_;
  EchoMachine machine_;
  std::deque<std::pair<ShardWrite, std::uint64_t>> writes_;
  std::uint64_t token_ = 0;
  ReplicatedStateMachine group_;
};

}  // namespace

TEST_CASE("The answer to a command of a process's earlier incarnation is not given to a caller of this one") {
  consensus::StoredState disk;
  std::optional<std::string> ignored;
  {
    Process process("incarnation 1", disk);
    process.Elect();
    process.Call("earlier", ignored);
    process.WriteAll();
  }
  REQUIRE(disk.entries.size() >= 2);
  Process process("incarnation 2", disk);
  std::optional<std::string> answer;
  process.Call("later", answer);
  process.Elect();
  process.WriteAll();
  CHECK(answer == "later");
}

TEST_CASE("A call that comes again while its command is under way joins it, also from another process") {
  consensus::StoredState disk;
  Process process("incarnation", disk);
  process.Elect();
  const std::size_t before = process.logged();
  std::vector<std::string> answers;
  process.SubmitIdempotent("change", "large", answers);
  process.SubmitIdempotent("change", "large", answers);
  process.Forward("change", "large");
  CHECK(process.logged() == before + 1);
  process.WriteAll();
  CHECK(answers == std::vector<std::string>{"large", "large"});
  // Once it has been applied, the same call is a new command: it tells what stands then.
  process.SubmitIdempotent("change", "large", answers);
  process.WriteAll();
  CHECK(process.logged() == before + 2);
  CHECK(answers.size() == 3);
}

}  // namespace violetwing
