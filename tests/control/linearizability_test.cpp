// Histories of configuration changes and reads, recorded on the virtual system with random faults, must be
// linearizable, and the checker must reject histories that are not.
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

bool IsLinearizable(std::vector<Operation> history) {
  return LinearizabilityChecker(std::move(history)).IsLinearizable();
}

// A client that alternates reads and changes. A change is based on the last version read or accepted. Each
// request is retried at the next process until the response is definite.
class RecordingOperator {
 public:
  RecordingOperator(VirtualSystem& system, std::vector<Operation>& history, std::int64_t operator_id)
      : system_(system),
        history_(history),
        operator_id_(operator_id),
        next_process_(static_cast<std::size_t>(operator_id)) {}

  // Starts the next request unless one is in flight. Must be called periodically.
  void StartNext() {
    if (in_flight_ || stopped_) return;
    if (attempts_ > 0) return Send();
    is_read_ = !is_read_;
    attempts_ = 0;
    operation_index_ = history_.size();
    Operation operation;
    operation.kind = is_read_ ? kRead : kChange;
    operation.base_version = known_version_;
    operation.version = is_read_ ? 0 : known_version_ + kVersionStep + operator_id_;
    operation.called_at = system_.now();
    history_.push_back(operation);
    Send();
  }
  void Stop() { stopped_ = true; }

 private:
  // Above the number of operators, so that their versions differ.
  static constexpr std::int64_t kVersionStep = 10;
  static constexpr int kMaxAttempts = 12;

  void Send() {
    in_flight_ = true;
    ++attempts_;
    const Operation& operation = history_[operation_index_];
    const std::string body =
        is_read_
            ? std::string()
            : json{{"version", operation.version}, {"routes", json::array()}, {"backends", json::array()}}
                  .dump();
    system_.CallPublic(next_process_++ % system_.controls(), is_read_ ? "GET" : "PUT", "/api/configuration",
                       body, operation.base_version,
                       [this](int status, const std::string& text) { OnResponse(status, text); });
  }

  void OnResponse(int status, const std::string& text) {
    in_flight_ = false;
    const bool is_definite = status == 200 || status == 412 || status == 404;
    if (!is_definite) {
      if (attempts_ >= kMaxAttempts) attempts_ = 0;  // no more retries: the result stays kUnknown
      return;
    }
    attempts_ = 0;
    Operation& operation = history_[operation_index_];
    operation.responded_at = system_.now();
    if (is_read_) {
      operation.result = Result::kRead;
      operation.version = status == 200 ? json::parse(text).at("version").get<std::int64_t>() : 0;
      known_version_ = operation.version;
    } else {
      operation.result = status == 200 ? Result::kAccepted : Result::kConflict;
      if (status == 200) known_version_ = operation.version;
    }
  }

  VirtualSystem& system_;
  std::vector<Operation>& history_;
  const std::int64_t operator_id_;
  std::size_t next_process_;
  std::int64_t known_version_ = 0;
  std::size_t operation_index_ = 0;
  int attempts_ = 0;
  bool in_flight_ = false;
  bool is_read_ = true;
  bool stopped_ = false;
};

// Injects one random kind of fault, into a random minority of the processes (one of three, two of five) or
// into all.
void InjectFault(VirtualSystem& system, Random& random) {
  const std::size_t victims = system.controls() / 2;
  const std::size_t first = random.Below(system.controls());
  const auto duration = static_cast<Micros>(random.Below(3 * kSecond));
  const std::uint64_t kind = random.Below(7);
  for (std::size_t i = 0; i < victims; ++i) {
    const std::size_t victim = (first + i) % system.controls();
    if (kind == 0) system.Kill(victim);
    if (kind == 1) system.PowerOff(victim);
    if (kind == 2) system.Freeze(victim, duration);
    if (kind == 3) system.Isolate(victim);
    if (kind == 4) system.StallDisk(victim, duration);
  }
  if (kind == 5)
    for (std::size_t i = 0; i < system.controls(); ++i) system.PowerOff(i);
  // Reads are still confirmed by heartbeats.
  if (kind == 6)
    for (std::size_t i = 0; i < system.controls(); ++i) system.StallDisk(i, duration);
}

// The number of schedules: SYSTEM_SCHEDULES, or by default a fraction of CONSENSUS_SCHEDULES, which is
// smaller in sanitized builds and counts cheaper schedules.
std::uint64_t Schedules() {
  constexpr std::uint64_t kConsensusSchedules = 5000;
  constexpr std::uint64_t kConsensusPerSystemSchedule = 25;
  if (const char* value = std::getenv("SYSTEM_SCHEDULES")) return std::strtoull(value, nullptr, 10);
  const char* consensus = std::getenv("CONSENSUS_SCHEDULES");
  return (consensus == nullptr ? kConsensusSchedules : std::strtoull(consensus, nullptr, 10)) /
         kConsensusPerSystemSchedule;
}

struct RecordedRun {
  std::vector<Operation> history;
  std::vector<std::string> violations;
};

RecordedRun Record(std::uint64_t seed) {
  RecordedRun recorded;
  VirtualSystem system(seed % 2 == 0 ? 3 : 5, 1, seed);
  Random random(seed, "faults");
  std::deque<RecordingOperator> operators;
  for (std::int64_t i = 0; i < 3; ++i) operators.emplace_back(system, recorded.history, i);
  const auto run = [&](Micros duration) {
    system.RunUntil(
        [&] {
          if (system.now() % (kSecond / 5) == 0)
            for (RecordingOperator& client : operators) client.StartNext();
          return false;
        },
        duration);
  };
  run(2 * kSecond);
  for (int round = 0; round < 3; ++round) {
    InjectFault(system, random);
    run(static_cast<Micros>(random.Below(3 * kSecond)));
    system.Heal();
    for (std::size_t i = 0; i < system.controls(); ++i)
      if (!system.IsRunning(i)) system.Start(i);
    run(2 * kSecond);
  }
  for (RecordingOperator& client : operators) client.Stop();
  system.Run(5 * kSecond);
  recorded.violations = system.violations();
  return recorded;
}

}  // namespace

TEST_CASE("LinearizabilityChecker accepts sequential and concurrent operations") {
  CHECK(IsLinearizable({}));
  CHECK(IsLinearizable({{kChange, 0, 5, 1, 2, Result::kAccepted}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  // The read overlaps the change and may return either version.
  CHECK(IsLinearizable({{kChange, 0, 5, 1, 9, Result::kAccepted}, {kRead, 0, 0, 3, 4, Result::kRead}}));
  CHECK(IsLinearizable({{kChange, 0, 5, 1, 9, Result::kAccepted}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  // A change without a response may have been accepted or not.
  CHECK(IsLinearizable({{kChange, 0, 5, 1}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  CHECK(IsLinearizable({{kChange, 0, 5, 1}, {kRead, 0, 0, 3, 4, Result::kRead}}));
}

TEST_CASE(
    "LinearizabilityChecker rejects stale reads, conflicting accepts, lost changes and visible rejected "
    "changes") {
  CHECK_FALSE(IsLinearizable({{kChange, 0, 5, 1, 2, Result::kAccepted}, {kRead, 0, 0, 3, 4, Result::kRead}}));
  CHECK_FALSE(
      IsLinearizable({{kChange, 0, 5, 1, 4, Result::kAccepted}, {kChange, 0, 6, 1, 4, Result::kAccepted}}));
  CHECK_FALSE(IsLinearizable({{kChange, 0, 5, 1, 2, Result::kAccepted},
                              {kChange, 5, 7, 3, 4, Result::kAccepted},
                              {kRead, 0, 5, 5, 6, Result::kRead}}));
  CHECK_FALSE(IsLinearizable({{kChange, 0, 5, 1, 2, Result::kConflict}, {kRead, 0, 5, 3, 4, Result::kRead}}));
  // The later of two reads returns the older version.
  CHECK_FALSE(IsLinearizable(
      {{kChange, 0, 5, 1}, {kRead, 0, 5, 3, 4, Result::kRead}, {kRead, 0, 0, 5, 6, Result::kRead}}));
}

TEST_CASE("LinearizabilityChecker rejects recorded histories with one modified result") {
  int rejected = 0;
  int modified = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const std::vector<Operation> history = Record(seed).history;
    REQUIRE(IsLinearizable(history));
    for (std::size_t i = 0; i < history.size(); ++i) {
      if (history[i].result != Result::kRead || history[i].version == 0) continue;
      std::vector<Operation> changed = history;
      changed[i].version = 0;  // as read by a process that has lost its state
      ++modified;
      rejected += !IsLinearizable(changed);
    }
  }
  INFO(rejected << " of " << modified);
  CHECK(modified >= 50);
  // Reads that overlap the first change may correctly return version 0.
  CHECK(rejected >= modified * 9 / 10);
}

TEST_CASE("Random faults: reads and changes of the configuration are linearizable") {
  const std::uint64_t schedules = Schedules();
  std::size_t operations = 0;
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    INFO("seed " << seed);
    const RecordedRun recorded = Record(seed);
    REQUIRE(recorded.violations.empty());
    REQUIRE(IsLinearizable(recorded.history));
    operations += recorded.history.size();
    for (const Operation& operation : recorded.history) accepted += operation.result == Result::kAccepted;
  }
  INFO(operations << " operations, " << accepted << " changes accepted");
  CHECK(accepted > 3 * schedules);
}

}  // namespace violetwing::testing
