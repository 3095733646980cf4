// Reads protocol buffers that come from elsewhere. Nothing is logged where they cannot be read: callers do.
#ifndef VIOLETWING_MESSAGES_PARSE_HPP_
#define VIOLETWING_MESSAGES_PARSE_HPP_

#include <optional>
#include <string_view>

namespace violetwing::wire {

// Empty where the bytes are no such message, or lack a required field.
template <class Message>
std::optional<Message> Parse(std::string_view bytes) {
  std::optional<Message> parsed(std::in_place);
  const bool whole =
      parsed->ParsePartialFromArray(bytes.data(), static_cast<int>(bytes.size())) && parsed->IsInitialized();
  if (!whole) parsed.reset();
  return parsed;
}

}  // namespace violetwing::wire

#endif  // VIOLETWING_MESSAGES_PARSE_HPP_
