// The decoder of internal messages. Specializations are declared next to each message type.
#ifndef VIOLETWING_MESSAGES_DECODE_HPP_
#define VIOLETWING_MESSAGES_DECODE_HPP_

#include <optional>
#include <string>

namespace violetwing {

/// Decodes a message of type `Message`. Returns an empty optional if the bytes are not such a message or a
/// required field is missing.
template <class Message>
std::optional<Message> Decode(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_DECODE_HPP_
