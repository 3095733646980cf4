// The parts of a prompt that a client lists in X-Violetwing-Prompt-Prefix, and their text form.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PROMPT_PARTS_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PROMPT_PARTS_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace violetwing {

/// One part of a prompt: equal ids stand for equal text.
struct PromptPart {
  std::string id;
  double tokens = 0;  ///< length, a non-negative integer
};

/// The parts of a prompt that count. They are kept for each request, and matched with what each server keeps.
inline constexpr std::size_t kMaxPromptParts = 256;

/// Parses "5c1e07a2:800,91bd3f06:410" (id:tokens), parts in prompt order. Parsing stops at a malformed entry,
/// and after kMaxPromptParts; the entries before that are returned.
std::vector<PromptPart> ParsePromptParts(std::string_view text);

/// The inverse of ParsePromptParts.
std::string FormatPromptParts(const std::vector<PromptPart>& parts);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PROMPT_PARTS_HPP_
