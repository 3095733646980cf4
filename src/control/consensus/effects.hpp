// What a replica asks its host to do: writes, messages, and entries for the state machine.
#ifndef VIOLETWING_CONTROL_CONSENSUS_EFFECTS_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_EFFECTS_HPP_

#include <optional>
#include <utility>
#include <vector>

#include "control/consensus/types.hpp"

namespace violetwing::consensus {

/// The output of a replica after one or several events. The host carries it out in the order of the fields.
/// Writes of successive effects must reach the disk in the order in which they were taken.
struct Effects {
  // ---- To be durable before `messages_after_write` are sent ----

  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;  ///< Replaces all stored entries up to its index.
  bool replaces_log = false;         ///< The snapshot replaces the later entries too.
  Index first_index = 0;  ///< Index of entries[0]; stored entries from here on are dropped. 0: none.
  std::vector<Entry> entries;

  // ---- Messages ----

  std::vector<Message> messages;              ///< May be sent at once.
  std::vector<Message> messages_after_write;  ///< Acknowledge what is written above or was written before.

  // ---- For the state machine ----

  std::optional<Snapshot> snapshot_to_load;        ///< To load before `committed` is applied.
  std::vector<std::pair<Index, Entry>> committed;  ///< To apply, in order.

  /// Whether anything must become durable.
  bool WritesAnything() const { return hard_state || snapshot || first_index > 0; }
  /// Whether there is nothing to do.
  bool Empty() const;

  /// Records that `entry` now stands at `index`, the end of the log.
  void RecordAppend(Index index, Entry entry);
  /// Records that the entries from `index` on have left the log.
  void RecordTruncation(Index index);
  /// Records that `received` has replaced the whole log and the state.
  void RecordSnapshotInstalled(const Snapshot& received);
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_EFFECTS_HPP_
