// The output of a replica: writes to disk, messages to send, and entries for the state machine.
#ifndef VIOLETWING_CONTROL_CONSENSUS_EFFECTS_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_EFFECTS_HPP_

#include <optional>
#include <utility>
#include <vector>

#include "control/consensus/types.hpp"

namespace violetwing::consensus {

/// The output of a replica after one or more events. The host carries it out in the order of the fields.
/// Writes of successive effects must reach the disk in the order in which the effects were taken.
struct Effects {
  // ---- Must be durable before `messages_after_write` are sent ----

  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;  ///< Replaces all stored entries up to its index.
  bool replaces_log = false;         ///< The snapshot also replaces all later entries.
  Index first_index = 0;  ///< Index of entries[0]; stored entries from it on are dropped. 0: no change.
  std::vector<Entry> entries;

  // ---- Messages ----

  std::vector<Message> messages;              ///< May be sent immediately.
  std::vector<Message> messages_after_write;  ///< Acknowledge the writes above or earlier ones.

  // ---- For the state machine ----

  std::optional<Snapshot> snapshot_to_load;        ///< Must be loaded before `committed` is applied.
  std::vector<std::pair<Index, Entry>> committed;  ///< Must be applied in order.

  /// Whether there is anything to write to disk.
  bool WritesAnything() const { return hard_state || snapshot || first_index > 0; }
  /// Whether the host has nothing to do.
  bool Empty() const;

  /// Records that `entry` was appended to the log at `index`.
  void RecordAppend(Index index, Entry entry);
  /// Records that the entries from `index` on were removed from the log.
  void RecordTruncation(Index index);
  /// Records that `received` replaced the log and the state machine's state.
  void RecordSnapshotInstalled(const Snapshot& received);
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_EFFECTS_HPP_
