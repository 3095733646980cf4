// The in-memory part of a replica's log.
#ifndef VIOLETWING_CONTROL_CONSENSUS_LOG_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_LOG_HPP_

#include <cstddef>
#include <deque>
#include <vector>

#include "control/consensus/types.hpp"

namespace violetwing::consensus {

/// Consecutive log entries after a base index, which is that of the last dropped entry. Some entries that the
/// snapshot covers are retained, so that a replica to which the snapshot was sent can continue with the next
/// entries.
class Log {
 public:
  /// `entries` start at index `base` + 1; `base_term` is the term of the entry at `base`.
  Log(Index base, Term base_term, std::vector<Entry> entries);

  /// The index before the first entry of the log.
  Index base() const { return base_; }
  /// The index of the last entry; base() if the log is empty.
  Index last_index() const { return base_ + entries_.size(); }
  /// All entries, in order.
  const std::deque<Entry>& entries() const { return entries_; }
  /// The entry at `index`, which must be above base() and at most last_index().
  const Entry& At(Index index) const { return entries_[index - base_ - 1]; }
  /// The term of the entry at `index`, which may be base(); 0 if the entry is not in the log.
  Term TermAt(Index index) const;

  /// Appends an entry at last_index() + 1.
  void Append(Entry entry) { entries_.push_back(std::move(entry)); }
  /// Drops the entries from `index` on. `index` must be above base().
  void TruncateFrom(Index index);
  /// Drops all entries and continues after `base`.
  void Reset(Index base, Term base_term);
  /// Drops the entries that a snapshot up to `snapshot_index` covers, except for the last ones. The retained
  /// ones are bounded in number and in bytes of their commands.
  void Compact(Index snapshot_index);

 private:
  std::deque<Entry> entries_;  // entries_[0] has index base_ + 1
  Index base_;
  Term base_term_;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_LOG_HPP_
