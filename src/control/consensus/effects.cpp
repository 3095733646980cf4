#include "control/consensus/effects.hpp"

namespace violetwing::consensus {

bool Effects::Empty() const {
  return !WritesAnything() && messages.empty() && messages_after_write.empty() && !load && committed.empty();
}

void Effects::RecordAppend(Index index, Entry entry) {
  if (first == 0) first = index;
  entries.push_back(std::move(entry));
}

void Effects::RecordTruncation(Index index) {
  if (first == 0 || first >= index) {
    first = index;
    entries.clear();
  } else {
    entries.resize(index - first);
  }
}

void Effects::RecordSnapshotInstalled(const Snapshot& received) {
  snapshot = load = received;
  replaces_log = true;
  first = 0;
  entries.clear();
  committed.clear();
}

}  // namespace violetwing::consensus
