// One durable write of a shard's replica. Independent of the storage engine: the consensus code emits it, the
// store executes it.
#ifndef VIOLETWING_CONTROL_STORAGE_SHARD_WRITE_HPP_
#define VIOLETWING_CONTROL_STORAGE_SHARD_WRITE_HPP_

#include <optional>
#include <vector>

#include "control/consensus/replica.hpp"

namespace violetwing {

/// State that a replica requires the store to make durable, atomically and in the order of the fields.
struct ShardWrite {
  int shard = 0;
  std::optional<consensus::HardState> hard_state;  ///< term and vote; empty if unchanged
  bool replaces_log = false;                       ///< delete all stored entries before writing `entries`
  consensus::Index first_index =
      0;  ///< index of entries[0]; deletes stored entries from here on; 0: no entries
  std::vector<consensus::Entry> entries;  ///< consecutive, starting at `first_index`
  std::optional<consensus::Snapshot>
      snapshot;  ///< replaces the stored snapshot and the entries up to its index
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_SHARD_WRITE_HPP_
