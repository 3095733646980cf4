// The parts of a prompt that a client names in X-Violetwing-Prompt-Prefix, and their text form.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_PROMPT_PARTS_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_PROMPT_PARTS_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace violetwing {

/// One part of a prompt: equal ids stand for equal text.
struct PromptPart {
  std::string id;
  double tokens = 0;  ///< length, a nonnegative whole number
};

/// Parses "5c1e07a2:800,91bd3f06:410", parts in prompt order. An entry that is malformed ends the list;
/// the entries before it are returned.
std::vector<PromptPart> ParsePromptParts(std::string_view text);

/// The inverse of ParsePromptParts.
std::string FormatPromptParts(const std::vector<PromptPart>& parts);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_PROMPT_PARTS_HPP_
