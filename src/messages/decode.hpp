// The decoder of internal messages, specialized beside each message type.
#ifndef VIOLETWING_MESSAGES_DECODE_HPP_
#define VIOLETWING_MESSAGES_DECODE_HPP_

#include <optional>
#include <string>

namespace violetwing {

/// Decodes a message of type `Message`. Empty if the bytes are not such a message, or if a field is missing
/// that is required on the wire.
template <class Message>
std::optional<Message> Decode(const std::string& bytes);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_DECODE_HPP_
