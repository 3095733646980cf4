// The in-memory disk model of the deterministic test harnesses.
#ifndef VIOLETWING_TESTS_TESTING_VIRTUAL_DISK_HPP_
#define VIOLETWING_TESTS_TESTING_VIRTUAL_DISK_HPP_

#include <algorithm>

#include "control/storage/shard_write.hpp"

namespace violetwing::testing {

/// Applies a completed write of a replica to its disk.
inline void ApplyWrite(consensus::StoredState& disk, const ShardWrite& write) {
  if (write.hard_state) disk.hard_state = *write.hard_state;
  if (write.replaces_log) disk.entries.clear();
  if (write.first_index > 0) {
    const consensus::Index base = write.replaces_log ? write.snapshot->index : disk.snapshot.index;
    if (write.first_index > base)
      disk.entries.resize(std::min<std::size_t>(disk.entries.size(), write.first_index - base - 1));
    disk.entries.insert(disk.entries.end(), write.entries.begin(), write.entries.end());
  }
  if (!write.snapshot) return;
  if (!write.replaces_log) {
    const auto covered_entries =
        std::min<consensus::Index>(write.snapshot->index - disk.snapshot.index, disk.entries.size());
    disk.entries.erase(disk.entries.begin(),
                       disk.entries.begin() + static_cast<std::ptrdiff_t>(covered_entries));
  }
  disk.snapshot = *write.snapshot;
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_VIRTUAL_DISK_HPP_
