// Parses protocol buffers received from other processes. Does not log: callers log failures.
#ifndef VIOLETWING_MESSAGES_PARSE_HPP_
#define VIOLETWING_MESSAGES_PARSE_HPP_

#include <optional>
#include <string_view>

namespace violetwing::wire {

/// Parses `bytes` as a `Message`. Returns an empty optional if they are not such a message or a required
/// field is missing.
template <class Message>
std::optional<Message> Parse(std::string_view bytes) {
  std::optional<Message> parsed(std::in_place);
  const bool complete =
      parsed->ParsePartialFromArray(bytes.data(), static_cast<int>(bytes.size())) && parsed->IsInitialized();
  if (!complete) parsed.reset();
  return parsed;
}

}  // namespace violetwing::wire

#endif  // VIOLETWING_MESSAGES_PARSE_HPP_
