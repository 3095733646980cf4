#include "control/configuration/recent_patches.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace violetwing::configuration {

void RecentPatches::Add(std::int64_t base, std::int64_t version, std::string patch) {
  if (!patches_.empty() && patches_.back().version != base) Clear();
  bytes_ += patch.size();
  patches_.push_back({base, version, std::move(patch)});
  while (bytes_ > kMaxBytes) {
    bytes_ -= patches_.front().text.size();
    patches_.pop_front();
  }
}

void RecentPatches::Clear() {
  patches_.clear();
  bytes_ = 0;
}

std::optional<std::vector<std::string>> RecentPatches::Since(std::int64_t version) const {
  const auto first = std::find_if(patches_.begin(), patches_.end(),
                                  [&](const Patch& patch) { return patch.base == version; });
  if (first == patches_.end()) return std::nullopt;
  std::vector<std::string> patches;
  std::transform(first, patches_.end(), std::back_inserter(patches),
                 [](const Patch& patch) { return patch.text; });
  return patches;
}

}  // namespace violetwing::configuration
