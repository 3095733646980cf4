#include "dataplane/load_balancing/prefix_cache.hpp"

#include <xxhash.h>

namespace violetwing {

PrefixCache::Key PrefixCache::WeightsHash(const std::string& weights_key) {
  return XXH64(weights_key.data(), weights_key.size(), 0);
}

// The same part behind another prefix is another entry.
PrefixCache::Key PrefixCache::ExtendKey(Key prefix_key, const PromptPart& part) {
  return XXH64(part.id.data(), part.id.size(), prefix_key);
}

double PrefixCache::CachedTokens(const std::string& weights_key, const std::vector<PromptPart>& parts) const {
  double cached_tokens = 0;
  Key key = WeightsHash(weights_key);
  for (const PromptPart& part : parts) {
    key = ExtendKey(key, part);
    if (by_key_.find(key) == by_key_.end()) break;
    cached_tokens += part.tokens;
  }
  return cached_tokens;
}

void PrefixCache::Insert(const std::string& weights_key, const std::vector<PromptPart>& parts,
                         double capacity_tokens) {
  Key key = WeightsHash(weights_key);
  for (const PromptPart& part : parts) {
    key = ExtendKey(key, part);
    const auto it = by_key_.find(key);
    if (it != by_key_.end()) {
      lru_.splice(lru_.begin(), lru_, it->second);
      continue;
    }
    lru_.push_front({key, part.tokens});
    by_key_[key] = lru_.begin();
    tokens_ += part.tokens;
  }
  while ((tokens_ > capacity_tokens || lru_.size() > kMaxEntries) && !lru_.empty()) {
    tokens_ -= lru_.back().tokens;
    by_key_.erase(lru_.back().key);
    lru_.pop_back();
  }
}

void PrefixCache::Clear() {
  lru_.clear();
  by_key_.clear();
  tokens_ = 0;
}

}  // namespace violetwing
