#include "dataplane/load_balancing/prompt_parts.hpp"

#include <charconv>
#include <cstdint>

namespace violetwing {

std::vector<PromptPart> ParsePromptParts(std::string_view text) {
  std::vector<PromptPart> parts;
  while (!text.empty() && parts.size() < kMaxPromptParts) {
    const std::size_t comma = text.find(',');
    const std::string_view item = text.substr(0, comma);
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) break;
    int tokens = 0;
    const auto [end, error] = std::from_chars(item.data() + colon + 1, item.data() + item.size(), tokens);
    if (error != std::errc() || tokens < 0) break;
    parts.push_back({std::string(item.substr(0, colon)), static_cast<double>(tokens)});
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return parts;
}

std::string FormatPromptParts(const std::vector<PromptPart>& parts) {
  std::string text;
  for (const PromptPart& part : parts) {
    if (!text.empty()) text += ',';
    text += part.id + ":" + std::to_string(static_cast<std::int64_t>(part.tokens));
  }
  return text;
}

}  // namespace violetwing
