// A guess at what a server keeps of prompts: the parts that this sidecar has sent there lately, per model and
// adapter, within the server's memory. A part counts only if all before it are kept as well.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFIX_CACHE_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFIX_CACHE_HPP_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace violetwing {

struct PromptPart {
  std::string id;
  double tokens = 0;
};

// "5c1e07a2:800,91bd3f06:410": parts in order. What cannot be read ends the list.
std::vector<PromptPart> ParsePromptParts(std::string_view text);
// The reverse of it.
std::string ToText(const std::vector<PromptPart>& parts);

class PrefixCache {
 public:
  // `weights` names the model and adapter.
  double CachedTokens(const std::string& weights, const std::vector<PromptPart>& parts) const;
  void Insert(const std::string& weights, const std::vector<PromptPart>& parts, double most_tokens);
  void Clear();

 private:
  struct Kept {
    std::string key;
    double tokens;
  };
  std::list<Kept> kept_;  // the last used first
  std::unordered_map<std::string, std::list<Kept>::iterator> by_key_;
  double tokens_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PREFIX_CACHE_HPP_
