#include "dataplane/load_balancing/prefix_cache.hpp"

#include <charconv>

namespace violetwing {
namespace {

// The key of a part holds those before it: the same part after other ones is another.
std::string NextKey(const std::string& before, const PromptPart& part) { return before + "," + part.id; }

}  // namespace

std::vector<PromptPart> ParsePromptParts(std::string_view text) {
  std::vector<PromptPart> out;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view item = text.substr(0, comma);
    const std::size_t colon = item.find(':');
    int tokens = 0;
    if (colon == std::string_view::npos) break;
    const auto [end, error] = std::from_chars(item.data() + colon + 1, item.data() + item.size(), tokens);
    if (error != std::errc() || tokens < 0) break;
    out.push_back({std::string(item.substr(0, colon)), static_cast<double>(tokens)});
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return out;
}

std::string ToText(const std::vector<PromptPart>& parts) {
  std::string text;
  for (const PromptPart& part : parts) {
    if (!text.empty()) text += ',';
    text += part.id + ":" + std::to_string(static_cast<std::int64_t>(part.tokens));
  }
  return text;
}

double PrefixCache::CachedTokens(const std::string& weights, const std::vector<PromptPart>& parts) const {
  double cached = 0;
  std::string key = weights;
  for (const PromptPart& part : parts) {
    key = NextKey(key, part);
    if (by_key_.find(key) == by_key_.end()) break;
    cached += part.tokens;
  }
  return cached;
}

void PrefixCache::Insert(const std::string& weights, const std::vector<PromptPart>& parts,
                         double most_tokens) {
  std::string key = weights;
  for (const PromptPart& part : parts) {
    key = NextKey(key, part);
    const auto it = by_key_.find(key);
    if (it != by_key_.end()) {
      kept_.splice(kept_.begin(), kept_, it->second);
      continue;
    }
    kept_.push_front({key, part.tokens});
    by_key_[key] = kept_.begin();
    tokens_ += part.tokens;
  }
  while (tokens_ > most_tokens && !kept_.empty()) {
    tokens_ -= kept_.back().tokens;
    by_key_.erase(kept_.back().key);
    kept_.pop_back();
  }
}

void PrefixCache::Clear() {
  kept_.clear();
  by_key_.clear();
  tokens_ = 0;
}

}  // namespace violetwing
