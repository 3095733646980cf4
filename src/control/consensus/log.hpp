// The in-memory part of a replica's log.
#ifndef VIOLETWING_CONTROL_CONSENSUS_LOG_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_LOG_HPP_

#include <cstddef>
#include <deque>
#include <vector>

#include "control/consensus/types.hpp"

namespace violetwing::consensus {

/// Consecutive log entries after a base, which is the last entry that has been dropped. Some entries that the
/// snapshot covers are retained, so that a replica which was behind when the snapshot was sent to it finds
/// its next entries.
class Log {
 public:
  /// `entries` are those from `base` + 1 on; `base_term` is the term of the entry at `base`.
  Log(Index base, Term base_term, std::vector<Entry> entries);

  Index base() const { return base_; }
  Index last_index() const { return base_ + entries_.size(); }
  /// Of all entries held, in order.
  const std::deque<Entry>& entries() const { return entries_; }
  /// `index` must be held: above base() and at most last_index().
  const Entry& At(Index index) const { return entries_[index - base_ - 1]; }
  /// The term of the entry at `index`, also at base(); 0 if it is not held.
  Term TermAt(Index index) const;

  void Append(Entry entry) { entries_.push_back(std::move(entry)); }
  /// Drops the entries from `index` on, which must be above base().
  void TruncateFrom(Index index);
  /// Drops all entries and continues after `base`.
  void Reset(Index base, Term base_term);
  /// Drops the entries that a snapshot up to `snapshot_index` covers, but for the last ones (bounded in
  /// number and in bytes of their commands).
  void Compact(Index snapshot_index);

 private:
  std::deque<Entry> entries_;  // entries_[0] is at base_ + 1
  Index base_;
  Term base_term_;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_LOG_HPP_
