// The errors of decoding stored bytes: log entries, snapshots and commands.
#ifndef VIOLETWING_MESSAGES_DECODE_ERROR_HPP_
#define VIOLETWING_MESSAGES_DECODE_ERROR_HPP_

#include <system_error>

namespace violetwing {

/// Error codes of the decoders of stored bytes, of category DecodeCategory().
enum class DecodeErrc {
  /// The bytes are no message of the expected type, or a required field is missing.
  kMalformed = 1,
  /// The message is of no kind that this version knows.
  kUnknownKind,
  /// The message claims to be of two kinds.
  kAmbiguousKind,
  /// The bytes have changed since they were written.
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
