// A linearizability checker for recorded histories of changes and reads of one versioned value: whether some
// sequential order of the operations, each taking effect between its call and its response, explains all
// results. Implements the algorithm of Wing and Gong (Testing and Verifying Concurrent Objects, 1993) with
// the cache of visited states by Lowe (Testing for Linearizability, 2017).
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
  kUnknown,   // no definite response: it may take effect at any time after its call, or never
  kAccepted,  // changes: the change took effect
  kConflict,  // changes: `base_version` was not the current version
  kRead,      // reads
};

struct Operation {
  OperationKind kind = OperationKind::kRead;
  std::int64_t base_version = 0;  // changes: the version that must be current
  std::int64_t version = 0;       // changes: the new version; reads: the version read
  std::int64_t called_at = 0;
  std::int64_t responded_at = std::numeric_limits<std::int64_t>::max();
  Result result = Result::kUnknown;
};

class LinearizabilityChecker {
 public:
  explicit LinearizabilityChecker(std::vector<Operation> history) : history_(std::move(history)) {}

  bool IsLinearizable() {
    std::vector<bool> done(history_.size(), false);
    return Search(done, 0);
  }

 private:
  // Applies the operation to `version`. Returns false if its result is impossible for this version.
  static bool Apply(const Operation& operation, std::int64_t& version) {
    if (operation.kind == OperationKind::kRead)
      return operation.result == Result::kUnknown || operation.version == version;
    const bool base_is_current = operation.base_version == version;
    if (operation.result == Result::kConflict) return !base_is_current;
    if (operation.result == Result::kAccepted && !base_is_current) return false;
    if (base_is_current) version = operation.version;
    return true;
  }

  bool Search(std::vector<bool>& done, std::int64_t version) {
    if (!visited_.insert({done, version}).second) return false;
    // The next operation in the order must have been called before the earliest response of those remaining.
    std::int64_t earliest_response = std::numeric_limits<std::int64_t>::max();
    bool all_definite_done = true;
    for (std::size_t i = 0; i < history_.size(); ++i) {
      if (done[i] || history_[i].result == Result::kUnknown) continue;
      all_definite_done = false;
      earliest_response = std::min(earliest_response, history_[i].responded_at);
    }
    if (all_definite_done) return true;
    for (std::size_t i = 0; i < history_.size(); ++i) {
      if (done[i] || history_[i].called_at > earliest_response) continue;
      std::int64_t after = version;
      if (!Apply(history_[i], after)) continue;
      if (history_[i].result == Result::kUnknown && after == version)
        continue;  // equivalent to an operation without effect
      done[i] = true;
      if (Search(done, after)) return true;
      done[i] = false;
    }
    return false;
  }

  const std::vector<Operation> history_;
  std::set<std::pair<std::vector<bool>, std::int64_t>> visited_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_LINEARIZABILITY_HPP_
