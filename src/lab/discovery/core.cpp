#include "lab/discovery/core.hpp"

namespace violetwing::lab {

void DiscoveryCore::Put(const Entry& entry) { entries_[entry.id] = {entry, ++generation_}; }

void DiscoveryCore::BeginAgain() {
  generation_ = 1;
  std::erase_if(entries_, [](const auto& one) { return one.second.entry.lifecycle == Lifecycle::kRemoved; });
  for (auto& [id, kept] : entries_) kept.changed = 1;
}

DiscoveryCore::Answer DiscoveryCore::Whole() const {
  Answer out{generation_, true, {}};
  for (const auto& [id, kept] : entries_)
    if (kept.entry.lifecycle != Lifecycle::kRemoved) out.entries.push_back(kept.entry);
  return out;
}

DiscoveryCore::Answer DiscoveryCore::Since(std::int64_t index) const {
  if (index < 1 || index > generation_) return Whole();
  Answer out{generation_, false, {}};
  for (const auto& [id, kept] : entries_)
    if (kept.changed > index) out.entries.push_back(kept.entry);
  return out;
}

}  // namespace violetwing::lab
