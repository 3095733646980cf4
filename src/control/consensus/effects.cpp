#include "control/consensus/effects.hpp"

namespace violetwing::consensus {

bool Effects::Empty() const {
  return !WritesAnything() && messages.empty() && messages_after_write.empty() && !snapshot_to_load &&
         committed.empty();
}

void Effects::RecordAppend(Index index, Entry entry) {
  if (first_index == 0) first_index = index;
  entries.push_back(std::move(entry));
}

void Effects::RecordTruncation(Index index) {
  if (first_index == 0 || first_index >= index) {
    first_index = index;
    entries.clear();
  } else {
    entries.resize(index - first_index);
  }
}

void Effects::RecordSnapshotInstalled(const Snapshot& received) {
  snapshot = snapshot_to_load = received;
  replaces_log = true;
  first_index = 0;
  entries.clear();
  committed.clear();
}

}  // namespace violetwing::consensus
