// One durable write of a shard's replica. Free of the storage engine: cores emit it, the store carries it
// out.
#ifndef VIOLETWING_CONTROL_STORAGE_SHARD_WRITE_HPP_
#define VIOLETWING_CONTROL_STORAGE_SHARD_WRITE_HPP_

#include <optional>
#include <vector>

#include "control/consensus/replica.hpp"

namespace violetwing {

/// What a replica asks the store to make durable, atomically and in the order of the fields.
struct ShardWrite {
  int shard = 0;
  std::optional<consensus::HardState> hard_state;  ///< term and vote, if they have changed
  bool replaces_log = false;                       ///< deletes all entries before `entries` are written
  consensus::Index first_index = 0;       ///< index of entries[0]; overwrites from here on; 0: no entries
  std::vector<consensus::Entry> entries;  ///< consecutive, from `first_index` on
  std::optional<consensus::Snapshot> snapshot;  ///< replaces the earlier one and the entries up to its index
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_SHARD_WRITE_HPP_
