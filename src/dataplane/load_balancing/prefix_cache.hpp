// Estimates the contents of a server's prefix cache (KV cache of prompt prefixes) as the prompt parts
// recently sent to it, evicted in least-recently-used order. A part counts as cached only if all parts before
// it are cached as well. Pure logic: it uses no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFIX_CACHE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFIX_CACHE_HPP_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "dataplane/load_balancing/prompt_parts.hpp"

namespace violetwing {

/// LRU model of one server's prefix cache. `weights_key` names the model and adapter
/// (RequestAttributes::WeightsKey): caches of different weights are not shared.
class PrefixCache {
 public:
  /// Number of tokens at the start of the prompt that are expected to be cached.
  double CachedTokens(const std::string& weights_key, const std::vector<PromptPart>& parts) const;
  /// Inserts the parts or marks them as most recently used, then evicts until at most `capacity_tokens`, and
  /// kMaxEntries parts, remain.
  void Insert(const std::string& weights_key, const std::vector<PromptPart>& parts, double capacity_tokens);
  /// Empties the cache, as after a restart of the server.
  void Clear();
  std::size_t entries() const { return lru_.size(); }

  /// Bounds the memory for parts of few tokens, or of none.
  static constexpr std::size_t kMaxEntries = 2048;

 private:
  // A hash of the weights and of all parts up to this one: the size of a key must not grow with the prefix.
  using Key = std::uint64_t;
  struct Entry {
    Key key;
    double tokens;
  };
  static Key WeightsHash(const std::string& weights_key);
  static Key ExtendKey(Key prefix_key, const PromptPart& part);

  std::list<Entry> lru_;  // most recently used first
  std::unordered_map<Key, std::list<Entry>::iterator> by_key_;
  double tokens_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFIX_CACHE_HPP_
