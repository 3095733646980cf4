// Histories of the operators' changes and reads, recorded on the virtual system under drawn faults, are
// linearizable; and the checker catches histories that are not.
#include "testing/linearizability.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

#include "testing/virtual_system.hpp"

namespace violetwing::testing {
namespace {

using nlohmann::json;

constexpr Micros kSecond = 1'000'000;
constexpr auto kChange = OperationKind::kChange;
constexpr auto kRead = OperationKind::kRead;

bool Holds(std::vector<Operation> history) { return LinearizabilityChecker(std::move(history)).Holds(); }

// An operator who builds on the version last read or taken, sends a change until its answer is clear, to the
// next process each time, and then reads.
class RecordingOperator {
 public:
  RecordingOperator(VirtualSystem& system, std::vector<Operation>& history, std::int64_t own)
      : system_(system), history_(history), own_(own), next_(static_cast<std::size_t>(own)) {}

  // To be called at each turn of the system.
  void Turn() {
    if (calling_ || stopped_) return;
    if (attempts_ > 0) return Send();
    reads_ = !reads_;
    attempts_ = 0;
    operation_ = history_.size();
    Operation operation;
    operation.kind = reads_ ? kRead : kChange;
    operation.base = known_;
    operation.version = reads_ ? 0 : known_ + kVersionStep + own_;
    operation.called_at = system_.now();
    history_.push_back(operation);
    Send();
  }
  void Stop() { stopped_ = true; }

 private:
  static constexpr std::int64_t kVersionStep = 10;  // above the number of operators: versions tell them apart
  static constexpr int kMaxAttempts = 12;

  void Send() {
    calling_ = true;
    ++attempts_;
    const Operation& operation = history_[operation_];
    const std::string body =
        reads_ ? std::string()
               : json{{"version", operation.version}, {"routes", json::array()}, {"backends", json::array()}}
                     .dump();
    system_.CallPublic(next_++ % system_.controls(), reads_ ? "GET" : "PUT", "/api/configuration", body,
                       operation.base,
                       [this](int status, const std::string& text) { Answered(status, text); });
  }

  void Answered(int status, const std::string& text) {
    calling_ = false;
    const bool clear = status == 200 || status == 412 || status == 404;
    if (!clear) {
      if (attempts_ >= kMaxAttempts) attempts_ = 0;  // given up: the outcome stays unknown
      return;
    }
    attempts_ = 0;
    Operation& operation = history_[operation_];
    operation.answered_at = system_.now();
    if (reads_) {
      operation.result = Result::kRead;
      operation.version = status == 200 ? json::parse(text).at("version").get<std::int64_t>() : 0;
      known_ = operation.version;
    } else {
      operation.result = status == 200 ? Result::kTaken : Result::kConflict;
      if (status == 200) known_ = operation.version;
    }
  }

  VirtualSystem& system_;
  std::vector<Operation>& history_;
  const std::int64_t own_;
  std::size_t next_;
  std::int64_t known_ = 0;
  std::size_t operation_ = 0;
  int attempts_ = 0;
  bool calling_ = false;
  bool reads_ = true;
  bool stopped_ = false;
};

// One fault at a time, of each kind, on processes drawn by lot; of five two at a time.
void DisturbOnce(VirtualSystem& system, Random& random) {
  const std::size_t victims = system.controls() / 2;
  const std::size_t first = random.Below(system.controls());
  const auto span = static_cast<Micros>(random.Below(3 * kSecond));
  const std::uint64_t kind = random.Below(7);
  for (std::size_t i = 0; i < victims; ++i) {
    const std::size_t victim = (first + i) % system.controls();
    if (kind == 0) system.Kill(victim);
    if (kind == 1) system.PowerOff(victim);
    if (kind == 2) system.Freeze(victim, span);
    if (kind == 3) system.Isolate(victim);
    if (kind == 4) system.StallDisk(victim, span);
  }
  if (kind == 5)
    for (std::size_t i = 0; i < system.controls(); ++i) system.PowerOff(i);
  // Reads go on, by heartbeats.
  if (kind == 6)
    for (std::size_t i = 0; i < system.controls(); ++i) system.StallDisk(i, span);
}

// SYSTEM_SCHEDULES, else a share of the cheaper ones of the consensus, so that sanitized builds play fewer.
std::uint64_t Schedules() {
  constexpr std::uint64_t kConsensusSchedules = 5000;
  constexpr std::uint64_t kShare = 25;
  if (const char* wanted = std::getenv("SYSTEM_SCHEDULES")) return std::strtoull(wanted, nullptr, 10);
  const char* consensus = std::getenv("CONSENSUS_SCHEDULES");
  return (consensus == nullptr ? kConsensusSchedules : std::strtoull(consensus, nullptr, 10)) / kShare;
}

struct Recorded {
  std::vector<Operation> history;
  std::vector<std::string> violations;
};

Recorded Record(std::uint64_t seed) {
  Recorded recorded;
  VirtualSystem system(seed % 2 == 0 ? 3 : 5, 1, seed);
  Random random(seed, "faults");
  std::deque<RecordingOperator> operators;
  for (std::int64_t i = 0; i < 3; ++i) operators.emplace_back(system, recorded.history, i);
  const auto run = [&](Micros span) {
    system.RunUntil(
        [&] {
          if (system.now() % (kSecond / 5) == 0)
            for (RecordingOperator& one : operators) one.Turn();
          return false;
        },
        span);
  };
  run(2 * kSecond);
  for (int round = 0; round < 3; ++round) {
    DisturbOnce(system, random);
    run(static_cast<Micros>(random.Below(3 * kSecond)));
    system.Heal();
    for (std::size_t i = 0; i < system.controls(); ++i)
      if (!system.IsRunning(i)) system.Start(i);
    run(2 * kSecond);
  }
  for (RecordingOperator& one : operators) one.Stop();
  system.Run(5 * kSecond);
  recorded.violations = system.violations();
  return recorded;
}

}  // namespace

TEST_CASE("LinearizabilityChecker accepts sequential and concurrent operations") {
  CHECK(Holds({}));
  CHECK(Holds({{kChange, 0, 5, 1, 2, Result::kTaken}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  // The read began before the change was answered: it may see either.
  CHECK(Holds({{kChange, 0, 5, 1, 9, Result::kTaken}, {kRead, 0, 0, 3, 4, Result::kRead}}));
  CHECK(Holds({{kChange, 0, 5, 1, 9, Result::kTaken}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  // One without an answer may have been taken, or not.
  CHECK(Holds({{kChange, 0, 5, 1}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  CHECK(Holds({{kChange, 0, 5, 1}, {kRead, 0, 0, 3, 4, Result::kRead}}));
}

TEST_CASE(
    "LinearizabilityChecker rejects stale reads, two winners, lost changes and rejected changes in force") {
  CHECK_FALSE(Holds({{kChange, 0, 5, 1, 2, Result::kTaken}, {kRead, 0, 0, 3, 4, Result::kRead}}));
  CHECK_FALSE(Holds({{kChange, 0, 5, 1, 4, Result::kTaken}, {kChange, 0, 6, 1, 4, Result::kTaken}}));
  CHECK_FALSE(Holds({{kChange, 0, 5, 1, 2, Result::kTaken},
                     {kChange, 5, 7, 3, 4, Result::kTaken},
                     {kRead, 0, 5, 5, 6, Result::kRead}}));
  CHECK_FALSE(Holds({{kChange, 0, 5, 1, 2, Result::kConflict}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  // Two reads, the later of which sees less.
  CHECK_FALSE(
      Holds({{kChange, 0, 5, 1}, {kRead, 0, 5, 3, 4, Result::kRead}, {kRead, 0, 0, 5, 6, Result::kRead}}));
}

TEST_CASE("LinearizabilityChecker rejects a recorded history with one answer changed") {
  int caught = 0;
  int doctored = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const std::vector<Operation> history = Record(seed).history;
    REQUIRE(Holds(history));
    for (std::size_t i = 0; i < history.size(); ++i) {
      if (history[i].result != Result::kRead || history[i].version == 0) continue;
      std::vector<Operation> changed = history;
      changed[i].version = 0;  // as a process would have read that had lost all
      ++doctored;
      caught += !Holds(changed);
    }
  }
  INFO(caught << " of " << doctored);
  CHECK(doctored >= 50);
  // Reads that overlap the first change may have seen nothing.
  CHECK(caught >= doctored * 9 / 10);
}

TEST_CASE("Drawn faults: what operators see of the configuration is linearizable") {
  const std::uint64_t schedules = Schedules();
  std::size_t operations = 0;
  std::size_t taken = 0;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    INFO("seed " << seed);
    const Recorded recorded = Record(seed);
    REQUIRE(recorded.violations.empty());
    REQUIRE(Holds(recorded.history));
    operations += recorded.history.size();
    for (const Operation& one : recorded.history) taken += one.result == Result::kTaken;
  }
  INFO(operations << " operations, " << taken << " changes taken");
  CHECK(taken > 3 * schedules);
}

}  // namespace violetwing::testing
