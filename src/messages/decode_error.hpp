// Errors of decoding stored data: log entries, snapshots and commands.
#ifndef VIOLETWING_MESSAGES_DECODE_ERROR_HPP_
#define VIOLETWING_MESSAGES_DECODE_ERROR_HPP_

#include <system_error>

namespace violetwing {

/// Error codes of the decoders of stored data, in the category DecodeCategory().
enum class DecodeErrc {
  /// The bytes are not a message of the expected type, or a required field is missing.
  kMalformed = 1,
  /// This version does not know the message's kind.
  kUnknownKind,
  /// The message has more than one kind.
  kAmbiguousKind,
  /// The checksum does not match: the bytes have changed since they were written.
  kChecksumMismatch,
};

/// The category "violetwing.decode".
const std::error_category& DecodeCategory();

/// Found by argument-dependent lookup when a DecodeErrc converts to std::error_code.
std::error_code make_error_code(DecodeErrc error);

}  // namespace violetwing

template <>
struct std::is_error_code_enum<violetwing::DecodeErrc> : std::true_type {};

#endif  // VIOLETWING_MESSAGES_DECODE_ERROR_HPP_
