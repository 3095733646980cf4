// Whether a recorded history of changes and reads of one versioned value could have happened one operation at
// a time, each between its call and its answer. After Wing and Gong (Testing and Verifying Concurrent
// Objects, 1993), with the memory of states already tried that Lowe added (Testing for Linearizability,
// 2017).
#ifndef VIOLETWING_TESTS_TESTING_LINEARIZABILITY_HPP_
#define VIOLETWING_TESTS_TESTING_LINEARIZABILITY_HPP_

#include <cstdint>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace violetwing::testing {

enum class OperationKind { kChange, kRead };
enum class Result {
  kUnknown,   // no clear answer: it may take effect at any time after its call, or never
  kTaken,     // changes
  kConflict,  // changes
  kRead,      // reads
};

struct Operation {
  OperationKind kind = OperationKind::kRead;
  std::int64_t base = 0;     // changes: the version that it builds upon
  std::int64_t version = 0;  // changes: the one it leads to; reads: the one that was read
  std::int64_t called_at = 0;
  std::int64_t answered_at = std::numeric_limits<std::int64_t>::max();
  Result result = Result::kUnknown;
};

class LinearizabilityChecker {
 public:
  explicit LinearizabilityChecker(std::vector<Operation> history) : history_(std::move(history)) {}

  bool Holds() {
    std::vector<bool> done(history_.size(), false);
    return Search(done, 0);
  }

 private:
  // The value after the operation at the given one; false if its answer could not have been that.
  static bool Apply(const Operation& operation, std::int64_t& value) {
    if (operation.kind == OperationKind::kRead)
      return operation.result == Result::kUnknown || operation.version == value;
    const bool fits = operation.base == value;
    if (operation.result == Result::kConflict) return !fits;
    if (operation.result == Result::kTaken && !fits) return false;
    if (fits) value = operation.version;
    return true;
  }

  bool Search(std::vector<bool>& done, std::int64_t value) {
    if (!tried_.insert({done, value}).second) return false;
    // What is answered first bounds which can come next: those that were called before.
    std::int64_t first_answer = std::numeric_limits<std::int64_t>::max();
    bool all_answered = true;
    for (std::size_t i = 0; i < history_.size(); ++i) {
      if (done[i] || history_[i].result == Result::kUnknown) continue;
      all_answered = false;
      first_answer = std::min(first_answer, history_[i].answered_at);
    }
    if (all_answered) return true;
    for (std::size_t i = 0; i < history_.size(); ++i) {
      if (done[i] || history_[i].called_at > first_answer) continue;
      std::int64_t after = value;
      if (!Apply(history_[i], after)) continue;
      if (history_[i].result == Result::kUnknown && after == value) continue;  // as if never
      done[i] = true;
      if (Search(done, after)) return true;
      done[i] = false;
    }
    return false;
  }

  const std::vector<Operation> history_;
  std::set<std::pair<std::vector<bool>, std::int64_t>> tried_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_LINEARIZABILITY_HPP_
